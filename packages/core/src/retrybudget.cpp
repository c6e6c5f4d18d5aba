#include <sardinehinge/core/retrybudget.h>

#include <algorithm>

namespace sardinehinge::core {

void RetryBudget::add(std::deque<Entry> &entries, Time now)
{
    if (entries.empty() || now - entries.back().at >= step)
        entries.push_back({now, 0});
    ++entries.back().count;
}

std::uint32_t RetryBudget::countFrom(std::deque<Entry> &entries, Time oldest)
{
    while (!entries.empty() && entries.front().at <= oldest)
        entries.pop_front();
    std::uint32_t count = 0;
    for (const Entry &entry : entries)
        count += entry.count;
    return count;
}

void RetryBudget::addRequest(Time now)
{
    add(m_requests, now);
    if (m_requests.size() > mostEntries)
        m_requests.pop_front();
}

bool RetryBudget::spend(const RetryAllowance &allowance, std::size_t daemons, Time now)
{
    // An entry covers one step from its time on. Repeats count while any of it may be in the window, requests only
    // while all of it is.
    const double requests = countFrom(m_requests, now - allowance.window);
    const double repeats = countFrom(m_repeats, now - allowance.window - step);
    const double share = allowance.slack / static_cast<double>(std::max<std::size_t>(daemons, 1));
    if (repeats + 1 > allowance.ratio * requests + share)
        return false;
    add(m_repeats, now);
    return true;
}

} // namespace sardinehinge::core
