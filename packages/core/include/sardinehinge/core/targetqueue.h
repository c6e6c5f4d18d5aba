#pragma once

#include <sardinehinge/core/types.h>
#include <sardinehinge/core/workspacespec.h>

#include <array>
#include <deque>
#include <map>
#include <optional>

namespace sardinehinge::core {

/// Requests of this daemon that wait for one target, and how many may run there at once.
///
/// The number that may run is learnt by additive increase and multiplicative decrease (Chiu and Jain, 1989), with the
/// target's own refusals as the signal; it starts at 1, so that a cold target gets its work slowly. Within a class,
/// callers take turns; long work never holds more than its share of the slots.
class TargetQueue
{
public:
    using Id = std::uint64_t;

    /// `slots`: 1 to 1000; `longSlots`: 0 to `slots`.
    TargetQueue(std::uint32_t slots, std::uint32_t longSlots) noexcept;

    void setSlots(std::uint32_t slots, std::uint32_t longSlots) noexcept;

    void push(Id id, const std::string &caller, WorkClass workClass);
    /// Puts a request that the target shed in front of its caller's others.
    void pushFront(Id id, const std::string &caller, WorkClass workClass);
    /// Takes a request that waits no more; false if it wasn't here.
    bool remove(Id id, const std::string &caller, WorkClass workClass);
    /// The next request to start at `now`, or nothing. It counts as running until finished().
    std::optional<Id> takeNext(Time now);

    /// A running request ended. `wasShed`: the target refused it for want of a slot, so the limit falls and the target
    /// rests for a pause between `pause` and `pauseMax`.
    void finished(WorkClass workClass, bool wasShed, Time now, Duration pause, Duration pauseMax);

    std::size_t waiting() const noexcept { return m_waiting; }
    std::uint32_t running() const noexcept { return m_running[0] + m_running[1]; }
    double limit() const noexcept { return m_limit; }
    /// Smoothed time that requests spend at the target; zero before the first answer.
    Duration meanDuration() const noexcept { return m_meanDuration; }
    void learnDuration(Duration taken) noexcept;
    /// How long a request that is pushed now would wait, from the queue's length and the mean duration.
    Duration expectedWait() const noexcept;

private:
    /// Requests of one class, by caller; callers take turns in the order of `turns`.
    struct Line
    {
        std::map<std::string, std::deque<Id>> byCaller;
        std::deque<std::string> turns;
    };

    Line &lineOf(WorkClass workClass) noexcept { return m_lines[static_cast<std::size_t>(workClass)]; }
    std::optional<Id> takeFrom(WorkClass workClass);
    std::uint32_t longLimit() const noexcept;

    std::uint32_t m_slots;
    std::uint32_t m_longSlots;
    double m_limit = 1;
    std::array<Line, 2> m_lines;
    std::array<std::uint32_t, 2> m_running{};
    std::size_t m_waiting = 0;
    Time m_restsUntil = 0ms;
    Duration m_pause = 0ms;
    Duration m_meanDuration = 0ms;
};

} // namespace sardinehinge::core
