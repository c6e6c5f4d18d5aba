#include <sardinehinge/core/rangecontrol.h>

#include "rankhash.h"

#include <algorithm>
#include <functional>
#include <tuple>

/// Who confirms a controller, and what its predecessors may still do.
namespace sardinehinge::core {

namespace {

/// A daemon whose last acknowledgement is older counts as silent when voters are chosen.
constexpr Duration maxAckAge = std::chrono::seconds(2);

} // namespace

bool RangeControl::hasIncarnationEnded(const DaemonIdentity &identity) const
{
    if (identity.id.empty())
        return true;
    if (identity.id == m_self.id)
        return identity.incarnation != m_self.incarnation;
    const auto known = m_peerIncarnations.find(identity.id);
    return known != m_peerIncarnations.end() && known->second > identity.incarnation;
}

Time RangeControl::majorityConfirmedAt(const std::vector<DaemonIdentity> &voters, StoreEra era) const
{
    std::vector<Time> times;
    for (const DaemonIdentity &voter : voters) {
        const auto ack = m_latestAcks.find(voter.id);
        if (voter == m_self)
            times.push_back(m_now);
        else if (ack != m_latestAcks.end() && ack->second.from == voter && ack->second.term == m_term
                 && ack->second.era >= era)
            times.push_back(ack->second.sentAt);
    }
    const std::size_t majority = (voters.size() / 2) + 1;
    if (times.size() < majority)
        return Time::min();
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[majority - 1];
}

/// While a write that changes the voters is pending, a majority of the old and of the new voters is required: a later
/// controller may read either list.
Time RangeControl::votersConfirmedAt(StoreEra era) const
{
    const Time byStored = majorityConfirmedAt(m_storedRecord.voters, era);
    return m_isVoterChangePending ? std::min(byStored, majorityConfirmedAt(m_pendingRecord.voters, era)) : byStored;
}

bool RangeControl::hasAuthority() const
{
    if (!isConfirmedByStore())
        return false;
    if (m_now - m_storeConfirmedAt < m_timing.authorityDuration)
        return true;
    const Time byVoters = votersConfirmedAt(0);
    return byVoters > m_now - m_timing.authorityDuration && byVoters >= m_confirmationRequiredSince;
}

std::vector<DaemonIdentity> RangeControl::chooseVoters() const
{
    // Prefers daemons that acknowledged a recent heartbeat, then those with a lower hash.
    std::vector<std::tuple<bool, std::uint64_t, DaemonIdentity>> order;
    for (const PeerDaemon &peer : m_peers) {
        const auto ack = m_latestAcks.find(peer.id);
        const bool isSilent = ack == m_latestAcks.end() || m_now - ack->second.sentAt > maxAckAge;
        order.emplace_back(isSilent, rankHash(m_service, peer.id), DaemonIdentity{peer.id, peer.incarnation});
    }
    std::sort(order.begin(), order.end());
    std::vector<DaemonIdentity> voters{m_self};
    for (const auto &[isSilent, hash, identity] : order) {
        if (voters.size() < m_timing.voterCount)
            voters.push_back(identity);
    }
    return voters;
}

bool RangeControl::hasAcknowledgedSince(const DaemonIdentity &daemon, Time since) const
{
    const auto ack = m_latestAcks.find(daemon.id);
    return ack != m_latestAcks.end() && ack->second.from == daemon && ack->second.sentAt >= since;
}

/// Whether some voters have ended or gone silent, or more daemons are available than when the voters were chosen.
bool RangeControl::shouldReplaceVoters() const
{
    const std::vector<DaemonIdentity> &voters = m_storedRecord.voters;
    if (voters.size() < std::min(m_timing.voterCount, m_peers.size() + 1))
        return true;
    if (std::any_of(voters.begin(), voters.end(),
                    [this](const DaemonIdentity &voter) { return hasIncarnationEnded(voter); }))
        return true;
    // A machine that is lost for good doesn't say so. Replacing a silent voter takes another daemon that isn't.
    const Time since = m_now - m_timing.silentVoterTimeout;
    const bool isAnySilent = since > m_termStartedAt
        && std::any_of(voters.begin(), voters.end(), [this, since](const DaemonIdentity &voter) {
                                 return voter != m_self && !hasAcknowledgedSince(voter, since);
                             });
    return isAnySilent && std::any_of(m_peers.begin(), m_peers.end(), [&](const PeerDaemon &peer) {
               const DaemonIdentity candidate{peer.id, peer.incarnation};
               return std::find(voters.begin(), voters.end(), candidate) == voters.end()
                   && hasAcknowledgedSince(candidate, m_now - maxAckAge);
           });
}

std::set<std::string> RangeControl::acknowledgers() const
{
    std::set<std::string> ids;
    for (const DaemonIdentity &voter : m_storedRecord.voters)
        ids.insert(voter.id);
    for (const PastController &past : m_activePredecessors) {
        for (const DaemonIdentity &voter : past.voters)
            ids.insert(voter.id);
    }
    const bool isAnyUnknown = std::any_of(m_activePredecessors.begin(), m_activePredecessors.end(),
                                          [](const PastController &past) { return past.isUnknown(); });
    for (const PeerDaemon &peer : m_peers) {
        if (isAnyUnknown || ids.size() < m_timing.maxAcknowledgers)
            ids.insert(peer.id);
    }
    return ids;
}

bool RangeControl::mayChangeOwners() const
{
    return !m_needsRestore
        && std::all_of(m_activePredecessors.begin(), m_activePredecessors.end(),
                       [](const PastController &past) { return past.isUnknown(); });
}

Time RangeControl::inheritedLeaseBound() const noexcept
{
    // The store confirms no predecessor after this term began, so each steps down after maxAuthorityWithoutStore.
    const Time latest = m_termStartedAt + m_timing.maxAuthorityWithoutStore + m_timing.maxAuthorityWithoutStore / 100
        + maxHoldTime(maxInheritedLease());
    return m_activePredecessors.empty() ? std::min(m_inheritedLeaseExpiry, latest) : latest;
}

/// Removes the predecessors that have ended or lost the majority of their voters, and updates the time by which all
/// leases that predecessors granted have expired.
void RangeControl::updatePredecessors()
{
    if (m_activePredecessors.empty())
        return;
    const auto authority = m_timing.authorityDuration + m_timing.authorityDuration / 50;
    std::erase_if(m_activePredecessors, [this, authority](const PastController &past) {
        if (past.isUnknown()) {
            if (!isEraKnownToAll())
                return false;
            m_inheritedLeaseExpiry
                = std::max(m_inheritedLeaseExpiry, m_now + authority + maxHoldTime(maxInheritedLease()));
            return true;
        }
        if (past.identity == m_self || hasIncarnationEnded(past.identity)) {
            m_inheritedLeaseExpiry = std::max(m_inheritedLeaseExpiry, m_now + maxHoldTime(maxInheritedLease()));
            return true;
        }
        // Voters that have ended or know this term no longer confirm the predecessor.
        const auto lostVoters
            = std::count_if(past.voters.begin(), past.voters.end(), [this](const DaemonIdentity &voter) {
                  const auto ack = m_latestAcks.find(voter.id);
                  return voter == m_self || hasIncarnationEnded(voter)
                      || (ack != m_latestAcks.end() && ack->second.from == voter
                          && ack->second.term >= m_storedRecord.term);
              });
        if (static_cast<std::size_t>(lostVoters) <= past.voters.size() / 2)
            return false;
        m_inheritedLeaseExpiry = std::max(m_inheritedLeaseExpiry, m_now + authority + maxHoldTime(maxInheritedLease()));
        return true;
    });
    const Time bound = inheritedLeaseBound();
    for (RangeAssignment &assignment : m_assignments) {
        if (assignment.isInherited)
            assignment.leaseExpiry = bound;
    }
    if (!m_activePredecessors.empty() && m_now > bound)
        m_activePredecessors.clear();
}

} // namespace sardinehinge::core
