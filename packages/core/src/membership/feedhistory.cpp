#include <sardinehinge/core/membership/feedhistory.h>

#include <algorithm>

namespace sardinehinge::core {

void FeedHistory::add(FeedAnswer answer, StoreEra era)
{
    if (era != m_era || (!m_answers.empty() && answer.base > m_answers.back().revision)) {
        m_answers.clear();
        m_bytes = 0;
    }
    m_era = era;
    m_bytes += answer.source.size();
    m_answers.push_back(std::move(answer));
    while (m_answers.size() > maxAnswers || m_bytes > maxBytes) {
        m_bytes -= m_answers.front().source.size();
        m_answers.pop_front();
        if (m_answers.empty())
            break;
    }
}

std::optional<std::vector<FeedAnswer>> FeedHistory::since(std::uint64_t completeTo, StoreEra era) const
{
    if (era != m_era || m_answers.empty())
        return std::nullopt;
    const auto first = std::find_if(m_answers.begin(), m_answers.end(),
                                    [completeTo](const FeedAnswer &answer) { return completeTo < answer.revision; });
    if (first != m_answers.end() && completeTo < first->base)
        return std::nullopt;
    return std::vector<FeedAnswer>(first, m_answers.end());
}

bool RelayBudget::trySpend(std::size_t bytes, Time now) noexcept
{
    if (m_bytesPerSecond <= 0)
        return true;
    const auto needed = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(static_cast<double>(bytes) / m_bytesPerSecond));
    const Time begin = std::max(m_freeAt, now);
    if (begin - now > burstTime)
        return false;
    m_freeAt = begin + needed;
    return true;
}

} // namespace sardinehinge::core
