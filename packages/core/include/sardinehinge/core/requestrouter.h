#pragma once

#include <sardinehinge/core/assignment.h>
#include <sardinehinge/core/messages.h>
#include <sardinehinge/core/result.h>
#include <sardinehinge/core/targetqueue.h>
#include <sardinehinge/core/workspacespec.h>

#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <variant>

namespace sardinehinge::core {

using RequestId = std::uint64_t;

/// Routing metadata of a request. The adapter keeps the body.
struct RequestHead
{
    RequestId id = 0; ///< Unique in this daemon.
    ServiceId service;
    std::string path; ///< Below the service, starting with `/`.
    std::optional<std::string> key;
    std::optional<std::uint32_t> shard; ///< Set for a part of a range read instead of a key.
    std::string caller; ///< Identifies the caller for fair queueing.
    std::optional<Duration> timeout; ///< Limit set by the caller; the endpoint rule's deadline still applies.

    bool operator==(const RequestHead &) const = default;
};

/// How one attempt at a target ended.
enum class AttemptEnd {
    Answered, ///< The complete response arrived.
    Shed, ///< The target rejected the request before starting it: no free slot.
    NotOwner, ///< The target rejected the request before starting it: it doesn't hold the shard at this epoch.
    Draining, ///< The target rejected the request before starting it: it is draining.
    NothingSent, ///< No byte of the request was written.
    AnswerLost, ///< Written at least in part; the connection closed or the deadline passed without a response.
    AnswerTruncated, ///< The connection closed before the response was complete.
    LeaseLost, ///< The target executed the request but no longer held the shard at its end.
};

/// Whether an attempt with this end guarantees that the target did not execute the request.
constexpr bool isCertainlyNotRun(AttemptEnd end) noexcept
{
    return end == AttemptEnd::Shed || end == AttemptEnd::NotOwner || end == AttemptEnd::Draining
        || end == AttemptEnd::NothingSent;
}

// Events.

struct RequestArrived
{
    RequestHead head;
};

struct AttemptFinished
{
    RequestId id = 0;
    std::uint32_t attempt = 0;
    AttemptEnd end = AttemptEnd::AnswerLost;
};

/// The caller closed its connection and no longer waits for the response.
struct CallerDisconnected
{
    RequestId id = 0;
};

struct RouterTick
{
};

/// A workspace's parameters changed; `spec` is empty when the workspace was removed.
struct WorkspaceChanged
{
    std::string name;
    std::optional<WorkspaceSpec> spec;
};

struct OwnersChanged
{
    ServiceId service;
    Assignment assignment;
};

struct TargetsChanged
{
    InstanceView view;
};

/// The slot allocator of a target granted slots.
struct SlotsGranted
{
    SlotGrant grant;
};

using RouterEvent = std::variant<RequestArrived, AttemptFinished, CallerDisconnected, RouterTick, WorkspaceChanged,
                                 OwnersChanged, TargetsChanged, SlotsGranted>;

// Effects.

/// Sends the request to a target. The adapter reports exactly one AttemptFinished with the same attempt number.
struct StartAttempt
{
    RequestId id = 0;
    std::uint32_t attempt = 0;
    std::string target;
    std::string address;
    ShardEpoch shard;
    bool isKeyed = false;
    Time deadline = 0ms;
};

/// The attempt's response is no longer needed. The slot stays occupied until AttemptFinished.
struct CancelAttempt
{
    RequestId id = 0;
    std::uint32_t attempt = 0;
};

/// Forwards the response of attempt `attempt` to the caller.
struct ForwardResponse
{
    RequestId id = 0;
    std::uint32_t attempt = 0;
};

/// Ends the request without a response.
struct FailRequest
{
    RequestId id = 0;
    bool notRun = false; ///< True only if no attempt was executed; otherwise the outcome is unknown.
    Error error;
};

/// Sends this daemon's slot demand to the target's allocator. The message may be lost.
struct SendSlotDemand
{
    std::string to;
    SlotDemand demand;
};

using RouterEffect = std::variant<StartAttempt, CancelAttempt, ForwardResponse, FailRequest, SendSlotDemand>;

/// Router limits that are independent of workspaces.
struct RouterLimits
{
    std::size_t maxQueuedPerTarget = 2000; ///< Queue length limit for each target.
    double retryTokensPerRequest = 0.1; ///< Retry tokens added to the service by each arriving request.
    double maxRetryTokens = 20; ///< Upper bound of retry tokens per service.
    Duration ownerRetryDelay = 4ms; ///< Delay before a retry when no owner is known or the target is not the owner.
    Duration connectRetryDelay = 15ms; ///< Delay before a retry after any other failed attempt.
    QueueTiming queue;
    Duration longWorkThreshold = 100ms; ///< Endpoints with a longer mean duration are classified as long work.

    bool operator==(const RouterLimits &) const = default;
};

/// Routes each request from arrival to one of three outcomes: a complete response, *not run*, or *unknown*.
///
/// Performs no I/O. Every RequestArrived ends in exactly one ForwardResponse or FailRequest, unless the caller
/// disconnected. `notRun` is true only when every attempt certainly did not run; a non-idempotent request is sent again
/// only after such an attempt.
class RequestRouter
{
public:
    using Effects = std::vector<RouterEffect>;

    explicit RequestRouter(std::uint64_t seed, RouterLimits limits = {});

    Effects handle(const RouterEvent &event, Time now);

    std::size_t activeRequests() const noexcept { return m_requests.size(); }
    /// Requests of this daemon that are in flight at a target.
    std::uint32_t inFlightAt(const std::string &target) const noexcept;
    /// Number of requests per shard of a service since the last call of takeLoad().
    std::map<std::uint32_t, double> takeLoad(const ServiceId &service);

private:
    enum class Phase { Waiting, Queued, InFlight };

    struct Request
    {
        RequestHead head;
        std::uint32_t shard = 0;
        bool isKeyed = false;
        bool isIdempotent = false;
        WorkClass workClass = WorkClass::Short;
        std::size_t ruleIndex = 0; ///< Of the endpoint rule; the number of rules for the default rule.
        Time arrived = 0ms;
        Time deadline = 0ms;
        Time retryAt = 0ms;
        Time sentAt = 0ms;
        Phase phase = Phase::Waiting;
        std::uint32_t attempt = 0;
        std::uint64_t epoch = 0; ///< Epoch of the attempt in flight.
        std::string target;
        bool mayHaveRun = false;
        bool hasCallerDisconnected = false;
        Error lastError;
    };

    struct Service
    {
        std::optional<ServiceSpec> spec;
        bool isShuttingDown = false;
        Assignment assignment;
        std::vector<Instance> targets;
        double retryTokens = 0;
        std::map<std::uint32_t, double> load;
        std::map<std::size_t, Duration> meanDurations; ///< Smoothed response time by endpoint rule index.
    };

    void onEvent(const RequestArrived &event);
    void onEvent(const AttemptFinished &event);
    void onEvent(const CallerDisconnected &event);
    void onEvent(const RouterTick &event);
    void onEvent(const WorkspaceChanged &event);
    void onEvent(const OwnersChanged &event);
    void onEvent(const TargetsChanged &event);
    void onEvent(const SlotsGranted &event);

    std::optional<Error> routingError(const RequestHead &head) const;
    Request makeRequest(const RequestHead &head, Service &service);
    void route(Request &request);
    static const Instance *findTarget(const Service &service, const std::string &id) noexcept;
    void updateTargets(const ServiceId &id, Service &service);
    void reroutePending(const ServiceId &service);
    void expectBursts(const Service &service, const Assignment &next);
    void abandonAttemptsAtLostOwners(const ServiceId &id);
    void releaseSlot(const std::string &target, WorkClass workClass, bool wasShed);
    void completeRequest(Request &request);
    void handleFailedAttempt(Request &request, AttemptEnd end);
    void expireRequest(Request &request);
    const Instance *chooseTarget(const Request &request, Service &service, std::uint64_t &epoch);
    void enqueue(Request &request, const std::string &target);
    void startQueued(const std::string &target);
    void start(Request &request, const Instance &target, std::uint64_t epoch);
    void scheduleRetry(Request &request, Duration wait);
    bool consumeRetryToken(Service &service) noexcept;
    void failRequest(Request &request, const Error &error);
    void rejectAsNotRun(RequestId id, Error error);
    void removeRequest(RequestId id);
    void recordDuration(Service &service, const Request &request, Duration taken);
    void sendSlotDemand(TargetQueue &queue, const std::string &target);
    std::string allocatorFor(const std::string &target, const TargetQueue &queue);
    void failExpired(Request &request);
    TargetQueue &queueOf(const std::string &target, const ServiceSpec &spec);
    Service *serviceOf(const ServiceId &id);

    RouterLimits m_limits;
    std::mt19937_64 m_random;
    Time m_now = 0ms;
    Effects m_effects;
    std::map<ServiceId, Service> m_services;
    std::map<std::string, WorkspaceState> m_workspaces;
    std::map<std::string, std::set<std::string>> m_drained; ///< By workspace.
    InstanceView m_view;
    std::unordered_map<RequestId, Request> m_requests;
    std::unordered_map<std::string, TargetQueue> m_queues;
    std::set<std::string> m_changedQueues; ///< Targets whose queues the current event changed.
    /// Rank of each target's current allocator, and the time at which the allocator of rank 0 is used again.
    std::map<std::string, std::pair<std::size_t, Time>> m_fallbackAllocators;
    std::vector<std::string> m_daemons;
    /// Attempts abandoned in flight, with the target and work class of the slot that they still occupy.
    std::map<std::pair<RequestId, std::uint32_t>, std::pair<std::string, WorkClass>> m_abandonedAttempts;
};

} // namespace sardinehinge::core
