#pragma once

#include <sardinehinge/core/watchroster.h>

#include <algorithm>
#include <cstddef>

/// The longest ways of a change from the store to a daemon, and the durations that they consist of.
namespace sardinehinge::core {

/// Period of the control duty's timer, which sends notices and takes note of missing ones.
constexpr Duration controlStep = std::chrono::milliseconds(50);
/// For a whole answer of another daemon. A daemon that gets none calls the store.
constexpr Duration peerReadTimeout = std::chrono::milliseconds(400);
/// Pause of a daemon that isn't watching for others, for each daemon: the calls that a series of changes costs the
/// store stay the same for any size of the fleet.
constexpr Duration pausePerDaemon = std::chrono::milliseconds(9);

/// The pause of a daemon that isn't watching for others, in a fleet of `daemons`.
constexpr Duration pauseBetweenCalls(const RosterTiming &timing, std::size_t daemons) noexcept
{
    return std::min(pausePerDaemon * static_cast<Duration::rep>(daemons), timing.longestPause);
}

/// From a change until a daemon has it, if both watching daemons have just lost the store: their last notice ends, the
/// timer notices that, and the daemon's own call takes `callTime`.
constexpr Duration longestWayWithoutNotice(const RosterTiming &timing, Duration callTime) noexcept
{
    return timing.confirmationLifetime + controlStep + callTime;
}

/// The same if a watching daemon has the change: `lostNotices` in a row are lost, the read from that daemon gets no
/// answer, and the daemon's own call waits for the pause that follows earlier changes.
constexpr Duration longestWayByNotice(const RosterTiming &timing, std::size_t daemons, std::size_t lostNotices,
                                      Duration callTime) noexcept
{
    return controlStep + timing.noticeInterval * static_cast<Duration::rep>(lostNotices) + peerReadTimeout
        + pauseBetweenCalls(timing, daemons) + callTime;
}

} // namespace sardinehinge::core
