#pragma once

#include <sardinehinge/core/types.h>

#include <cstdint>
#include <deque>
#include <vector>

namespace sardinehinge::core {

/// The bound on repeated sends to one service over all daemons: in every window, `ratio` for each request that callers
/// sent in it, in the window before it or in the one half a window before it, whichever has most, and `slack` besides.
struct RetryAllowance
{
    double ratio = 0.1; ///< Repeats for each request that callers sent.
    double slack = 20; ///< Repeats allowed besides, over all daemons together.
    Duration window = std::chrono::seconds(10);

    bool operator==(const RetryAllowance &) const = default;
};

/// One daemon's share of a service's retry allowance. The sum over the fleet stays within the allowance without any
/// message: each daemon spends its share of the slack, and repeats in proportion to the requests that it took itself.
///
/// A repeat is granted only if no window that holds it can exceed the allowance, whatever the load does from now on:
/// load that falls must not leave repeats behind that its requests no longer cover.
class RetryBudget
{
public:
    /// Counts a request that a caller sent for the service.
    void addRequest(Time now);
    /// Takes one repeat from the budget; false when it is spent. `daemons`: how many share the slack, at least 1.
    bool spend(const RetryAllowance &allowance, std::size_t daemons, Time now);

private:
    /// Events are counted in steps of this length, so that a window costs a bounded number of entries.
    static constexpr Duration step = std::chrono::milliseconds(250);
    /// A repeat arrives this much later than it is decided at most: it may wait 0.5 s for its key's next owner, 0.25 s
    /// for a connection, and for room on links.
    static constexpr Duration arrivalSpread = std::chrono::milliseconds(1000);
    /// Entries kept of a service that nobody repeats requests to: 100 s, longer than any two windows.
    static constexpr std::size_t mostEntries = 400;

    struct Entry
    {
        std::int64_t step = 0; ///< Number of the step since the clock's zero.
        std::uint32_t count = 0;
    };

    /// Sums over steps up to the present one.
    class Sums
    {
    public:
        Sums(const std::deque<Entry> &entries, std::int64_t first, std::int64_t last);
        /// Events in the steps from `first` to `last`, both inclusive; those outside what was summed count as none.
        double between(std::int64_t first, std::int64_t last) const noexcept;

    private:
        std::int64_t m_first;
        std::vector<std::uint32_t> m_before; ///< By step: events in earlier ones.
    };

    static void add(std::deque<Entry> &entries, Time now);

    std::deque<Entry> m_requests;
    std::deque<Entry> m_repeats;
};

} // namespace sardinehinge::core
