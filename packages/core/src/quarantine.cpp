#include <sardinehinge/core/quarantine.h>

#include <algorithm>

#include <xxhash.h>

namespace sardinehinge::core {

std::size_t CrashCounter::add(const CrashReport &report, const std::string &from, Time now)
{
    constexpr std::size_t maxReporters = 16; ///< Of one crash; enough for every threshold.
    if (m_crashes.size() >= maxRequests && !m_crashes.contains(report.request)) {
        m_crashes.erase(std::min_element(m_crashes.begin(), m_crashes.end(), [](const auto &a, const auto &b) {
            return a.second.back().endedAt < b.second.back().endedAt;
        }));
    }
    std::vector<Crash> &crashes = m_crashes[report.request];
    std::erase_if(crashes, [now](const Crash &crash) { return now - crash.endedAt > memory; });
    auto crash = std::find_if(crashes.begin(), crashes.end(),
                              [&report](const Crash &each) { return each.target == report.target; });
    if (crash == crashes.end())
        crash = crashes.insert(crashes.end(), {report.target, now - report.sentAgo, now - report.endedAgo, {}});
    const CrashReport first{report.request, report.target, now - crash->sentAt, now - crash->endedAt};
    if (crash->copies.size() < maxReporters && areCopies(first, report))
        crash->copies.try_emplace(from, report.copies);
    std::sort(crashes.begin(), crashes.end(), [](const Crash &a, const Crash &b) { return a.endedAt < b.endedAt; });
    return crashes.size();
}

/// Whether enough crashes followed each other: the request was sent again after the one before.
bool CrashCounter::isStrong(const std::vector<Crash> &crashes) noexcept
{
    if (crashes.empty())
        return false;
    std::size_t successive = 1;
    Time latest = crashes.front().endedAt;
    for (const Crash &crash : crashes) {
        if (crash.sentAt < latest)
            continue;
        ++successive;
        latest = crash.endedAt;
    }
    return successive >= crashesToQuarantine;
}

std::optional<Quarantine> CrashCounter::quarantine(const RequestFingerprint &request, Time now) const
{
    const auto found = m_crashes.find(request);
    if (found == m_crashes.end() || found->second.empty())
        return std::nullopt;
    const std::vector<Crash> &crashes = found->second;
    std::size_t copies = 0;
    for (const Crash &crash : crashes) {
        for (const auto &[daemon, count] : crash.copies)
            copies += count;
    }
    if (crashes.size() < crashesToQuarantine && copies < crashesToQuarantine)
        return std::nullopt;
    const Duration age = now - crashes.front().endedAt;
    if (isStrong(crashes))
        return Quarantine{request, 1, age, quarantineTime};
    return Quarantine{request, 1, age + answerTimeBeforeCrashes,
                      crashes.size() < crashesToQuarantine ? quarantineTimeByWeakEvidence : quarantineTime};
}

void CrashCounter::forget(const RequestFingerprint &request)
{
    const auto found = m_crashes.find(request);
    if (found == m_crashes.end())
        return;
    if (isStrong(found->second))
        m_crashes.erase(found);
    else
        std::for_each(found->second.begin(), found->second.end(), [](Crash &crash) { crash.copies.clear(); });
}

bool QuarantineList::merge(const Quarantine &quarantine, Time now)
{
    if (!quarantine.request.isSet() || quarantine.timeLeft <= 0ms)
        return false;
    const auto known = m_entries.find(quarantine.request);
    if (known != m_entries.end() && known->second.generation >= quarantine.generation)
        return false;
    if (known == m_entries.end() && m_entries.size() >= maxRequests) {
        m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(),
                                         [](const auto &a, const auto &b) { return a.second.end < b.second.end; }));
    }
    m_entries[quarantine.request]
        = {quarantine.generation, now - quarantine.evidenceAge, now + std::min(quarantine.timeLeft, quarantineTime)};
    return true;
}

std::optional<Quarantine> QuarantineList::lifted(const RequestFingerprint &request, Time now) const
{
    const auto found = m_entries.find(request);
    if (found == m_entries.end() || found->second.generation % 2 == 0 || now >= found->second.end)
        return std::nullopt;
    Quarantine lifted = toQuarantine(request, found->second, now);
    ++lifted.generation;
    return lifted;
}

std::uint32_t QuarantineList::nextGeneration(const RequestFingerprint &request) const
{
    const auto found = m_entries.find(request);
    return found == m_entries.end() ? 1 : found->second.generation + 1 + found->second.generation % 2;
}

std::vector<Quarantine> QuarantineList::all(Time now) const
{
    std::vector<Quarantine> quarantines;
    for (const auto &[request, entry] : m_entries) {
        if (now < entry.end)
            quarantines.push_back(toQuarantine(request, entry, now));
    }
    return quarantines;
}

Quarantine QuarantineList::toQuarantine(const RequestFingerprint &request, const Entry &entry, Time now) const noexcept
{
    return {request, entry.generation, now - entry.evidenceSince, entry.end - now};
}

std::uint64_t QuarantineList::digest(Time now) const noexcept
{
    std::uint64_t sum = 0;
    for (const auto &[request, entry] : m_entries) {
        if (now >= entry.end)
            continue;
        const std::uint64_t parts[] = {request.high, request.low, entry.generation};
        sum ^= XXH3_64bits(parts, sizeof(parts));
    }
    return sum;
}

std::vector<RequestFingerprint> QuarantineList::expire(Time now)
{
    std::vector<RequestFingerprint> expired;
    std::erase_if(m_entries, [now, &expired](const auto &entry) {
        const bool isOver = now >= entry.second.end;
        if (isOver && entry.second.generation % 2 == 1)
            expired.push_back(entry.first);
        return isOver;
    });
    return expired;
}

std::size_t QuarantineList::inForce() const noexcept
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(),
                                                  [](const auto &entry) { return entry.second.generation % 2 == 1; }));
}

} // namespace sardinehinge::core
