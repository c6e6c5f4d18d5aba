#pragma once

#include <sardinehinge/core/types.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// The gateway's configuration: which request goes to which service, and within which bounds.
namespace sardinehinge::core {

/// One of the services that share a route's requests.
struct RoutePart
{
    std::string service;
    std::uint32_t weight = 1; ///< Relative to the other parts; a part of weight 0 gets nothing.

    bool operator==(const RoutePart &) const = default;
};

/// Requests of one host whose path begins with `prefix`.
struct RouteRule
{
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    bool isIdempotent = false; ///< Whether a request may run more than once.
    Duration timeout = 0ms; ///< Longest time that a request may be kept; 0: no bound but the caller's.
    Duration aim = 0ms; ///< Time within which an answer is worth most to the caller.
    std::uint32_t maxAttempts = 1; ///< Targets that one request may be sent to.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    std::vector<RoutePart> parts;

    bool operator==(const RouteRule &) const = default;
};

/// A service that routes refer to.
struct BackendService
{
    std::string name;
    bool isSharded = false; ///< Its keys are owned by one target each.
    std::uint32_t maxConnections = 0; ///< Per target, over all daemons; 0: not said.

    bool operator==(const BackendService &) const = default;
};

/// What callers may send, and how long they may take.
struct CallerBounds
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 1024ULL * 1024;
    Duration headerTime = std::chrono::seconds(10);
    Duration idleTime = std::chrono::seconds(60);

    bool operator==(const CallerBounds &) const = default;
};

/// One revision of the configuration, in full.
struct GatewayConfig
{
    std::uint64_t version = 0;
    std::vector<RouteRule> routes;
    std::vector<BackendService> services;
    CallerBounds bounds;

    bool operator==(const GatewayConfig &) const = default;
};

/// Looks routes up by host and longest matching prefix.
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(const GatewayConfig &config);

    /// The route of a request, or nullptr when none matches. `host` is compared without its port. The pointer lives as
    /// long as the table.
    const RouteRule *find(std::string_view host, std::string_view path) const noexcept;

private:
    /// By host; each list is ordered by falling length of the prefix.
    std::map<std::string, std::vector<RouteRule>, std::less<>> m_byHost;
};

/// Divides a route's requests among its parts: smooth weighted round robin, so that each part's share is exact over any
/// run of requests as long as the sum of the weights.
class WeightedSplit
{
public:
    /// The index of the part that gets the next request; 0 when no part has a weight.
    std::size_t next(const std::vector<RoutePart> &parts);

private:
    std::vector<std::int64_t> m_credit;
};

} // namespace sardinehinge::core
