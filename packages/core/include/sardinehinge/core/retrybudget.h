#pragma once

#include <sardinehinge/core/types.h>

#include <cstdint>
#include <deque>

namespace sardinehinge::core {

/// The bound on repeated sends to one service, over a sliding window and over all daemons.
struct RetryAllowance
{
    double ratio = 0.1; ///< Repeats for each request that callers sent.
    double slack = 20; ///< Repeats allowed besides, over all daemons together.
    Duration window = std::chrono::seconds(10);

    bool operator==(const RetryAllowance &) const = default;
};

/// One daemon's share of a service's retry allowance. The sum over the fleet stays within the allowance without any
/// message: each daemon spends its share of the slack, and repeats in proportion to the requests that it took itself.
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

    /// Entries kept of a service that nobody repeats requests to: 100 s, longer than any window.
    static constexpr std::size_t mostEntries = 400;

    struct Entry
    {
        Time at = 0ms;
        std::uint32_t count = 0;
    };

    static void add(std::deque<Entry> &entries, Time now);
    /// The events after `oldest`; earlier entries are dropped.
    static std::uint32_t countFrom(std::deque<Entry> &entries, Time oldest);

    std::deque<Entry> m_requests;
    std::deque<Entry> m_repeats;
};

} // namespace sardinehinge::core
