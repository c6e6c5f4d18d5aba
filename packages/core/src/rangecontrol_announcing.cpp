#include <sardinehinge/core/rangecontrol.h>

#include <string>
#include <vector>

/// What a controller announces of its ranges to the routers.
namespace sardinehinge::core {

RangeState RangeControl::routedState(const RangeAssignment &assignment, bool hasStoreContact) noexcept
{
    if (assignment.phase == Phase::Held || (assignment.phase == Phase::Granting && assignment.isInherited))
        return RangeState::Held;
    const bool isLost = assignment.phase == Phase::Expiring || (assignment.phase == Phase::Free && !hasStoreContact);
    return isLost ? RangeState::OwnerLost : RangeState::Moving;
}

/// Passes the ranges as routers see them to `take` one by one, until it returns false. Adjacent ranges with the same
/// owner and state are one.
template<typename Take>
void RangeControl::visitRouted(Take take) const
{
    static const std::string noOwner;
    const bool hasStoreContact = m_now - m_storeConfirmedAt < m_timing.storeContactTimeout;
    for (auto next = m_assignments.begin(); next != m_assignments.end();) {
        KeyRange range = next->owned.range;
        const RangeState state = routedState(*next, hasStoreContact);
        // Routers don't need the owner of a moving range. Omitting it saves announcements.
        const auto ownerOf = [state](const RangeAssignment &assignment) -> const std::string & {
            return state == RangeState::Moving ? noOwner : assignment.owned.owner.id;
        };
        const std::string &owner = ownerOf(*next);
        for (++next;
             next != m_assignments.end() && routedState(*next, hasStoreContact) == state && ownerOf(*next) == owner;
             ++next)
            range.last = next->owned.range.last;
        if (!take(range, owner, state))
            return;
    }
}

std::vector<RoutedRange> RangeControl::routedRanges() const
{
    std::vector<RoutedRange> ranges;
    visitRouted([&ranges](const KeyRange &range, const std::string &owner, RangeState state) {
        ranges.push_back({range, owner, state});
        return true;
    });
    return ranges;
}

/// Compares without a copy of the ranges: every event comes here.
bool RangeControl::isAnnounced() const
{
    std::size_t count = 0;
    bool isSame = true;
    visitRouted([&](const KeyRange &range, const std::string &owner, RangeState state) {
        isSame = count < m_announcedRanges.size() && m_announcedRanges[count].range == range
            && m_announcedRanges[count].state == state && m_announcedRanges[count].owner == owner;
        ++count;
        return isSame;
    });
    return isSame && count == m_announcedRanges.size();
}

void RangeControl::announceIfChanged()
{
    if (m_now < m_nextAnnouncementAt)
        return;
    if (m_assignments.empty() || isAnnounced())
        return;
    m_announcedRanges = routedRanges();
    m_nextAnnouncementAt = m_now + m_timing.announcementIntervalPerPeer * static_cast<Duration::rep>(m_peers.size());
    ++m_announcementSequence;
    m_effects.emplace_back(AnnounceOwners{owners()});
}

} // namespace sardinehinge::core
