#include <sardinehinge/core/leavingtargets.h>

#include <algorithm>

namespace sardinehinge::core {

bool LeavingTargets::add(const LeavingTarget &target)
{
    const bool isKnown = std::any_of(m_entries.begin(), m_entries.end(),
                                     [&target](const Entry &each) { return each.target == target; });
    if (isKnown || m_entries.size() >= maxTargets)
        return false;
    m_entries.push_back({target, 0ms, std::nullopt});
    return true;
}

std::vector<LeavingTarget> LeavingTargets::takeDue(const TargetRegistry &registry, Time now)
{
    std::vector<LeavingTarget> due;
    std::erase_if(m_entries, [&](Entry &entry) {
        const TargetIdentity &target = entry.target.target;
        const RegisteredTarget *known = registry.find(target.id);
        if (known != nullptr && known->identity.incarnation > target.incarnation)
            return true;
        if (known == nullptr || known->identity != target) {
            entry.missingSince = entry.missingSince.value_or(now);
            return now >= *entry.missingSince + beliefRetention;
        }
        entry.missingSince.reset();
        if (!known->isDraining && now >= entry.nextTell) {
            entry.nextTell = now + tellInterval;
            due.push_back(entry.target);
        }
        return false;
    });
    return due;
}

std::vector<RegisteredTarget> LeavingTargets::markDraining(const std::string &service,
                                                           const std::vector<RegisteredTarget> &targets) const
{
    std::vector<RegisteredTarget> marked;
    for (const RegisteredTarget &target : targets) {
        if (target.service != service)
            continue;
        marked.push_back(target);
        marked.back().isDraining = target.isDraining
            || std::any_of(m_entries.begin(), m_entries.end(),
                           [&target](const Entry &each) { return each.target.target == target.identity; });
    }
    return marked;
}

} // namespace sardinehinge::core
