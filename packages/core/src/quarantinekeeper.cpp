#include <sardinehinge/core/quarantinekeeper.h>

#include <algorithm>
#include <utility>

namespace sardinehinge::core {

QuarantineKeeper::QuarantineKeeper(std::string self, std::uint64_t seed)
    : m_self(std::move(self))
    , m_random(seed)
{
}

QuarantineKeeper::Effects QuarantineKeeper::takeEffects()
{
    return std::exchange(m_effects, {});
}

void QuarantineKeeper::addDaemon(const std::string &daemon)
{
    m_others.push_back(daemon);
}

QuarantineKeeper::Effects QuarantineKeeper::crashed(const CrashReport &report, const DaemonRanking &ranking, Time now)
{
    // Counted here, too: this daemon may see all crashes, and the others may be lost.
    count(report, m_self, now);
    for (const std::string &counter : ranking.firstFor(toString(report.request), crashCounters, now)) {
        if (counter != m_self)
            m_effects.emplace_back(SendCrashReport{counter, report});
    }
    return takeEffects();
}

QuarantineKeeper::Effects QuarantineKeeper::reported(const CrashReport &report, const std::string &from, Time now)
{
    count(report, from, now);
    return takeEffects();
}

void QuarantineKeeper::count(const CrashReport &report, const std::string &from, Time now)
{
    m_effects.emplace_back(CrashCounted{report, m_counter.add(report, from, now)});
    auto quarantine = m_counter.quarantine(report.request, now);
    if (!quarantine || m_list.lifted(report.request, now))
        return; // Too few crashes, or in force already.
    quarantine->generation = m_list.nextGeneration(report.request);
    spread(*quarantine, now);
}

/// Takes in a change of a quarantine, and passes it on if it is news.
void QuarantineKeeper::spread(const Quarantine &quarantine, Time now)
{
    if (!m_list.merge(quarantine, now))
        return;
    if (!quarantine.isInForce())
        m_counter.forget(quarantine.request);
    m_effects.emplace_back(QuarantineChanged{quarantine});
    for (const std::string &daemon : randomDaemons(spreadWidth))
        m_effects.emplace_back(SendQuarantines{daemon, {quarantine}});
}

QuarantineKeeper::Effects QuarantineKeeper::refuted(const RequestFingerprint &request, Time now)
{
    if (const auto lifted = m_list.lifted(request, now))
        spread(*lifted, now);
    return takeEffects();
}

QuarantineKeeper::Effects QuarantineKeeper::received(const std::vector<Quarantine> &quarantines, Time now)
{
    for (const Quarantine &quarantine : quarantines)
        spread(quarantine, now);
    return takeEffects();
}

QuarantineKeeper::Effects QuarantineKeeper::compared(const std::string &from, std::uint64_t digest, bool isReply,
                                                     Time now)
{
    const std::uint64_t own = m_list.digest(now);
    if (own == digest)
        return {};
    sendAll(from, now);
    if (!isReply)
        m_effects.emplace_back(SendQuarantineDigest{from, own, true});
    return takeEffects();
}

QuarantineKeeper::Effects QuarantineKeeper::daemonStarted(const std::string &daemon, Time now)
{
    if (std::uniform_int_distribution<std::size_t>(0, m_others.size())(m_random) < spreadWidth)
        sendAll(daemon, now);
    return takeEffects();
}

void QuarantineKeeper::sendAll(const std::string &to, Time now)
{
    std::vector<Quarantine> entries;
    for (const Quarantine &quarantine : m_list.all(now)) {
        entries.push_back(quarantine);
        if (entries.size() == maxEntries)
            m_effects.emplace_back(SendQuarantines{to, std::exchange(entries, {})});
    }
    if (!entries.empty())
        m_effects.emplace_back(SendQuarantines{to, std::move(entries)});
}

QuarantineKeeper::Effects QuarantineKeeper::tick(Time now)
{
    if (m_list.isEmpty() || now < m_nextComparison)
        return {};
    m_nextComparison = now + comparisonInterval;
    for (const RequestFingerprint &expired : m_list.expire(now))
        m_effects.emplace_back(QuarantineExpired{expired});
    for (const std::string &daemon : randomDaemons(comparisonWidth))
        m_effects.emplace_back(SendQuarantineDigest{daemon, m_list.digest(now), false});
    return takeEffects();
}

std::vector<std::string> QuarantineKeeper::randomDaemons(std::size_t count)
{
    // The first places of a shuffle (Fisher and Yates) that goes on from the former order.
    count = std::min(count, m_others.size());
    for (std::size_t index = 0; index < count; ++index) {
        const auto other = std::uniform_int_distribution<std::size_t>(index, m_others.size() - 1)(m_random);
        std::swap(m_others[index], m_others[other]);
    }
    return {m_others.begin(), m_others.begin() + static_cast<std::ptrdiff_t>(count)};
}

} // namespace sardinehinge::core
