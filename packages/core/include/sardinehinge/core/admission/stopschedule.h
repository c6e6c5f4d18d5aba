#pragma once

#include <sardinehinge/core/types.h>

#include <algorithm>

namespace sardinehinge::core {

/// What an instance that stops does when, counted from the signal.
///
/// Designed for requests that come late in a planned stop, or wait for a target that never answers: none of them may be
/// cut without an answer. Requests are served while the balancer still sends callers, but not in the second half of the
/// time: a later one might be cut at its target, and other instances have all the time that it needs.
struct StopSchedule
{
    Duration stopListening{}; ///< The balancer sends no new connections any more.
    Duration lastAdmission{}; ///< Requests that come later are refused as not run.
    Duration finalAnswers{}; ///< What is still in work is answered as not run or, if it was sent, as unknown.
    Duration end{}; ///< Of the process.

    bool operator==(const StopSchedule &) const = default;
};

/// Returns the schedule for a platform that ends the process `stopTime` after the signal.
inline StopSchedule stopScheduleFor(Duration stopTime)
{
    using namespace std::chrono_literals;
    constexpr Duration balancerTime = 2600ms; // Two questions, a second apart.
    constexpr Duration firstRequestTime = 400ms; // For callers that connected last.
    constexpr Duration writeTime = 300ms; // For the final answers, also on a part of a core.
    constexpr Duration margin = 300ms; // Before the platform ends the process.
    const Duration half = stopTime / 2;
    const Duration end = std::max(stopTime - margin, half);
    return {std::min(balancerTime, half), std::min(balancerTime + firstRequestTime, half),
            std::max(end - writeTime, half), end};
}

} // namespace sardinehinge::core
