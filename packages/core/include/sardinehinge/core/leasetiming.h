#pragma once

#include <sardinehinge/core/types.h>

namespace sardinehinge::core {

/// Durations used by ownership control. Their sums bound how long a key is unavailable; the bound is 1 s.
///
/// After the loss of a target: targetLease + clock drift + one store write + one order + one push, about 0.45 s.
/// After the loss of a target and the controller at the same time: suspicionTimeout + candidacy + controlLease
/// + targetLease + clock drift + store write and orders, about 0.9 s. parts_test.cpp checks these sums.
struct LeaseTiming
{
    Duration heartbeatInterval = 40ms; ///< Between heartbeats from the controller to its witnesses.
    Duration controlLease = 160ms; ///< Controller's lease once a majority acknowledged; runs from the time of sending.
    Duration suspicionTimeout = 180ms; ///< Silence before a witness may become a candidate. Exceeds controlLease.
    Duration candidacyStagger = 60ms; ///< Added to the suspicion timeout per position in the witness list.
    Duration targetLease = 400ms; ///< Lease of a grant; runs from the target's clock reading that the order echoes.
    Duration renewalInterval = 80ms; ///< Between orders to a target that renew unchanged grants.
    Duration orderTimeout = 120ms; ///< An unanswered order is resent after this time.
    Duration handoverPollInterval = 4ms; ///< Between orders to a target that is releasing a grant.
    Duration minStoreRetryDelay = 100ms; ///< Initial backoff of a failed store operation; doubles up to the maximum.
    Duration maxStoreRetryDelay = 2s;
    Duration witnessReplacementTimeout = 3s; ///< Silence after which the controller replaces a witness.
    Duration exitedWitnessReplacementTimeout = 300ms; ///< The same for a witness whose process is known to have exited.
    Duration majorityLossTimeout
        = 800ms; ///< The controller ends its term after this time without a majority of witnesses.
    Duration rebalanceInterval = 500ms; ///< Between placement rounds when nothing has changed.
    double maxClockDrift = 0.005; ///< Largest relative rate difference between two clocks.

    bool operator==(const LeaseTiming &) const = default;
};

/// Upper bound of `length` as measured by another process's clock; includes a fixed margin of 5 ms for clock reading.
Duration withDrift(const LeaseTiming &timing, Duration length) noexcept;

} // namespace sardinehinge::core
