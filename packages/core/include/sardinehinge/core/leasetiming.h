#pragma once

#include <sardinehinge/core/types.h>

namespace sardinehinge::core {

/// All periods of ownership control in one place, since they must add up.
///
/// Time until a key is served again after its target is lost while the controller lives:
/// targetLease + drift + one store write + one order + one push, about 0.45 s.
/// With the controller lost in the same instant:
/// suspicion + candidacy + controlLease + targetLease + drift + store and orders, about 0.9 s.
/// The target for both is 1 s; tests/timing checks the sums.
struct LeaseTiming
{
    Duration heartbeatPeriod = 40ms; ///< Controller to witnesses.
    Duration controlLease = 160ms; ///< Authority after a majority of witnesses acknowledged, from the time of sending.
    Duration suspicion = 180ms; ///< Silence after which a witness may become a candidate. Exceeds controlLease.
    Duration candidacyStep = 60ms; ///< Extra wait for each later position in the witness list.
    Duration targetLease = 400ms; ///< A target's grants, from the clock reading that the order echoes.
    Duration renewPeriod = 80ms; ///< Orders to a target in a steady state.
    Duration orderTimeout = 120ms; ///< An order that is unanswered for this long is sent again.
    Duration handoverPoll = 4ms; ///< Orders to a target while one of its grants is being released.
    Duration storeRetry = 100ms; ///< First wait before a store operation is tried again.
    Duration storeRetryMax = 2s; ///< Longest such wait; doubling in between.
    Duration witnessReplacement = 3s; ///< Silence after which the controller picks another witness.
    Duration goneWitnessReplacement = 300ms; ///< As above, for a witness whose process is known to be gone.
    Duration authorityPatience = 800ms; ///< Time without a majority of witnesses after which a term is given up.
    Duration rebalancePeriod = 500ms; ///< How often placement is reconsidered without any change.
    double drift = 0.005; ///< Largest rate difference between two clocks, as a share.

    bool operator==(const LeaseTiming &) const = default;
};

/// `length` as the longest time it can take by another process's clock, with a fixed margin of 5 ms for clock reading.
Duration withDrift(const LeaseTiming &timing, Duration length) noexcept;

} // namespace sardinehinge::core
