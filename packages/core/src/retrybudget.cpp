#include <sardinehinge/core/retrybudget.h>

#include <algorithm>

namespace sardinehinge::core {

void RetryBudget::add(std::deque<Entry> &entries, Time now)
{
    if (entries.empty() || now - entries.back().at >= step)
        entries.push_back({now, 0});
    ++entries.back().count;
}

std::uint32_t RetryBudget::countSince(std::deque<Entry> &entries, Time since)
{
    // An entry covers one step from its time on: it leaves only when all of it is outside the window.
    while (!entries.empty() && entries.front().at + step < since)
        entries.pop_front();
    std::uint32_t count = 0;
    for (const Entry &entry : entries)
        count += entry.count;
    return count;
}

void RetryBudget::addRequest(Time now)
{
    add(m_requests, now);
    if (m_requests.size() > 400)
        m_requests.pop_front();
}

bool RetryBudget::spend(const RetryAllowance &allowance, std::size_t daemons, Time now)
{
    const Time since = now - allowance.window;
    const double requests = countSince(m_requests, since + step);
    const double repeats = countSince(m_repeats, since);
    const double share = allowance.slack / static_cast<double>(std::max<std::size_t>(daemons, 1));
    if (repeats + 1 > allowance.ratio * requests + share)
        return false;
    add(m_repeats, now);
    return true;
}

} // namespace sardinehinge::core
