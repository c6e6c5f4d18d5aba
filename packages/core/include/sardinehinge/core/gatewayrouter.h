#pragma once

#include <sardinehinge/core/gatewayconfig.h>
#include <sardinehinge/core/keyrange.h>
#include <sardinehinge/core/requestrouter.h>
#include <sardinehinge/core/retrybudget.h>
#include <sardinehinge/core/target.h>
#include <sardinehinge/core/targetscore.h>

#include <memory>
#include <random>
#include <unordered_map>

namespace sardinehinge::core {

/// What the gateway needs to know of a request. Headers and body stay with the adapter.
struct GatewayRequest
{
    RequestId id = 0; ///< Unique in this daemon.
    std::string host;
    std::string path;
    std::optional<std::uint32_t> key; ///< Of a sharded service.
    std::optional<Duration> callerTimeout; ///< How long the caller will wait.

    bool operator==(const GatewayRequest &) const = default;
};

/// Why the gateway ends a request itself. docs/API.md lists the status of each.
enum class GatewayFault {
    NoConfiguration,
    NoRoute,
    MissingKey,
    NoTarget, ///< No target of the service is known, or none is reachable.
    NoOwner, ///< The key's owner is lost, or its keys are on the move.
    Overloaded,
    TimedOut,
    AnswerLost,
};

// Effects.

/// Sends the request to a target. The adapter answers with exactly one GatewayAttemptEnd.
struct SendToTarget
{
    RequestId id = 0;
    std::uint32_t attempt = 0;
    TargetIdentity target;
    std::string service;
    std::string address;
    Duration timeout = 0ms; ///< What is left of the request's time.
    bool isIdempotent = false;

    bool operator==(const SendToTarget &) const = default;
};

/// Nobody needs the attempt's answer any more.
struct CancelSend
{
    RequestId id = 0;
    std::uint32_t attempt = 0;

    bool operator==(const CancelSend &) const = default;
};

/// The answer of this attempt goes to the caller.
struct ForwardAnswer
{
    RequestId id = 0;
    std::uint32_t attempt = 0;

    bool operator==(const ForwardAnswer &) const = default;
};

/// The gateway answers the request itself.
struct EndRequest
{
    RequestId id = 0;
    GatewayFault fault = GatewayFault::NoRoute;
    bool mayHaveRun = false; ///< False only when no target began, or ever will begin, to work on it.
    Duration retryAfter = 0ms; ///< When to come back; 0: not said.
    std::string detail;

    bool operator==(const EndRequest &) const = default;
};

/// A target that should own a key refused it: its controller should look.
struct OwnerRefused
{
    std::string service;
    std::string target;
    std::uint32_t key = 0;

    bool operator==(const OwnerRefused &) const = default;
};

using GatewayEffect = std::variant<SendToTarget, CancelSend, ForwardAnswer, EndRequest, OwnerRefused>;

/// How an attempt ended, as the adapter saw it.
struct GatewayAttemptEnd
{
    RequestId id = 0;
    std::uint32_t attempt = 0;
    AttemptEnd end = AttemptEnd::AnswerLost;
    bool isServerError = false; ///< With AttemptEnd::Answered: the target failed the request.

    bool operator==(const GatewayAttemptEnd &) const = default;
};

/// Bounds of waiting and repeating.
struct GatewayLimits
{
    RetryAllowance retries;
    double waitShare = 0.4; ///< Part of the aim that a request may wait for room: beyond, a refusal serves better.
    Duration ownerWait = std::chrono::milliseconds(500); ///< For keys on the move: the rest of the work on them.
    Duration refusedOwnerWait = std::chrono::milliseconds(60); ///< Before a key's refused owner is tried again: the
                                                               ///< time in which an announcement or a grant arrives.
    std::uint32_t disownedAfter = 3; ///< Refusals in a row of keys that a target should own: then it is no owner, such
                                     ///< as one at whose address another service's target runs now.
    Duration disownedPause
        = std::chrono::milliseconds(100); ///< Between two tries of such a target: a grant takes less.
    Duration shedRetry = std::chrono::milliseconds(60); ///< Told to callers whom an owner without a queue shed: it may
                                                        ///< take their next try, still within the aim.
    Duration timeoutGrace = std::chrono::milliseconds(80); ///< A target's own last word may take this long to come.
    Duration awayRetry = std::chrono::milliseconds(700); ///< Told to callers of lost keys: about half a lease.
    std::size_t waiting = 2000; ///< Most requests that wait at once.

    bool operator==(const GatewayLimits &) const = default;
};

/// Takes each request from arrival to one end: a target's whole answer, or one of ours that says whether it may have
/// run.
///
/// Pure. Every arrived request ends in exactly one ForwardAnswer or EndRequest, unless the caller left. A request that
/// isn't idempotent is sent again only after an attempt that certainly did not run. Meant for loads with crests above
/// the targets' room: who can't be served within the wait bound is refused at once, most urgent requests go first.
class GatewayRouter
{
public:
    using Effects = std::vector<GatewayEffect>;

    GatewayRouter(std::uint64_t seed, std::string failureDomain, GatewayLimits limits = {});

    /// Takes a configuration into force; an older one than the last is ignored and false returned.
    bool setConfig(const GatewayConfig &config);
    void setLimits(const GatewayLimits &limits) { m_limits = limits; }
    /// How many daemons share the retry allowance.
    void setDaemons(std::size_t count) { m_daemons = std::max<std::size_t>(count, 1); }
    Effects setTargets(const std::vector<RegisteredTarget> &targets, Time now);
    Effects setOwners(const RangeOwners &owners, Time now);

    Effects arrive(const GatewayRequest &request, Time now);
    Effects finish(const GatewayAttemptEnd &end, Time now);
    Effects callerLeft(RequestId id, Time now);
    Effects tick(Time now);

    /// Requests by key since the last call, for the placement of a sharded service's keys.
    std::map<std::uint32_t, std::uint32_t> takeKeyLoad(const std::string &service);
    /// Mean latency, as a multiple of an average target's, of the service's targets that served enough requests since
    /// they were last told.
    std::map<std::string, double> takeSlowness(const std::string &service);
    bool hasConfig() const noexcept { return m_configVersion.has_value(); }
    std::uint64_t configVersion() const noexcept { return m_configVersion.value_or(0); }
    const RangeOwners *owners(const std::string &service) const noexcept;
    std::size_t activeRequests() const noexcept { return m_requests.size(); }
    std::size_t waitingRequests() const noexcept;

private:
    struct Target
    {
        RegisteredTarget entry;
        TargetScore score;
        Time warmUntil = 0ms;
        std::uint32_t keyRefusals = 0; ///< In a row.
        Time nextTry = 0ms; ///< After too many of them.
    };

    struct Service
    {
        bool isSharded = false;
        std::map<std::string, Target> targets;
        RangeOwners owners;
        RetryBudget budget;
        Duration norm = std::chrono::milliseconds(100); ///< Smoothed latency over all targets.
        std::map<std::string, Duration> routeNorms; ///< The same by route name.
        std::vector<RequestId> waiting; ///< By urgency, then arrival.
        std::map<std::uint32_t, std::uint32_t> keyLoad;
    };

    struct Request
    {
        GatewayRequest head;
        std::shared_ptr<const RouteRule> route;
        std::string service;
        Time arrived = 0ms;
        Time deadline = 0ms;
        Time waitUntil = 0ms;
        Time notBefore = 0ms; ///< While it waits: not to be sent earlier.
        Time sentAt = 0ms;
        std::uint32_t attempts = 0;
        bool isSent = false;
        bool isWaiting = false;
        bool mayHaveRun = false;
        std::string target; ///< Of the last attempt.
        std::string lastFailure;
        AttemptEnd lastEnd = AttemptEnd::Answered;
    };

    /// Whether and where a request can be sent now.
    struct Placement
    {
        Target *target = nullptr;
        GatewayFault fault = GatewayFault::NoTarget; ///< Why not; Overloaded and NoOwner may pass by waiting.
        bool mayPass = false;
    };

    bool isSharded(const std::string &service) const;
    /// Whether the request's last target shed it although it has no queue.
    bool wasShedWithoutQueue(const Request &request, AttemptEnd end);
    bool isDisowned(const Target &target) const noexcept { return target.keyRefusals >= m_limits.disownedAfter; }
    Service &serviceOf(const std::string &name);
    Placement place(const Request &request, Service &service, Time now);
    Placement placeByKey(const Request &request, Service &service, Time now);
    Placement placeByCost(const Request &request, Service &service, Time now);
    void dispatch(Request &request, Time now);
    void send(Request &request, Target &target, Time now);
    void waitOrRefuse(Request &request, const Placement &placement, Time now);
    std::size_t waitingAhead(const Service &service, const Request &request) const;
    void dispatchWaiting(const std::string &serviceName, Time now);
    void unqueue(Request &request);
    void refuse(Request &request, GatewayFault fault, const std::string &detail, Duration retryAfter);
    void endSent(Request &request, GatewayFault fault, const std::string &detail);
    bool mayRepeat(Request &request, AttemptEnd end, bool isServerError, Time now);
    void repeat(Request &request, AttemptEnd end, Time now);
    void learn(Request &request, const GatewayAttemptEnd &end, Time now);
    Duration retryAfter(const Request &request, Duration base);
    void forget(RequestId id);
    Effects take();

    GatewayLimits m_limits;
    std::string m_failureDomain;
    std::mt19937_64 m_random;
    std::size_t m_daemons = 1;
    std::optional<std::uint64_t> m_configVersion;
    RouteTable m_routes;
    std::map<std::string, WeightedSplit> m_splits; ///< By route name.
    std::map<std::string, bool> m_sharded; ///< Of the configuration in force, by service.
    std::map<std::string, Service> m_services;
    std::unordered_map<RequestId, Request> m_requests;
    Effects m_effects;
};

} // namespace sardinehinge::core
