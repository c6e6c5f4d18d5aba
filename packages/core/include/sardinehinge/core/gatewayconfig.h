#pragma once

#include <sardinehinge/core/types.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// The gateway's configuration: routes, the services behind them, and the limits on callers.
namespace sardinehinge::core {

/// A service that receives a share of a route's requests.
struct WeightedService
{
    std::string service;
    std::uint32_t weight = 1; ///< Relative to the route's other services; 0: receives no requests.

    bool operator==(const WeightedService &) const = default;
};

/// Matches requests to one host whose path begins with `prefix`.
struct RouteRule
{
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    bool isIdempotent = false; ///< Whether a request may be executed more than once.
    Duration timeout = 0ms; ///< Upper bound on the whole request; 0: only the caller's timeout applies.
    Duration latencyObjective = 0ms; ///< Latency within which the response has its full value to the caller.
    std::uint32_t maxAttempts = 1; ///< Limit on attempts per request. A retry after AttemptEnd::NotOwner or
                                   ///< NothingSent may exceed it.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    std::vector<WeightedService> services;
    bool isUnreadable = false; ///< The rest of its entry could not be read: matching requests are rejected as not run,
                               ///< rather than served by a route with a shorter prefix.

    bool operator==(const RouteRule &) const = default;
};

/// A service that routes refer to.
struct BackendService
{
    std::string name;
    bool isSharded = false; ///< Each key is owned by at most one target at a time.
    std::uint32_t maxConnections = 0; ///< Per target, summed over all daemons; 0: unspecified.
    Duration warmupTime = 0ms; ///< For which a target is cold after it starts.
    double warmupRate = 0; ///< Requests a second that a cold target bears; 0: unspecified.

    bool operator==(const BackendService &) const = default;
};

/// Size and time limits on requests from callers.
struct CallerLimits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 1024ULL * 1024;
    Duration headerTimeout = std::chrono::seconds(10);
    Duration idleTimeout = std::chrono::seconds(60);

    bool operator==(const CallerLimits &) const = default;
};

/// One complete revision of the configuration.
struct GatewayConfig
{
    std::uint64_t version = 0;
    std::vector<RouteRule> routes;
    std::vector<BackendService> services;
    CallerLimits callerLimits;
    std::vector<std::string> faults; ///< Parts that could not be read, for operators. The rest is in force.

    bool operator==(const GatewayConfig &) const = default;
};

/// Looks up routes by host and longest matching path prefix.
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(const GatewayConfig &config);

    /// Returns the matching route, or nullptr if there is none. Hosts are compared case-insensitively and without the
    /// port. The table owns the returned route.
    const RouteRule *find(std::string_view host, std::string_view path) const noexcept;

private:
    /// By host; each list is sorted by descending prefix length.
    std::map<std::string, std::vector<RouteRule>, std::less<>> m_byHost;
};

/// Distributes requests over a route's services by smooth weighted round robin. Over any run of requests as long as
/// the sum of the weights, each service receives exactly its share.
class WeightedRoundRobin
{
public:
    /// Returns the index of the service for the next request; 0 if all weights are 0.
    std::size_t next(const std::vector<WeightedService> &services);

private:
    std::vector<std::int64_t> m_currentWeights;
};

} // namespace sardinehinge::core
