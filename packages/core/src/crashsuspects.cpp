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

bool areCopies(const CrashReport &one, const CrashReport &other) noexcept
{
    const auto isNear = [](Duration first, Duration second) { return std::chrono::abs(first - second) <= copyGap; };
    return isNear(one.sentAgo, other.sentAgo) || isNear(one.endedAgo, other.endedAgo);
}

bool CrashSuspects::lost(const RequestFingerprint &request, const TargetIdentity &target, Time sentAt, Time now,
                         TargetLoss loss)
{
    if (!request.isSet())
        return false;
    if (isSilent(loss)) {
        addSilent({request, target, sentAt, now, loss}, now);
        return false;
    }
    while (!m_losses.empty() && (now - m_losses.front().lostAt > evidenceTime || m_losses.size() >= maxLosses))
        m_losses.pop_front();
    m_losses.push_back({request, target, sentAt, now, loss});
    if (m_suspects.size() >= maxSuspects) {
        m_suspects.erase(std::min_element(m_suspects.begin(), m_suspects.end(),
                                          [](const auto &a, const auto &b) { return a.second < b.second; }));
    }
    m_suspects[request] = now;
    std::erase_if(m_probed, [now](const auto &probed) { return now - probed.second >= probeInterval; });
    return m_probed.try_emplace(target, now).second;
}

void CrashSuspects::addSilent(const Loss &loss, Time now)
{
    const auto isOfTarget = [&loss](const Loss &other) { return other.target == loss.target; };
    while (!m_silent.empty() && (now - m_silent.front().lostAt > evidenceTime || m_silent.size() >= maxSilent))
        m_silent.pop_front();
    if (std::count_if(m_silent.begin(), m_silent.end(), isOfTarget) >= static_cast<std::ptrdiff_t>(maxSilentOfTarget))
        m_silent.erase(std::find_if(m_silent.begin(), m_silent.end(), isOfTarget));
    m_silent.push_back(loss);
}

/// An answer to an earlier request may have been under way when the target ended, so only a later one counts.
void CrashSuspects::targetAnswered(const TargetIdentity &target, Time sentAt)
{
    std::erase_if(m_silent,
                  [&target, sentAt](const Loss &loss) { return loss.target == target && sentAt >= loss.lostAt; });
}

void CrashSuspects::report(const Loss &loss, Time now, std::vector<CrashReport> &reports)
{
    // A request that still waits: from when on its silence says something.
    const Time endedAt = loss.loss == TargetLoss::Waiting ? std::min(now, loss.sentAt + minWaitAtEnd) : loss.lostAt;
    const CrashReport single{loss.request, loss.target, now - loss.sentAt, now - endedAt};
    const auto reported = std::find_if(reports.begin(), reports.end(),
                                       [&loss](const CrashReport &report) { return report.request == loss.request; });
    if (reported == reports.end())
        reports.push_back(single);
    else if (areCopies(*reported, single))
        ++reported->copies;
}

std::vector<CrashReport> CrashSuspects::targetEnded(const TargetIdentity &target, LifeEnd end, Time now)
{
    std::vector<CrashReport> reports;
    for (std::deque<Loss> *losses : {&m_losses, &m_silent}) {
        for (const Loss &loss : *losses) {
            if (loss.target == target && now - loss.lostAt <= evidenceTime
                && isEvidence(loss.loss, end, now - loss.sentAt))
                report(loss, now, reports);
        }
        std::erase_if(*losses, [&target](const Loss &loss) { return loss.target == target; });
    }
    return reports;
}

void CrashSuspects::answered(const RequestFingerprint &request, Time now)
{
    if (!request.isSet())
        return;
    if (m_suspects.erase(request) != 0)
        std::erase_if(m_losses, [&request](const Loss &loss) { return loss.request == request; });
    std::erase_if(m_silent, [&request](const Loss &loss) { return loss.request == request; });
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
