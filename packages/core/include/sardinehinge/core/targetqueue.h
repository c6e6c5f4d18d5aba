#pragma once

#include <sardinehinge/core/messages.h>
#include <sardinehinge/core/types.h>
#include <sardinehinge/core/workspacespec.h>

#include <array>
#include <deque>
#include <map>
#include <optional>

namespace sardinehinge::core {

/// Durations and limits of a TargetQueue.
struct QueueTiming
{
    Duration demandRepeatInterval = 10ms; ///< Repeats the demand while requests wait, as messages may be lost.
    Duration reportInterval = 100ms; ///< Minimum time between demands while slots are plentiful.
    Duration spareSlotsLifetime = 2s; ///< Validity of the allocator's notice that slots are plentiful.
    Duration releaseReportDelay = 4ms; ///< Delay before slots that the allocator counts as used are reported free.
    std::uint32_t maxPermitReuses = 3; ///< Further requests on one permit before it returns to the allocator.
    std::uint32_t maxStartsWithoutPermit = 2; ///< Requests that may run without a permit while slots are plentiful.
    Duration allocatorTimeout = 150ms; ///< After this time without an answer to repeated demands, the target's
                                       ///< refusals limit concurrency.
    Duration minShedBackoff = 2ms; ///< Initial pause after the target sheds a request; doubles to the maximum.
    Duration maxShedBackoff = 32ms;
    Duration acceptableWait = 8ms; ///< Waits above this indicate overload if they last.
    Duration overloadOnset = 30ms; ///< The queue is overloaded after waits were too long for this time.
    Duration burstDuration = 500ms; ///< Waits are ignored for this time after shards have moved here.
    Duration overloadHold = 1s; ///< Overload ends this time after the last wait above acceptableWait.

    bool operator==(const QueueTiming &) const = default;
};

/// Queue of this daemon's requests for one target; decides which of them may start.
///
/// A request starts with a permit from the target's SlotAllocator, or without one while slots are plentiful. If the
/// allocator doesn't answer, the concurrency limit follows the target's refusals by additive increase and
/// multiplicative decrease (Chiu and Jain, 1989). Callers within a class are served round-robin.
class TargetQueue
{
public:
    using Id = std::uint64_t;

    /// `slots`: 1 to 1000; `longSlots`: 0 to `slots`. Both are totals over all daemons.
    TargetQueue(std::string target, std::uint32_t slots, std::uint32_t longSlots, QueueTiming timing = {});

    void setSlots(std::uint32_t slots, std::uint32_t longSlots) noexcept;

    void push(Id id, const std::string &caller, WorkClass workClass, Time now);
    /// Queues a request that the target shed ahead of the caller's other requests.
    void pushFront(Id id, const std::string &caller, WorkClass workClass, Time now);
    /// Removes a waiting request; returns false if it isn't queued.
    bool remove(Id id, const std::string &caller, WorkClass workClass);
    /// Removes and returns the next request to start, if any. It counts as running until finished() is called.
    std::optional<Id> takeNext(Time now);
    /// Records the end of a running request. `wasShed`: the target refused it because no slot was free.
    void finished(WorkClass workClass, bool wasShed, Time now);

    /// Returns the demand to send to the allocator, if one is due, and marks it as sent.
    std::optional<SlotDemand> takeDueDemand(Time now);
    /// Whether takeDueDemand() must be called again to keep the allocator informed.
    bool needsReporting() const noexcept { return m_hasUnsentChanges || m_waiting != 0 || running() != 0; }
    /// Applies a grant from the allocator.
    void take(const SlotGrant &grant, Time now);
    /// Whether requests wait and the allocator hasn't answered within allocatorTimeout.
    bool isAllocatorSilent(Time now) const noexcept;

    std::size_t waiting() const noexcept { return m_waiting; }
    std::uint32_t running() const noexcept { return m_running[0] + m_running[1]; }
    /// Concurrency limit without an allocator.
    double limit() const noexcept { return m_limit; }
    /// Smoothed duration of short requests at the target; zero before the first answer.
    Duration meanDuration() const noexcept { return m_meanDuration; }
    void recordDuration(Duration taken) noexcept;
    /// Estimated wait of a request that is queued now, from the recent interval between starts.
    Duration expectedWait() const noexcept;
    /// Ignores waits for burstDuration: requests that waited for shards arrive in a burst after the shards have moved
    /// to the target, which isn't overload.
    void expectBurst(Time now) noexcept;
    /// Whether a further request would only lengthen all waits: waits have exceeded acceptableWait for overloadOnset
    /// (the signal of CoDel, Nichols and Jacobson, 2012), and the oldest waiting short request exceeds it now.
    bool isOverloaded(Time now) const noexcept;

private:
    struct Entry
    {
        Id id = 0;
        Time pushedAt = 0ms;
    };

    /// Requests of one work class by caller; `callerOrder` is the round-robin order.
    struct ClassQueue
    {
        std::map<std::string, std::deque<Entry>> byCaller;
        std::deque<std::string> callerOrder;
        std::uint64_t wanted = 0; ///< Cumulative, as in SlotDemand.
        std::uint64_t granted = 0;
        std::uint64_t started = 0;
        std::uint64_t finished = 0;
    };

    ClassQueue &queueOf(WorkClass workClass) noexcept { return m_classQueues[static_cast<std::size_t>(workClass)]; }
    void add(Id id, const std::string &caller, WorkClass workClass, Time now, bool isFirst);
    bool mayStart(WorkClass workClass, Time now);
    Id takeFrom(WorkClass workClass, Time now);
    void recordWait(Duration wait, Time now) noexcept;
    ClassCounts counts(std::uint64_t ClassQueue::*count) const noexcept;
    bool isContended(Time now) const noexcept;
    void reusePermit(ClassQueue &queue) noexcept;
    Duration longestWait(Time now) const noexcept;

    std::string m_target;
    std::uint32_t m_slots;
    std::uint32_t m_longSlots;
    QueueTiming m_timing;
    double m_limit = 1;
    std::array<ClassQueue, 2> m_classQueues;
    std::array<std::uint32_t, 2> m_running{};
    std::size_t m_waiting = 0;
    Time m_backoffUntil = 0ms;
    Duration m_backoff = 0ms;
    std::uint32_t m_reuses = 0; ///< Permits reused since the allocator's last grant.
    Duration m_meanDuration = 0ms;
    Duration m_startInterval = 0ms; ///< Smoothed time between two starts while requests waited.
    Time m_lastStart = 0ms;
    bool m_wasBacklogged = false; ///< Requests still waited after the last start.
    Time m_waitingSince = 0ms;
    Time m_lastGrant = 0ms;
    Time m_spareSlotsUntil = 0ms;
    Time m_lastDemand = 0ms;
    bool m_allocatorCountsPermits = false; ///< The allocator counts unfinished permits for this daemon.
    bool m_hasUnsentChanges = false; ///< Counts changed since the last demand.
    std::optional<Time> m_longWaitsSince; ///< All waits since then exceeded acceptableWait.
    Time m_overloadedUntil = 0ms;
    Time m_burstUntil = 0ms;
};

} // namespace sardinehinge::core
