#include <sardinehinge/core/targetregistry.h>

#include <algorithm>
#include <utility>

namespace sardinehinge::core {

bool TargetRegistry::put(const RegisteredTarget &target, Time now)
{
    if (isOutdated(target, now))
        return false;
    m_removals.erase(target.identity.id);
    Entry &entry = m_entries[target.identity.id];
    const bool isSame = entry.target == target && entry.vanishedAt == 0ms;
    entry = {target, now + target.warmupLeft, 0ms, 0ms, false, false, {}};
    m_isChanged = m_isChanged || !isSame;
    return true;
}

bool TargetRegistry::isOutdated(const RegisteredTarget &target, Time now)
{
    const Version version = versionOf(target);
    if (const auto removal = m_removals.find(target.identity.id); removal != m_removals.end()) {
        auto &[known, forgetAt, outdated] = removal->second;
        if (m_eraChangedAt && version.incarnation <= known.incarnation)
            outdated = std::max(outdated, std::optional(version));
        if (!outdated || version > *outdated)
            return false;
        forgetAt = now + m_timing.removalMemory;
        return true;
    }
    const auto found = m_entries.find(target.identity.id);
    if (found == m_entries.end())
        return false;
    Entry &entry = found->second;
    if (m_eraChangedAt) {
        const Version known = versionOf(entry.target);
        const bool hasLeft = entry.vanishedAt != 0ms && !entry.isLost;
        const bool isUndone = (hasLeft && version.incarnation == known.incarnation)
            || (entry.target.isDraining && !target.isDraining && version <= known);
        if (isUndone || version.incarnation < known.incarnation)
            entry.outdated = std::max(entry.outdated, std::optional(version));
    }
    return entry.outdated && version <= *entry.outdated;
}

void TargetRegistry::rememberRemoval(const RegisteredTarget &target, const std::optional<Version> &outdated, Time now)
{
    if (m_removals.size() >= m_timing.rememberedRemovals) {
        m_removals.erase(
            std::min_element(m_removals.begin(), m_removals.end(), [](const auto &left, const auto &right) {
                return left.second.forgetAt < right.second.forgetAt;
            }));
    }
    m_removals[target.identity.id] = {versionOf(target), now + m_timing.removalMemory, outdated};
}

void TargetRegistry::eraChanged(Time now) noexcept
{
    m_eraChangedAt = now;
}

bool TargetRegistry::hasOutdatedRemovals() const noexcept
{
    return std::any_of(m_removals.begin(), m_removals.end(),
                       [](const auto &removal) { return removal.second.outdated.has_value(); });
}

bool TargetRegistry::remove(const std::string &id, Time now, Time completeAt)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.vanishedAt != 0ms)
        return false;
    Entry &entry = found->second;
    entry.vanishedAt = now;
    entry.removalAt = std::min(now + m_timing.removalDelay, completeAt + m_timing.drainBound - m_timing.sendMargin);
    entry.mayHaveLapsed = mayLapse(now);
    return true;
}

void TargetRegistry::keepOnly(const std::vector<std::string> &present, Time now, Time completeAt)
{
    const auto eraChangedAt = std::exchange(m_eraChangedAt, std::nullopt);
    for (auto &[id, entry] : m_entries) {
        if (entry.vanishedAt != 0ms || std::find(present.begin(), present.end(), id) != present.end())
            continue;
        remove(id, now, completeAt);
        if (eraChangedAt) {
            entry.removalAt = *eraChangedAt + m_timing.recoveryGrace;
            entry.isLost = true;
            entry.mayHaveLapsed = true;
        }
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
        const bool mayReappear = entry.mayHaveLapsed && mayLapse(now);
        // A draining target has announced that it leaves, so its entry can't merely have lapsed.
        if (entry.target.isDraining || (now >= entry.removalAt && !mayReappear))
            expired.push_back(id);
    }
    for (const std::string &id : expired) {
        const Entry &entry = m_entries.at(id);
        rememberRemoval(entry.target, entry.outdated, now);
        m_entries.erase(id);
    }
    std::erase_if(m_removals, [now](const auto &removal) { return now >= removal.second.forgetAt; });
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
