#include <sardinehinge/core/crashsuspects.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace sardinehinge::core {

std::string toString(const RequestFingerprint &fingerprint)
{
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx", static_cast<unsigned long long>(fingerprint.high),
                  static_cast<unsigned long long>(fingerprint.low));
    return text.data();
}

bool CrashSuspects::lost(const RequestFingerprint &request, const TargetIdentity &target, Time sentAt, Time now)
{
    if (!request.isSet())
        return false;
    while (!m_losses.empty() && (now - m_losses.front().lostAt > evidenceTime || m_losses.size() >= maxLosses))
        m_losses.pop_front();
    m_losses.push_back({request, target, sentAt, now});
    if (m_suspects.size() >= maxSuspects) {
        m_suspects.erase(std::min_element(m_suspects.begin(), m_suspects.end(),
                                          [](const auto &a, const auto &b) { return a.second < b.second; }));
    }
    m_suspects[request] = now;
    std::erase_if(m_probed, [now](const auto &probed) { return now - probed.second >= probeInterval; });
    return m_probed.try_emplace(target, now).second;
}

std::vector<CrashReport> CrashSuspects::targetEnded(const TargetIdentity &target, Time now)
{
    std::vector<CrashReport> reports;
    for (const Loss &loss : m_losses) {
        if (loss.target != target || now - loss.lostAt > evidenceTime)
            continue;
        const auto reported = std::find_if(reports.begin(), reports.end(), [&loss](const CrashReport &report) {
            return report.request == loss.request;
        });
        if (reported != reports.end())
            ++reported->copies;
        else
            reports.push_back({loss.request, target, now - loss.sentAt, now - loss.lostAt});
    }
    std::erase_if(m_losses, [&target](const Loss &loss) { return loss.target == target; });
    return reports;
}

void CrashSuspects::answered(const RequestFingerprint &request, Time now)
{
    if (!request.isSet())
        return;
    if (m_suspects.erase(request) != 0)
        std::erase_if(m_losses, [&request](const Loss &loss) { return loss.request == request; });
    m_answered[request] = now;
    m_answeredOrder.emplace_back(now, request);
    while (m_answeredOrder.size() > maxSuccesses) {
        const auto [time, oldest] = m_answeredOrder.front();
        m_answeredOrder.pop_front();
        if (const auto found = m_answered.find(oldest); found != m_answered.end() && found->second == time)
            m_answered.erase(found);
    }
}

bool CrashSuspects::isSuspect(const RequestFingerprint &request, Time now) const
{
    const auto found = m_suspects.find(request);
    return found != m_suspects.end() && now - found->second <= suspicionTime;
}

bool CrashSuspects::wasAnsweredSince(const RequestFingerprint &request, Time since) const
{
    const auto found = m_answered.find(request);
    return found != m_answered.end() && found->second >= since;
}

} // namespace sardinehinge::core
