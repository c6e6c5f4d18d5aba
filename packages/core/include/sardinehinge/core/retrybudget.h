#pragma once

#include <sardinehinge/core/types.h>

#include <cstdint>
#include <deque>
#include <vector>

namespace sardinehinge::core {

/// Limit on retries to one service, summed over all daemons.
///
/// In every window all daemons together may send `ratio` retries per caller request, plus `slack`. The caller requests
/// are those of the same window, the preceding window or the window half a window earlier, whichever has the most.
struct RetryAllowance
{
    double ratio = 0.1; ///< Retries per caller request.
    double slack = 20; ///< Additional retries per window, shared by all daemons.
    Duration window = std::chrono::seconds(10);

    bool operator==(const RetryAllowance &) const = default;
};

/// Longest time from granting a retry until it reaches a target: up to 0.5 s for its key's next owner, 0.25 s for a
/// connection, and the wait for network link capacity.
constexpr Duration maxRetrySendDelay = std::chrono::milliseconds(1000);

/// Returns the allowance of a daemon that started again `age` ago. Its earlier life may have spent its share of the
/// slack just before, so the new one has none until the last retry of that life is a window ago.
///
/// What the earlier life may have spent in proportion to its requests isn't taken off: in a steady rate it leaves room
/// for the new one's, but a fleet that sends on the retries of a whole window in moments, and is killed then, may
/// exceed the allowance. To rule that out, a daemon would send no retry in its first window.
RetryAllowance allowanceAfterRestart(const RetryAllowance &allowance, Duration age) noexcept;

/// One daemon's share of a service's retry allowance. The daemons need no messages to stay within the allowance
/// together: each one spends its share of the slack, and retries in proportion to the requests that it received itself.
///
/// A retry is granted only if no window that contains it can exceed the allowance, whatever the load does later:
/// otherwise falling load would leave more retries in a window than its requests allow.
class RetryBudget
{
public:
    /// Counts a request from a caller for the service.
    void addRequest(Time now);
    /// Takes one retry from the budget; returns false if it is exhausted. `daemons`: number of daemons that share the
    /// slack, at least 1.
    bool trySpend(const RetryAllowance &allowance, std::size_t daemons, Time now);

private:
    /// Events are counted in steps of this length, which bounds the number of entries per window.
    static constexpr Duration step = std::chrono::milliseconds(250);
    /// Bounds the memory per service: 400 steps are 100 s, longer than any two windows.
    static constexpr std::size_t maxEntries = 400;

    struct Entry
    {
        std::int64_t step = 0; ///< Number of the step since the clock's epoch.
        std::uint32_t count = 0;
    };

    /// Prefix sums over steps.
    class Sums
    {
    public:
        Sums(const std::deque<Entry> &entries, std::int64_t first, std::int64_t last);
        /// Returns the number of events in the steps from `first` to `last`, both inclusive; steps outside the summed
        /// range count as empty.
        double between(std::int64_t first, std::int64_t last) const noexcept;

    private:
        std::int64_t m_first;
        std::vector<std::uint32_t> m_before; ///< By step: number of events in earlier steps.
    };

    static void add(std::deque<Entry> &entries, Time now);

    std::deque<Entry> m_requests;
    std::deque<Entry> m_retries;
};

} // namespace sardinehinge::core
