#pragma once

#include <sardinehinge/core/balancing/spillpolicy.h>
#include <sardinehinge/core/balancing/usualtime.h>
#include <sardinehinge/core/gatewayconfig.h>
#include <sardinehinge/core/keyrange.h>
#include <sardinehinge/core/quarantine.h>
#include <sardinehinge/core/requestrouter.h>
#include <sardinehinge/core/retrybudget.h>
#include <sardinehinge/core/target.h>
#include <sardinehinge/core/targetstate.h>

#include <memory>
#include <random>
#include <unordered_map>

namespace sardinehinge::core {

/// The part of a request that routing depends on. The adapter keeps the headers and the body.
struct GatewayRequest
{
    RequestId id = 0; ///< Unique in this daemon.
    std::string host;
    std::string path;
    std::optional<std::uint32_t> key; ///< Required by sharded services.
    std::optional<Duration> callerTimeout; ///< Time that the caller will wait.
    RequestFingerprint fingerprint = {}; ///< Not set: the request can't be quarantined.

    bool operator==(const GatewayRequest &) const = default;
};

/// Why the gateway ends a request itself. docs/API.md lists the HTTP status of each value.
enum class GatewayError {
    NoConfiguration,
    NoRoute,
    MissingKey,
    NoTarget, ///< The service has no known target, or none is reachable.
    NoOwner, ///< The key's owner is lost, or the key is being handed over.
    Overloaded,
    TimedOut,
    ResponseLost,
    Quarantined, ///< Targets that ran the request crashed.
    Stopping, ///< This instance stops: another one serves the request.
};

// Effects.

/// Sends the request to a target. The adapter reports exactly one GatewayAttemptEnd for it.
struct SendToTarget
{
    RequestId id = 0;
    std::uint32_t attempt = 0;
    TargetIdentity target;
    std::string service;
    std::string address;
    Duration timeout = 0ms; ///< Time left until the request's deadline.
    bool isIdempotent = false;
    Locality locality = Locality::Home;

    bool operator==(const SendToTarget &) const = default;
};

/// Cancels an attempt whose response is no longer needed.
struct CancelSend
{
    RequestId id = 0;
    std::uint32_t attempt = 0;
    bool isOnlyUnsent = false; ///< Leaves the attempt running if sending it to the target has begun.

    bool operator==(const CancelSend &) const = default;
};

/// Forwards the attempt's response to the caller.
struct ForwardAnswer
{
    RequestId id = 0;
    std::uint32_t attempt = 0;

    bool operator==(const ForwardAnswer &) const = default;
};

/// Ends the request with an error response from the gateway.
struct EndWithError
{
    RequestId id = 0;
    GatewayError error = GatewayError::NoRoute;
    bool mayHaveRun = false; ///< False only if no target has started the request or ever will.
    Duration retryAfter = 0ms; ///< Delay before the caller should retry; 0: unspecified.
    std::string detail;

    bool operator==(const EndWithError &) const = default;
};

/// Reports to the service's controller that a target refused a key that it should own.
struct OwnerRefused
{
    std::string service;
    std::string target;
    std::uint32_t key = 0;

    bool operator==(const OwnerRefused &) const = default;
};

/// Reports that a belief about a target began or ended, for the log. That a sharded service's target is leaving is also
/// for the service's controller, which hands its keys over.
struct TargetBelief
{
    std::string service;
    TargetIdentity target;
    BeliefChange change;

    bool operator==(const TargetBelief &) const = default;
};

/// Reports that requests of a service begin or stop to leave the failure domain, for the log.
struct SpillReport
{
    std::string service;
    SpillChange change;

    bool operator==(const SpillReport &) const = default;
};

/// Asks for permits for a rate-limited target. The adapter answers with GatewayRouter::permitsGranted().
struct AskPermits
{
    PermitRequest request;

    bool operator==(const AskPermits &) const = default;
};

/// Finds out whether a target's process still runs: the adapter opens a connection, and reports the outcome with
/// GatewayRouter::targetProbed().
struct ProbeTarget
{
    std::string service;
    TargetIdentity target;
    std::string address;

    bool operator==(const ProbeTarget &) const = default;
};

/// Reports that a target ended while it had a request, to the daemons that count the request's crashes.
struct TargetCrashed
{
    CrashReport report;

    bool operator==(const TargetCrashed &) const = default;
};

/// Reports that a target has answered a quarantined request, which refutes the quarantine.
struct QuarantineRefuted
{
    RequestFingerprint request;

    bool operator==(const QuarantineRefuted &) const = default;
};

using GatewayEffect = std::variant<SendToTarget, CancelSend, ForwardAnswer, EndWithError, OwnerRefused, TargetBelief,
                                   AskPermits, ProbeTarget, TargetCrashed, QuarantineRefuted, SpillReport>;

/// How an attempt ended, as reported by the adapter.
struct GatewayAttemptEnd
{
    RequestId id = 0;
    std::uint32_t attempt = 0;
    AttemptEnd end = AttemptEnd::AnswerLost;
    bool isServerError = false; ///< With AttemptEnd::Answered: the response is a server error.
    TargetNotice notice; ///< Of a complete response.
    bool isRefused = false; ///< With AttemptEnd::NothingSent: the target's host refused the connection.

    bool operator==(const GatewayAttemptEnd &) const = default;
};

/// Limits on queueing and retries.
struct GatewayLimits
{
    RetryAllowance retries;
    double queueTimeFraction = 0.4; ///< Share of the latency objective that a request may be queued for capacity; for
                                    ///< a longer wait, an immediate rejection serves the caller better.
    Duration handoverWait
        = std::chrono::milliseconds(500); ///< Minimum queueing limit for a key that is being handed over: its
                                          ///< previous owner first finishes the requests in progress.
    Duration notOwnerRetryDelay = std::chrono::milliseconds(60); ///< Delay before any retry on a sharded service. After
                                                                 ///< a refusal by the owner, an announcement or a grant
                                                                 ///< arrives within this time.
    std::uint32_t notOwnerThreshold = 3; ///< Consecutive refusals of keys that a target should own, after which it
                                         ///< counts as not owning any; another service's target may run at its address.
    Duration nonOwnerProbeInterval
        = std::chrono::milliseconds(100); ///< Shortest time between two requests to such a target; a grant takes less.
    Duration shedRetryAfter = std::chrono::milliseconds(60); ///< Retry delay for callers shed by an owner that isn't
                                                             ///< queueing: it may accept a retry within the objective.
    Duration responseGracePeriod = std::chrono::milliseconds(80); ///< After the deadline, for the target's own response
                                                                  ///< to arrive.
    Duration lostOwnerRetryAfter = std::chrono::milliseconds(700); ///< Retry delay for callers of keys whose owner is
                                                                   ///< lost: about half a lease.
    std::size_t maxQueuedRequests = 2000; ///< Over all services.
    bool adaptsSpill = true; ///< Whether SpillPolicy decides what leaves the failure domain, or a fixed cost factor.
    double crossingPrice = SpillParameters().crossingPrice;
    TargetTiming targets;

    bool operator==(const GatewayLimits &) const = default;
};

/// Routes each request from its arrival to a single outcome: a target's complete response, or an error that says
/// whether the request may have run. Does no I/O.
///
/// Every request ends in exactly one ForwardAnswer or EndWithError, unless its caller disconnects first. A request that
/// isn't idempotent is sent again only if its earlier attempts certainly did not run.
///
/// Designed for load peaks above the targets' capacity: requests are queued by priority, and those whose expected wait
/// exceeds their limit are rejected immediately.
class GatewayRouter
{
public:
    using Effects = std::vector<GatewayEffect>;

    GatewayRouter(std::uint64_t seed, std::string failureDomain, GatewayLimits limits = {});

    /// Applies a configuration. Returns false, without any change, unless it is newer than the current one.
    bool setConfig(const GatewayConfig &config);
    void setLimits(const GatewayLimits &limits);
    /// Sets how many daemons share the retry allowance; 0 counts as 1.
    void setDaemonCount(std::size_t count) { m_daemonCount = std::max<std::size_t>(count, 1); }
    /// The daemon starts now, and an earlier life of it may have run just before. See allowanceAfterRestart().
    void setRestarted(Time now) noexcept { m_restartedAt = now; }
    Effects setTargets(const std::vector<RegisteredTarget> &targets, Time now);
    Effects setOwners(const RangeOwners &owners, Time now);

    Effects requestArrived(const GatewayRequest &request, Time now);
    Effects attemptFinished(const GatewayAttemptEnd &end, Time now);
    /// Takes in what a target said about itself in an answer, also when the answer's request has ended already or when
    /// it answered an order. Call it before attemptFinished() for the same answer.
    Effects targetNoticed(const std::string &service, const TargetIdentity &target, const TargetNotice &notice,
                          SignalSource source, Time now);
    /// Takes in the answer to ProbeTarget. Anything but a refusal leaves open whether the target's process has ended.
    Effects targetProbed(const std::string &service, const TargetIdentity &target, bool isRefused, Time now);
    /// Takes in that a request is quarantined, or isn't any more.
    Effects quarantineChanged(const Quarantine &quarantine, Time now);
    /// Takes in the answer to AskPermits.
    Effects permitsGranted(const PermitGrant &grant, Time now);
    /// Returns the beliefs about targets that have ended since the last call, and counts the targets for
    /// targetCounts(). Call it about twice a second.
    Effects surveyTargets(Time now);
    /// Returns the number of targets by TargetCondition, as of the last survey.
    const std::array<std::size_t, targetConditions> &targetCounts() const noexcept { return m_targetCounts; }
    /// Ends a request whose caller disconnected. What hasn't been sent yet is never sent; an attempt that isn't
    /// idempotent is left running at its target.
    Effects callerLeft(RequestId id, Time now);
    /// Requests that arrive from `time` on are refused, since the instance stops.
    void setLastAdmission(Time time) noexcept { m_lastAdmission = time; }
    /// Ends all requests, since the process ends: as not run, or as unknown if they were sent.
    Effects endRequests();
    /// Ends requests that exceeded their time limits and sends queued ones. Call it periodically.
    Effects tick(Time now);

    /// Returns the number of requests by key since the last call, for the placement of a sharded service's keys.
    std::map<std::uint32_t, std::uint32_t> takeKeyLoad(const std::string &service);
    /// Returns the mean relative latency, by target id, of the targets that served enough requests since their last
    /// value was returned. See TargetScore::takeMeanRelativeLatency().
    std::map<std::string, double> takeRelativeLatencies(const std::string &service);
    /// The route that matches a request now, or nullptr. Valid until the next configuration.
    const RouteRule *routeFor(std::string_view host, std::string_view path) const noexcept
    {
        return m_routes.find(host, path);
    }
    /// Returns the share of the requests that may leave the failure domain, by unsharded service.
    std::map<std::string, double> spillShares() const;
    bool hasConfig() const noexcept { return m_configVersion.has_value(); }
    std::uint64_t configVersion() const noexcept { return m_configVersion.value_or(0); }
    const RangeOwners *owners(const std::string &service) const noexcept;
    std::size_t activeRequests() const noexcept { return m_requests.size(); }
    std::size_t queuedRequests() const noexcept;

private:
    struct Target
    {
        RegisteredTarget entry;
        TargetState state;
        std::uint32_t notOwnerCount = 0; ///< Consecutive refusals of keys that it should own.
        Time nextProbe = 0ms; ///< Earliest next request while isRejectingKeys().
        Locality locality = Locality::Abroad;
    };

    struct Service
    {
        bool isSharded = false;
        std::map<std::string, Target> targets;
        DepartedTargets departed;
        RangeOwners owners;
        RetryBudget budget;
        Duration baselineLatency = std::chrono::milliseconds(100); ///< Smoothed over all targets.
        std::map<std::string, Duration> routeBaselines; ///< Baseline latency by route name.
        std::vector<RequestId> queue; ///< By priority, then arrival.
        std::map<std::uint32_t, std::uint32_t> keyLoad;
        std::string preferred; ///< A rate-limited target that would be chosen if there were a permit for it.
        SpillPolicy spill;
        std::map<std::string, UsualTime> usualTimes; ///< By route name.
    };

    struct Request
    {
        GatewayRequest head;
        std::shared_ptr<const RouteRule> route;
        std::string service;
        Time arrived = 0ms;
        Time deadline = 0ms;
        Time queueDeadline = 0ms;
        Time earliestSend = 0ms; ///< While it is queued.
        Time sentAt = 0ms;
        std::uint32_t attempts = 0;
        bool isSent = false;
        bool isQueued = false;
        bool mayHaveRun = false;
        std::string target; ///< Of the last attempt.
        std::uint64_t incarnation = 0; ///< Of that target.
        std::string lastFailure;
        AttemptEnd lastEnd = AttemptEnd::Answered;
        bool wasSuspect = false; ///< A response to an equal request had been lost before.
    };

    /// An attempt that goes on without its caller.
    struct AbandonedAttempt
    {
        RequestFingerprint fingerprint;
        std::string service;
        TargetIdentity target;
        Time sentAt = 0ms;
    };

    /// The target that a request can be sent to now, or the reason why there is none.
    struct TargetChoice
    {
        Target *target = nullptr;
        GatewayError error = GatewayError::NoTarget; ///< Meaningful without a target.
        bool isTransient = false; ///< Whether a target may become available soon; Overloaded and NoOwner only.
        Time availableAt = 0ms; ///< Without a target: when the first one's quiet time ends or it may get a permit; 0 if
                                ///< that isn't the reason.
    };

    bool isSharded(const std::string &service) const;
    /// Whether the request's last target shed it although the target isn't queueing.
    bool wasShedWithoutQueue(const Request &request, AttemptEnd end);
    bool isRejectingKeys(const Target &target) const noexcept
    {
        return target.notOwnerCount >= m_limits.notOwnerThreshold;
    }
    Service &serviceOf(const std::string &name);
    TargetChoice chooseTarget(const Request &request, Service &service, Time now);
    TargetChoice chooseOwner(const Request &request, Service &service, Time now);
    TargetChoice waitUntil(const Request &request, Time availableAt) const;
    TargetChoice waitForPermit(const Request &request, const Service &service, Target &owner, Time now) const;
    /// Returns when the first target that may serve the request can be sent one: when its quiet time ends, or when it
    /// may get a permit; 0 if one of them can be sent a request now.
    Time admissionTime(const Request &request, const Service &service, Time now) const;
    /// Returns when the target may be sent a request; 0 if nothing that it said of itself prevents that now.
    static Time admissionTime(const TargetState &state, Time now) noexcept;
    void keepForPermits(const Service &service, Target &owner, Time now);
    void askPermits(const std::string &serviceName, Time now);
    void askPermits(const std::string &serviceName, Target &target, std::size_t wanted, Duration maxWait, Time now);
    void reportBeliefs(const std::string &service, const TargetIdentity &target,
                       const std::vector<BeliefChange> &changes);
    using ServiceEntries = std::vector<const RegisteredTarget *>; ///< Of one service, ordered by id.
    void removeEndedTargets(const std::string &name, Service &service, const ServiceEntries &entries, Time now);
    void putTargets(const std::string &name, Service &service, const ServiceEntries &entries, Time now);
    void withdrawUnsent(const std::string &service, const TargetIdentity &target);
    TargetChoice chooseCheapest(const Request &request, Service &service, Time now);
    /// Returns the cost factors by Locality for the next request of an unsharded service.
    std::array<double, localities> localityFactors(const SpillPolicy &spill);
    void recordSpill(const Request &request, const Target &target, const GatewayAttemptEnd &end, Duration taken,
                     Time now);
    /// When the request's quarantine ends; 0 if it isn't quarantined.
    Time quarantineEnd(const RequestFingerprint &fingerprint, Time now) const noexcept;
    void rejectQuarantined(Request &request, Time end, Time now);
    void responseLost(const RequestFingerprint &fingerprint, const std::string &service, const TargetIdentity &target,
                      Time sentAt, Time now);
    void responseRead(const RequestFingerprint &fingerprint, const TargetIdentity &target, Time sentAt, Time now);
    void stoppedWaiting(const Request &request, TargetLoss loss, Time now);
    void targetEnded(const std::string &service, const TargetIdentity &target, LifeEnd end, Time now);
    void noteEnd(Request &request, const GatewayAttemptEnd &end, Time now);
    void abandonedAttemptEnded(const GatewayAttemptEnd &end, Time now);
    void dispatch(Request &request, Time now);
    void send(Request &request, Target &target, Time now);
    void queueOrReject(Request &request, const TargetChoice &choice, Time now);
    std::size_t queuedAhead(const Service &service, const Request &request) const;
    void dispatchQueued(const std::string &serviceName, Time now);
    void dequeue(Request &request);
    void reject(Request &request, GatewayError error, const std::string &detail, Duration retryAfter);
    void endUncertain(Request &request, GatewayError error, const std::string &detail);
    void rejectStopping(Request &request);
    /// Whether the request may be sent again. If so, takes one retry from the budget, unless nothing was sent before.
    bool tryClaimRetry(Request &request, AttemptEnd end, bool isServerError, Time now);
    Duration retryWait(const Request &request) const;
    RetryAllowance retryAllowance(Time now) const noexcept
    {
        return m_restartedAt ? allowanceAfterRestart(m_limits.retries, now - *m_restartedAt) : m_limits.retries;
    }
    void retry(Request &request, AttemptEnd end, Time now);
    void recordResult(Request &request, const GatewayAttemptEnd &end, Time now);
    Duration retryAfter(const Request &request, Duration base);
    /// Returns the retry delay for a request that is rejected with this error now.
    Duration rejectionDelay(const Request &request, GatewayError error, Time now);
    void removeRequest(RequestId id);
    Effects takeEffects();

    GatewayLimits m_limits;
    std::string m_failureDomain;
    std::mt19937_64 m_random;
    std::size_t m_daemonCount = 1;
    std::optional<Time> m_restartedAt;
    std::optional<Time> m_lastAdmission; ///< Of an instance that stops.
    std::optional<std::uint64_t> m_configVersion;
    RouteTable m_routes;
    std::map<std::string, WeightedRoundRobin> m_splits; ///< By route name.
    std::map<std::string, bool> m_sharded; ///< Of the current configuration, by service.
    std::map<std::string, Service> m_services;
    std::unordered_map<RequestId, Request> m_requests;
    std::array<std::size_t, targetConditions> m_targetCounts{};
    CrashSuspects m_suspects;
    std::map<RequestFingerprint, Time> m_quarantines; ///< End, by request.
    std::map<std::pair<RequestId, std::uint32_t>, AbandonedAttempt> m_abandoned; ///< By request and attempt.
    Effects m_effects;
};

} // namespace sardinehinge::core
