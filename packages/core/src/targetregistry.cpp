#include <sardinehinge/core/targetregistry.h>

#include <algorithm>
#include <utility>

namespace sardinehinge::core {

void TargetRegistry::put(const RegisteredTarget &target, Time now)
{
    Entry &entry = m_entries[target.identity.id];
    const bool isSame = entry.target == target && entry.vanishedAt == 0ms;
    entry = {target, now + target.warmupLeft, 0ms, 0ms};
    m_isChanged = m_isChanged || !isSame;
}

void TargetRegistry::remove(const std::string &id, Time now, Time completeAt)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.vanishedAt != 0ms)
        return;
    found->second.vanishedAt = now;
    found->second.removalAt
        = std::min(now + m_timing.removalDelay, completeAt + m_timing.drainBound - m_timing.sendMargin);
}

void TargetRegistry::keepOnly(const std::vector<std::string> &present, Time now, Time completeAt)
{
    for (const auto &[id, entry] : m_entries) {
        if (std::find(present.begin(), present.end(), id) == present.end())
            remove(id, now, completeAt);
    }
}

void TargetRegistry::storeReconnected(Time now) noexcept
{
    if (!std::exchange(m_isStoreDisconnected, false))
        return;
    m_recoveryEnd = now + m_timing.recoveryGrace;
}

std::vector<std::string> TargetRegistry::expire(Time now)
{
    std::vector<std::string> expired;
    for (const auto &[id, entry] : m_entries) {
        if (entry.vanishedAt == 0ms)
            continue;
        // A draining target has announced that it leaves, so its entry can't merely have lapsed.
        const bool isDue = entry.target.isDraining || now >= entry.removalAt;
        const bool isStoreReliable = entry.target.isDraining || (!m_isStoreDisconnected && now >= m_recoveryEnd);
        if (isDue && isStoreReliable)
            expired.push_back(id);
    }
    for (const std::string &id : expired)
        m_entries.erase(id);
    m_isChanged = m_isChanged || !expired.empty();
    return expired;
}

bool TargetRegistry::takeChanged() noexcept
{
    return std::exchange(m_isChanged, false);
}

std::vector<RegisteredTarget> TargetRegistry::targets(Time now) const
{
    std::vector<RegisteredTarget> targets;
    for (const auto &[id, entry] : m_entries) {
        targets.push_back(entry.target);
        targets.back().warmupLeft = std::max(entry.warmupEnd - now, Duration(0));
    }
    return targets;
}

const RegisteredTarget *TargetRegistry::find(const std::string &id) const noexcept
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second.target;
}

} // namespace sardinehinge::core
