#include <sardinehinge/core/membership/evacuations.h>

#include <algorithm>
#include <utility>

namespace sardinehinge::core {

void Evacuations::put(const std::string &domain)
{
    const auto [found, isNew] = m_domains.try_emplace(domain);
    found->second.reset();
    if (isNew)
        m_changes.push_back({domain, true});
}

void Evacuations::remove(const std::string &domain)
{
    if (m_domains.contains(domain))
        end(domain);
}

void Evacuations::end(const std::string &domain)
{
    m_changes.push_back({domain, false});
    m_domains.erase(domain);
}

void Evacuations::keepOnly(const std::vector<std::string> &present, Time now)
{
    const bool mayBeLost = std::exchange(m_hasEraChanged, false);
    std::vector<std::string> ended;
    for (auto &[domain, graceEnd] : m_domains) {
        if (std::find(present.begin(), present.end(), domain) != present.end())
            continue;
        if (mayBeLost)
            graceEnd = now + lostEntryGrace;
        else if (!graceEnd)
            ended.push_back(domain);
    }
    for (const std::string &domain : ended)
        end(domain);
}

void Evacuations::expire(Time now)
{
    std::vector<std::string> ended;
    for (const auto &[domain, graceEnd] : m_domains) {
        if (graceEnd && now >= *graceEnd)
            ended.push_back(domain);
    }
    for (const std::string &domain : ended)
        end(domain);
}

std::vector<std::string> Evacuations::listed() const
{
    std::vector<std::string> domains;
    for (const auto &[domain, graceEnd] : m_domains) {
        if (!graceEnd)
            domains.push_back(domain);
    }
    return domains;
}

std::vector<RegisteredTarget> Evacuations::markDraining(std::vector<RegisteredTarget> targets) const
{
    for (RegisteredTarget &target : targets)
        target.isDraining = target.isDraining || isEvacuated(target.failureDomain);
    return targets;
}

std::vector<KeyRange> Evacuations::remainingKeys(const std::vector<KeyRange> &keys, const RangeOwners &owners,
                                                 const std::vector<RegisteredTarget> &targets) const
{
    std::vector<KeyRange> remaining;
    for (const RoutedRange &range : owners.ranges) {
        const auto owner = std::find_if(targets.begin(), targets.end(), [&range](const RegisteredTarget &target) {
            return target.identity.id == range.owner;
        });
        if (range.state == RangeState::Held && owner != targets.end() && !isEvacuated(owner->failureDomain))
            continue;
        for (const KeyRange &part : keys) {
            const KeyRange common{std::max(part.first, range.range.first), std::min(part.last, range.range.last)};
            if (common.first <= common.last)
                remaining.push_back(common);
        }
    }
    return remaining;
}

std::vector<Evacuations::Change> Evacuations::takeChanges()
{
    return std::exchange(m_changes, {});
}

} // namespace sardinehinge::core
