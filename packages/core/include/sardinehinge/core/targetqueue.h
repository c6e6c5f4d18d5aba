#pragma once

#include <sardinehinge/core/messages.h>
#include <sardinehinge/core/types.h>
#include <sardinehinge/core/workspacespec.h>

#include <array>
#include <deque>
#include <map>
#include <optional>

namespace sardinehinge::core {

/// Periods and bounds of one daemon's use of a target's slots.
struct QueueTiming
{
    Duration demandRepeat = 10ms; ///< While requests wait, the demand is repeated: messages get lost.
    Duration calmReport = 100ms; ///< While slots are plenty, demands are no more frequent.
    Duration calmLifetime = 2s; ///< How long the word that slots are plenty holds, unless it is taken back.
    Duration returnDelay = 4ms; ///< Slots that the allocator believes taken are reported free after this long.
    std::uint32_t permitReuses = 3; ///< Requests that may follow on one permit before it goes back into the turns.
    std::uint32_t calmStarts = 2; ///< Requests that may then run without a permit.
    Duration allocatorSilence = 150ms; ///< After this long without an answer, though it repeats itself, the daemon
                                       ///< relies on the target's refusals.
    Duration shedPause = 2ms; ///< First pause of a target that shed a request; doubles up to shedPauseMax.
    Duration shedPauseMax = 32ms;
    Duration waitBound = 8ms; ///< Wait that a queue may exceed only for a while.
    Duration waitPatience = 30ms; ///< That while; then the queue is at its crest.
    Duration burstTime = 500ms; ///< How long a burst after a move may last.
    Duration crestMemory = 1s; ///< A crest is over this long after the last wait above the bound.

    bool operator==(const QueueTiming &) const = default;
};

/// Requests of this daemon that wait for one target, and which of them may start.
///
/// A request starts with a permit from the target's allocator (see SlotAllocator), or without one while the allocator
/// said that slots are plenty. When the allocator is silent, the number that may run is learnt by additive increase and
/// multiplicative decrease (Chiu and Jain, 1989) from the target's own refusals. Within a class, callers take turns.
class TargetQueue
{
public:
    using Id = std::uint64_t;

    /// `slots`: 1 to 1000; `longSlots`: 0 to `slots`. Both for all daemons together.
    TargetQueue(std::string target, std::uint32_t slots, std::uint32_t longSlots, QueueTiming timing = {});

    void setSlots(std::uint32_t slots, std::uint32_t longSlots) noexcept;

    void push(Id id, const std::string &caller, WorkClass workClass, Time now);
    /// Puts a request that the target shed in front of its caller's others.
    void pushFront(Id id, const std::string &caller, WorkClass workClass, Time now);
    /// Takes a request that waits no more; false if it wasn't here.
    bool remove(Id id, const std::string &caller, WorkClass workClass);
    /// The next request to start at `now`, or nothing. It counts as running until finished().
    std::optional<Id> takeNext(Time now);
    /// A running request ended. `wasShed`: the target refused it for want of a slot.
    void finished(WorkClass workClass, bool wasShed, Time now);

    /// The demand to send at `now`, or nothing when none is due.
    std::optional<SlotDemand> demandDue(Time now);
    /// Whether the allocator has yet to hear of something.
    bool hasNews() const noexcept { return m_isDirty || m_waiting != 0 || running() != 0; }
    void take(const SlotGrant &grant, Time now);
    /// Whether requests wait and the allocator hasn't answered for long.
    bool isAllocatorSilent(Time now) const noexcept;

    std::size_t waiting() const noexcept { return m_waiting; }
    std::uint32_t running() const noexcept { return m_running[0] + m_running[1]; }
    double limit() const noexcept { return m_limit; }
    /// Smoothed time that short requests spend at the target; zero before the first answer.
    Duration meanDuration() const noexcept { return m_meanDuration; }
    void learnDuration(Duration taken) noexcept;
    /// How long a request that is pushed now would wait, from the pace at which the queue moved lately.
    Duration expectedWait() const noexcept;
    /// Shards have just moved to the target: what waited for them comes in a burst, which is no crest.
    void expectBurst(Time now) noexcept;
    /// Whether one more request would only make all wait: waits have exceeded the bound for long (the signal of CoDel,
    /// Nichols and Jacobson, 2012), and the first in line waits that long already.
    bool isAtCrest(Time now) const noexcept;

private:
    struct Entry
    {
        Id id = 0;
        Time pushedAt = 0ms;
    };

    /// Requests of one class, by caller; callers take turns in the order of `turns`.
    struct Line
    {
        std::map<std::string, std::deque<Entry>> byCaller;
        std::deque<std::string> turns;
        std::uint64_t wanted = 0; ///< Cumulative, as in SlotDemand.
        std::uint64_t granted = 0;
        std::uint64_t started = 0;
        std::uint64_t finished = 0;
    };

    Line &lineOf(WorkClass workClass) noexcept { return m_lines[static_cast<std::size_t>(workClass)]; }
    void add(Id id, const std::string &caller, WorkClass workClass, Time now, bool isFirst);
    bool mayStart(WorkClass workClass, Time now);
    Id takeFrom(WorkClass workClass, Time now);
    void learnWait(Duration wait, Time now) noexcept;
    ClassCounts counts(std::uint64_t Line::*count) const noexcept;
    bool isContended(Time now) const noexcept;
    void reusePermit(Line &line) noexcept;
    Duration longestWait(Time now) const noexcept;

    std::string m_target;
    std::uint32_t m_slots;
    std::uint32_t m_longSlots;
    QueueTiming m_timing;
    double m_limit = 1;
    std::array<Line, 2> m_lines;
    std::array<std::uint32_t, 2> m_running{};
    std::size_t m_waiting = 0;
    Time m_restsUntil = 0ms;
    Duration m_pause = 0ms;
    std::uint32_t m_reuses = 0; ///< Since the last permit of the allocator.
    Duration m_meanDuration = 0ms;
    Duration m_pace = 0ms; ///< Smoothed time between two starts while requests waited.
    Time m_lastStart = 0ms;
    bool m_wasBacklogged = false; ///< Requests still waited after the last start.
    Time m_waitingSince = 0ms;
    Time m_lastGrant = 0ms;
    Time m_calmUntil = 0ms;
    Time m_lastDemand = 0ms;
    bool m_allocatorSeesUse = false; ///< By its latest knowledge this daemon has permits out.
    bool m_isDirty = false; ///< Counts changed since the last demand.
    std::optional<Time> m_overdueSince; ///< Every wait since then exceeded the bound.
    Time m_crestUntil = 0ms;
    Time m_burstUntil = 0ms;
};

} // namespace sardinehinge::core
