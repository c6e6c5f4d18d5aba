#include <sardinehinge/core/retrybudget.h>

#include <algorithm>

namespace sardinehinge::core {

RetryAllowance allowanceAfterRestart(const RetryAllowance &allowance, Duration age) noexcept
{
    RetryAllowance own = allowance;
    if (age < allowance.window + maxRetrySendDelay)
        own.slack = 0;
    return own;
}

RetryBudget::Sums::Sums(const std::deque<Entry> &entries, std::int64_t first, std::int64_t last)
    : m_first(first)
    , m_before(static_cast<std::size_t>(last - first + 2))
{
    for (const Entry &entry : entries) {
        if (entry.step >= first && entry.step <= last)
            m_before[static_cast<std::size_t>(entry.step - first + 1)] += entry.count;
    }
    for (std::size_t index = 1; index < m_before.size(); ++index)
        m_before[index] += m_before[index - 1];
}

double RetryBudget::Sums::between(std::int64_t first, std::int64_t last) const noexcept
{
    const auto size = static_cast<std::int64_t>(m_before.size());
    const std::int64_t from = std::clamp<std::int64_t>(first - m_first, 0, size - 1);
    const std::int64_t to = std::clamp<std::int64_t>(last - m_first + 1, from, size - 1);
    return m_before[static_cast<std::size_t>(to)] - m_before[static_cast<std::size_t>(from)];
}

void RetryBudget::add(std::deque<Entry> &entries, Time now)
{
    const std::int64_t current = now / step;
    if (entries.empty() || entries.back().step != current)
        entries.push_back({current, 0});
    ++entries.back().count;
    if (entries.size() > maxEntries)
        entries.pop_front();
}

void RetryBudget::addRequest(Time now)
{
    add(m_requests, now);
}

bool RetryBudget::trySpend(const RetryAllowance &allowance, std::size_t daemons, Time now)
{
    const std::int64_t current = now / step;
    const std::int64_t window = allowance.window / step;
    const std::int64_t sendDelay = maxRetrySendDelay / step;
    const std::int64_t oldest = current - (2 * window) - sendDelay;
    const Sums requests(m_requests, oldest, current);
    const Sums retries(m_retries, oldest, current);
    const double share = allowance.slack / static_cast<double>(std::max<std::size_t>(daemons, 1));
    // Check every window that contains the retry. Windows needn't be aligned with steps, so count requests only in
    // steps that lie wholly within the window, and retries in all steps that overlap it.
    for (std::int64_t end = current; end <= current + window + sendDelay; ++end) {
        const double covered = std::max({requests.between(end - window + 1, current),
                                         requests.between(end - (window / 2) - window + 1, end - (window / 2) - 1),
                                         requests.between(end - (2 * window) + 1, end - window - 1)});
        if (retries.between(end - window - sendDelay, current) + 1 > allowance.ratio * covered + share)
            return false;
    }
    add(m_retries, now);
    return true;
}

} // namespace sardinehinge::core
