#include <sardinehinge/core/daemonranking.h>

#include <sardinehinge/core/sharding.h>

#include <algorithm>
#include <utility>

namespace sardinehinge::core {

DaemonRanking::DaemonRanking(std::string self)
    : m_self(std::move(self))
    , m_daemons{m_self}
{
}

bool DaemonRanking::add(const std::string &daemon)
{
    if (!m_daemons.insert(daemon).second)
        return false;
    m_cache.clear();
    return true;
}

void DaemonRanking::heard(const std::string &daemon, Time now)
{
    m_contacts[daemon] = {now, 0ms, 0ms};
}

bool DaemonRanking::notAnswered(const std::string &daemon, Time since, Time now)
{
    Contact &contact = m_contacts[daemon];
    if (contact.heardAt > since)
        return false;
    contact.silence = contact.silence == 0ms ? firstSilence : std::min(contact.silence * 2, longestSilence);
    contact.silentUntil = now + contact.silence;
    return true;
}

const std::vector<std::string> &DaemonRanking::candidatesFor(std::string_view name) const
{
    if (const auto found = m_cache.find(name); found != m_cache.end())
        return found->second;
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(m_daemons.size());
    for (const std::string &daemon : m_daemons)
        ranked.emplace_back(rendezvousRank(name, daemon), daemon);
    const std::size_t count = std::min(candidates, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end());
    if (m_cache.size() >= maxCachedNames)
        m_cache.clear();
    std::vector<std::string> &first = m_cache[std::string(name)];
    for (std::size_t index = 0; index < count; ++index)
        first.push_back(std::move(ranked[index].second));
    return first;
}

std::vector<std::string> DaemonRanking::firstFor(std::string_view name, std::size_t count, Time now) const
{
    std::vector<std::string> first;
    for (const std::string &daemon : candidatesFor(name)) {
        const auto contact = m_contacts.find(daemon);
        if (first.size() < count && (contact == m_contacts.end() || now >= contact->second.silentUntil))
            first.push_back(daemon);
    }
    return first;
}

} // namespace sardinehinge::core
