#include "rangeworld.h"

#include <algorithm>
#include <utility>

/// What a RangeWorld observes: who controls, who holds keys, and which rule is broken.
namespace sardinehinge::core::tests {

std::size_t RangeWorld::controllers() const
{
    return static_cast<std::size_t>(std::count_if(m_daemons.begin(), m_daemons.end(), [](const Daemon &daemon) {
        return daemon.control != nullptr && daemon.control->isController();
    }));
}

std::size_t RangeWorld::controllerIndex() const
{
    std::size_t best = 0;
    std::uint64_t term = 0;
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        const auto &control = m_daemons[index].control;
        if (control != nullptr && control->isController() && control->term() >= term) {
            best = index;
            term = control->term();
        }
    }
    return best;
}

std::vector<std::size_t> RangeWorld::otherVoters() const
{
    std::vector<std::size_t> indices;
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        const DaemonIdentity &identity = m_daemons[index].identity;
        if (index != controllerIndex()
            && std::find(m_record->voters.begin(), m_record->voters.end(), identity) != m_record->voters.end())
            indices.push_back(index);
    }
    return indices;
}

std::vector<std::string> RangeWorld::holders() const
{
    std::vector<std::string> holders;
    for (std::uint32_t key = 0; key <= lastKey; key += sampleStride) {
        const auto found = m_lastHolder.find(key);
        holders.push_back(found == m_lastHolder.end() ? std::string() : found->second);
    }
    return holders;
}

void RangeWorld::check()
{
    for (std::uint32_t key = 0; key <= lastKey; key += sampleStride) {
        std::string holder;
        std::uint64_t fence = 0;
        for (auto &[id, target] : m_targets) {
            if (!target.isUp)
                continue;
            for (const Hold &hold : target.holds) {
                if (!hold.range.contains(key) || hold.until <= m_now)
                    continue;
                if (!holder.empty() && holder != id)
                    m_violations.push_back("key " + std::to_string(key) + " at " + holder + " and " + id);
                holder = id;
                fence = hold.fence;
            }
        }
        if (holder.empty()) {
            m_longestGap = std::max(m_longestGap, m_now - m_heldAt[key]);
            continue;
        }
        m_heldAt[key] = m_now;
        if (auto &last = m_lastHolder[key]; last != holder) {
            if (fence <= m_lastFence[key])
                m_violations.push_back("key " + std::to_string(key) + " went to " + holder + " without a higher fence");
            last = holder;
        }
        m_lastFence[key] = std::max(m_lastFence[key], fence);
    }
}

double RangeWorld::servedShare() const
{
    const RangeOwners &owners = m_daemons[controllerIndex()].owners;
    std::size_t served = 0;
    std::size_t all = 0;
    for (std::uint32_t key = 0; key <= lastKey; key += sampleStride) {
        ++all;
        const RoutedRange *range = owners.find(key);
        if (range == nullptr || range->state != RangeState::Held || !m_targets.contains(range->owner))
            continue;
        const Target &target = m_targets.at(range->owner);
        const bool isHeld = std::any_of(target.holds.begin(), target.holds.end(), [&](const Hold &hold) {
            return hold.range.contains(key) && hold.until > m_now;
        });
        if (target.isUp && isHeld)
            ++served;
    }
    return static_cast<double>(served) / static_cast<double>(all);
}

Duration RangeWorld::takeLongestGap()
{
    return std::exchange(m_longestGap, Duration(0));
}

} // namespace sardinehinge::core::tests
