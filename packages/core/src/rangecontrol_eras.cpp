#include <sardinehinge/core/eventnumbers.h>
#include <sardinehinge/core/rangecontrol.h>

#include <algorithm>

/// What a change of the store's era means for control of a service's keys.
namespace sardinehinge::core {

void RangeControl::learnEra(StoreEra era)
{
    if (era <= m_era)
        return;
    m_hasEraChanged = m_hasEraChanged || m_era != 0;
    m_era = era;
    if (m_role == Role::Controller && m_storedRecord.era != m_era)
        requireRestore("era " + std::to_string(era) + " began");
}

void RangeControl::requireRestore(const std::string &why)
{
    logEvent(events::rangeRestoreNeeded,
             "term " + std::to_string(m_term) + " record of era " + std::to_string(m_storedRecord.era) + ": " + why);
    m_needsRestore = true;
    m_restoreNeededSince = m_now;
    m_restoreRevision.reset();
    m_isWritePending = false; // Its result can't be told from that of a write in this era.
    m_isReadPending = false;
    m_nextReadAt = m_nextHeartbeatAt = m_now;
    confirmWithStoreIfDue();
}

bool RangeControl::isOutdated(const std::optional<OwnershipRecord> &record) const noexcept
{
    if (record)
        return record->era != m_era;
    return !m_isFirstStart || m_hasEraChanged || m_term != 0;
}

bool RangeControl::isControllerHeard() const noexcept
{
    return !m_controllerId.empty() && m_controllerId != m_self.id
        && m_now - m_controllerSeenAt <= m_timing.controllerTimeout
        && m_controllerStoreAge <= m_timing.outdatedClaimDelay;
}

/// Compares the store's record, which is of an earlier era or of another controller, with this controller's.
void RangeControl::compareWithStore(const std::optional<OwnershipRecord> &record, std::uint64_t revision)
{
    const bool isCurrent = record && record->era == m_era;
    const bool isOwn = record && record->controller == m_self.id && record->controllerIncarnation == m_self.incarnation;
    if (isCurrent && isOwn && record->term > m_term) {
        // The response to the write of the restored record was lost.
        m_revision = revision;
        m_storeConfirmedAt = std::max(m_storeConfirmedAt, m_restoreNeededSince);
        m_storedRecord = *record;
        return becomeController();
    }
    if (record && !isOwn && (isCurrent || record->term >= m_term)) {
        adoptRecord(*record, revision);
        return stepDown("the store names another controller");
    }
    if (m_isWritePending && m_now < m_nextWriteAt)
        return;
    m_isWritePending = false;
    m_restoreRevision = record ? revision : 0;
}

/// Without a majority of its voters, a controller can't tell whether it knows all owners. After its authority has ended
/// it no longer keeps others from claiming.
bool RangeControl::isRestoreOverdue() const
{
    return m_needsRestore && m_restoreRevision && !m_isWritePending && votersConfirmedAt(m_era) < m_restoreNeededSince
        && m_now - m_restoreNeededSince > m_timing.authorityDuration;
}

/// Writes this controller's record again, in a new term, once a majority of its voters follows it in this era.
void RangeControl::writeRestoredRecordIfDue()
{
    if (!m_needsRestore || !m_restoreRevision || m_isWritePending || votersConfirmedAt(m_era) < m_restoreNeededSince)
        return;
    const auto voters = m_isVoterChangePending ? m_pendingRecord.voters : chooseVoters();
    m_pendingRecord = claimBasedOn(m_storedRecord);
    m_pendingRecord.voters = voters;
    m_isVoterChangePending = voters != m_storedRecord.voters;
    // A controller that claimed in the earlier era, unknown to the voters, may still renew what it inherited.
    if (!m_pendingRecord.hasUnknownOwners())
        m_pendingRecord.predecessors.push_back(unknownController(m_storedRecord.lease));
    m_isWritePending = true;
    m_nextWriteAt = m_now + m_timing.storeRetryInterval;
    logEvent(events::rangeControlClaimed,
             "term " + std::to_string(m_pendingRecord.term) + " era " + std::to_string(m_era)
                 + ": restores the record of term " + std::to_string(m_term));
    writePendingRecord(*m_restoreRevision);
    m_restoreRevision.reset();
}

/// Whether no unknown controller can have a majority of voters that don't know this era: those confirm it no longer.
bool RangeControl::isEraKnownToAll() const
{
    const auto unaware = std::count_if(m_peers.begin(), m_peers.end(), [this](const PeerDaemon &peer) {
        const auto ack = m_latestAcks.find(peer.id);
        return ack == m_latestAcks.end() || ack->second.from.incarnation < peer.incarnation || ack->second.era < m_era
            || ack->second.term < m_storedRecord.term;
    });
    // A fleet that outnumbers the voters has given every controller the full number of them.
    const std::size_t minority = m_timing.voterCount / 2;
    return static_cast<std::size_t>(unaware) <= (m_peers.size() >= m_timing.voterCount ? minority : 0);
}

/// Stands for all controllers that the store may have forgotten. The number of targets, and with it the lease, doesn't
/// halve within the time that the store loses; without a record, nothing is known of it.
PastController RangeControl::unknownController(std::optional<Duration> knownLease) const
{
    const auto wanted = 2 * m_timing.leasePerTarget * static_cast<Duration::rep>(m_targets.size());
    const auto lease
        = std::max(knownLease.value_or(m_timing.maxLease), std::clamp(wanted, m_timing.minLease, m_timing.maxLease));
    return {{}, 0, lease, {}};
}

} // namespace sardinehinge::core
