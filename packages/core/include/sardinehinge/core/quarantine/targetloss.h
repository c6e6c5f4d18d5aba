#pragma once

#include <sardinehinge/core/types.h>

#include <chrono>

/// Every way in which a request can lose its target, and when the end of that target's life is put down to it.
///
/// | the request | refused | replaced | another life | vanished | vanished while leaving | stays |
/// | --- | --- | --- | --- | --- | --- | --- |
/// | its connection closed | yes | yes | yes | yes | yes | no |
/// | no response until its deadline, or until its caller left | yes | yes | late | late | no | no |
/// | still waits | no | late | late | late | no | no |
///
/// Late: if it was sent `minWaitAtEnd` before the end became known, or earlier.
///
/// A slow target is silent, too. Silence counts for nothing once the target has answered a request that was sent after
/// it, and a target that leaves may end with requests that it didn't finish. Before an entry vanishes, the registry has
/// missed the target for a while: what was sent in that time found a target that had ended already. A request that
/// still waits may be answered if the target's host only refuses new connections. An equal request that is answered
/// clears it in every case; see CrashSuspects.
namespace sardinehinge::core {

enum class TargetLoss {
    ConnectionClosed, ///< Reset or closed before the whole response.
    SilentAtDeadline,
    SilentAtLeave, ///< The caller left, and the attempt was cancelled.
    Waiting, ///< No response yet when the end of the target's life becomes known.
};

/// How the end of a target's life becomes known.
enum class LifeEnd {
    Refused, ///< Its host refuses connections.
    Replaced, ///< The registry shows another incarnation.
    OtherLife, ///< Another target answers at its address.
    Vanished, ///< The registry shows no entry any more.
    VanishedLeaving, ///< The same, and the target had said that it leaves.
};

/// Less than the registry takes to miss the heartbeats of a silent target: two seconds or more.
constexpr Duration minWaitAtEnd = std::chrono::milliseconds(1500);

/// Equal requests to one target count as its copies if they were sent, or ended, within this time: copies of a request
/// that came later may have found a silent target.
constexpr Duration copyGap = std::chrono::milliseconds(400);

constexpr bool isSilent(TargetLoss loss) noexcept
{
    return loss != TargetLoss::ConnectionClosed;
}

/// Whether the end of the target's life makes the request a suspect. `waited`: since the request was sent.
constexpr bool isEvidence(TargetLoss loss, LifeEnd end, Duration waited) noexcept
{
    if (!isSilent(loss))
        return true;
    switch (end) {
    case LifeEnd::Refused:
        return loss != TargetLoss::Waiting;
    case LifeEnd::Replaced:
        return loss != TargetLoss::Waiting || waited >= minWaitAtEnd;
    case LifeEnd::OtherLife:
    case LifeEnd::Vanished:
        return waited >= minWaitAtEnd;
    case LifeEnd::VanishedLeaving:
        return false;
    }
    return false;
}

} // namespace sardinehinge::core
