#include <sardinehinge/core/eventnumbers.h>
#include <sardinehinge/core/rangecontrol.h>
#include <sardinehinge/core/text.h>

#include "rankhash.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace sardinehinge::core {

namespace {

/// More than a controller uses while it processes one event.
constexpr std::uint64_t reservedFences = 5000;

} // namespace

RangeControl::RangeControl(std::string service, DaemonIdentity self, Time now, OwnershipTiming timing,
                           bool isFirstStart)
    : m_service(std::move(service))
    , m_self(std::move(self))
    , m_timing(timing)
    , m_now(now)
    , m_isFirstStart(isFirstStart)
    , m_controllerSeenAt(now)
{
}

RangeControl::Effects RangeControl::handle(const ControlEvent &event, Time now)
{
    // After a pause in which another daemon may have taken over, the store is read before any order is sent.
    if (now - m_now > m_timing.controllerTimeout)
        m_confirmationRequiredSince = now;
    m_now = now;
    if (m_role == Role::Controller && now - m_storeConfirmedAt > m_timing.maxAuthorityWithoutStore)
        stepDown("the store has not confirmed this controller for too long");
    if (m_role == Role::Controller && m_fenceCount + reservedFences > m_timing.fencesPerTerm)
        stepDown("the fences of this term are used up");
    std::visit([this](const auto &concrete) { on(concrete); }, event);
    if (m_role == Role::Controller && isRestoreOverdue())
        stepDown("no majority of the voters follows it in this era");
    if (m_role == Role::Controller && mayAffectRanges(event)) {
        updatePredecessors();
        m_isLinkUnconfirmed = false;
        advanceRanges();
        confirmWithStoreIfDue();
        writeRestoredRecordIfDue();
        writeRecordIfDue();
        announceIfChanged();
        sendHeartbeatIfDue();
    }
    return std::exchange(m_effects, {});
}

/// A connection that was just opened isn't confirmed yet: while others are being opened, nothing follows from it. After
/// a change of the controller hundreds come at once.
bool RangeControl::mayAffectRanges(const ControlEvent &event) const noexcept
{
    const auto *connected = std::get_if<TargetConnected>(&event);
    return connected == nullptr || !connected->isOpen || m_openingLinks == 0;
}

void RangeControl::logEvent(std::uint32_t event, std::string detail)
{
    m_effects.emplace_back(ControlLogEntry{event, logValue(m_service) + ": " + std::move(detail)});
}

RangeOwners RangeControl::owners() const
{
    return {m_service, m_term, m_announcementSequence, m_announcedRanges};
}

ControlWork RangeControl::takeWork() noexcept
{
    m_work.ranges = m_assignments.size();
    return std::exchange(m_work, {});
}

void RangeControl::on(const ControlTick &)
{
    if (m_role == Role::Controller) {
        confirmWithStoreIfDue();
        planIfDue();
    } else {
        startClaimIfDue();
    }
}

/// Number of daemons that may claim control before this one. Those with the most bandwidth come first, since a
/// controller communicates with all daemons and all owners.
std::size_t RangeControl::claimRank() const
{
    const std::uint64_t ownHash = rankHash(m_service, m_self.id);
    return static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), [&](const PeerDaemon &peer) {
        if (peer.id == m_controllerId)
            return false;
        return peer.linkMbps != m_ownLinkMbps ? peer.linkMbps > m_ownLinkMbps : rankHash(m_service, peer.id) < ownHash;
    }));
}

/// Claims control when the controller's heartbeats stop, or when they report that it is shutting down or has lost
/// contact with the store.
void RangeControl::startClaimIfDue()
{
    if (m_role != Role::Follower || m_isStopping || m_isReadPending || m_now < m_nextClaimAt)
        return;
    const Duration rankDelay = m_timing.claimDelayPerRank * static_cast<Duration::rep>(claimRank());
    const Duration silence = m_now - m_controllerSeenAt;
    const bool isSilent = silence > (m_isControllerLeaving ? 0ms : m_timing.controllerTimeout) + rankDelay;
    const bool isCutOff = m_controllerStoreAge > m_timing.storeContactTimeout + rankDelay;
    if (!isSilent && !isCutOff)
        return;
    m_isReadPending = true;
    m_nextClaimAt = m_now + m_timing.storeRetryInterval + rankDelay;
    m_effects.emplace_back(ReadOwnership{});
}

void RangeControl::on(const OwnershipRead &event)
{
    if (event.era < m_era)
        return on(OwnershipCallFailed{false}); // Of a store that a later one has replaced.
    learnEra(event.era);
    m_isReadPending = false;
    if (m_role == Role::Controller)
        return m_needsRestore ? compareWithStore(event.record, event.revision) : confirmOrStepDown(event);
    if (m_role != Role::Follower || m_isStopping)
        return;
    const bool isNewTerm = event.record && event.record->term > m_term;
    if (isNewTerm) {
        // Another daemon has just taken over and gets time to send heartbeats, unless its incarnation has ended.
        adoptRecord(*event.record, event.revision);
        if (!hasIncarnationEnded({event.record->controller, event.record->controllerIncarnation}))
            return;
    }
    // The controller of the earlier era knows the owners and writes them again.
    if (isOutdated(event.record) && isControllerHeard())
        return;
    writeClaim(event.record, event.revision);
}

/// Takes the store's record as the confirmation of this controller, or steps down.
void RangeControl::confirmOrStepDown(const OwnershipRead &event)
{
    // Revisions only rise within an era: the store was read before this controller's latest write.
    if (event.record && event.revision < m_revision)
        return;
    if (event.record && event.record->era < m_storedRecord.era)
        return requireRestore("a write of an earlier era has replaced the record");
    if (event.record && isOwnRecord(*event.record)) {
        m_storeConfirmedAt = std::max(m_storeConfirmedAt, event.requestedAt);
        // The response to a write was lost: the record shows whether the write took effect.
        if (event.revision != m_revision)
            resolveOwnWrite(*event.record, event.revision);
        else if (m_isWritePending && m_now >= m_nextWriteAt)
            m_isWritePending = false; // Written again for the same revision: at most one takes effect.
    } else {
        adoptRecord(event.record.value_or(OwnershipRecord{}), event.revision);
        stepDown("the store names another controller");
    }
}

void RangeControl::on(const OwnershipCallFailed &event)
{
    if (!event.wasWrite)
        m_isReadPending = false;
    m_nextReadAt = m_now + m_timing.storeRetryInterval;
    m_nextClaimAt = std::max(m_nextClaimAt, m_nextReadAt);
    // A failed write may have taken effect. m_isWritePending stays set, which prevents further writes until the record
    // has been read back.
    if (event.wasWrite && m_role == Role::Claiming)
        m_role = Role::Follower;
}

/// Returns the first record of a new term of this daemon. The controller of `record` may still be active, and so may
/// its own predecessors.
OwnershipRecord RangeControl::claimBasedOn(const OwnershipRecord &record) const
{
    OwnershipRecord claim = record;
    if (!claim.controller.empty()) {
        Duration lease = claim.lease;
        std::erase_if(claim.predecessors, [&claim, &lease](const PastController &past) {
            if (past.identity.id != claim.controller)
                return false;
            lease = std::max(lease, past.lease);
            return true;
        });
        claim.predecessors.push_back(
            {{claim.controller, claim.controllerIncarnation}, claim.term, lease, claim.voters});
    }
    claim.era = m_era;
    claim.term = std::max({m_term, claim.term, m_era * m_timing.termsPerEra}) + 1;
    claim.controller = m_self.id;
    claim.controllerIncarnation = m_self.incarnation;
    claim.lease = leaseDuration();
    return claim;
}

void RangeControl::writeClaim(const std::optional<OwnershipRecord> &record, std::uint64_t revision)
{
    m_pendingRecord = claimBasedOn(record.value_or(OwnershipRecord{}));
    m_pendingRecord.voters = chooseVoters();
    if (isOutdated(record)) {
        for (OwnedRange &owned : m_pendingRecord.ranges)
            owned.owner = {};
        m_pendingRecord.predecessors.push_back(unknownController(record ? std::optional(record->lease) : std::nullopt));
    }
    m_role = Role::Claiming;
    logEvent(events::rangeControlClaimed,
             "term " + std::to_string(m_pendingRecord.term) + " era " + std::to_string(m_era)
                 + (isOutdated(record) ? ": the record is outdated, the owners are unknown" : ""));
    writePendingRecord(revision);
}

void RangeControl::writePendingRecord(std::uint64_t expectedRevision)
{
    m_effects.emplace_back(WriteOwnership{m_pendingRecord, expectedRevision, ++m_pendingWrite});
}

void RangeControl::on(const OwnershipWritten &event)
{
    learnEra(event.era);
    // A read may have shown the effect of a write before its response came, and another write may have followed.
    if (event.write != m_pendingWrite)
        return;
    // In another era than the record's, the revision that the write required may have matched by chance.
    if (event.era != m_era || event.era != m_pendingRecord.era)
        return on(OwnershipCallFailed{true});
    if (m_role == Role::Claiming || (m_role == Role::Controller && m_needsRestore && m_isWritePending)) {
        m_revision = event.revision;
        m_storeConfirmedAt = event.requestedAt;
        m_storedRecord = m_pendingRecord;
        becomeController();
    } else if (m_role == Role::Controller && m_isWritePending) {
        m_revision = event.revision;
        m_storeConfirmedAt = std::max(m_storeConfirmedAt, event.requestedAt);
        applyWrittenRecord();
    }
}

void RangeControl::on(const OwnershipConflict &event)
{
    if (event.era < m_era)
        return on(OwnershipCallFailed{true});
    learnEra(event.era);
    if (event.write != m_pendingWrite)
        return;
    // A write whose response was lost may have taken effect. Its repetition then conflicts with the same record.
    if (event.record == m_pendingRecord && (m_role == Role::Claiming || m_isWritePending)) {
        on(OwnershipWritten{event.revision, m_storeConfirmedAt, event.era, event.write});
        return;
    }
    if (m_role == Role::Controller && m_needsRestore) {
        m_isWritePending = false;
        return compareWithStore(event.record, event.revision);
    }
    if (m_role == Role::Controller && event.revision < m_revision)
        return; // Of an abandoned write; a later one has taken effect.
    if (m_role == Role::Controller && event.record.era < m_storedRecord.era)
        return requireRestore("a write of an earlier era has replaced the record");
    if (m_role == Role::Controller && isOwnRecord(event.record)) {
        resolveOwnWrite(event.record, event.revision);
        return;
    }
    adoptRecord(event.record, event.revision);
    if (m_role == Role::Controller)
        stepDown("another daemon changed the record");
    m_role = Role::Follower;
}

bool RangeControl::isOwnRecord(const OwnershipRecord &record) const noexcept
{
    return record.term == m_storedRecord.term && record.controller == m_self.id
        && record.controllerIncarnation == m_self.incarnation;
}

/// Handles a write of this controller that took effect although its response was lost: the pending one or an earlier,
/// abandoned one. Ranges that only the abandoned write recorded were never granted, so the next write may replace them.
void RangeControl::resolveOwnWrite(const OwnershipRecord &record, std::uint64_t revision)
{
    m_revision = revision;
    if (m_isWritePending && record == m_pendingRecord) {
        applyWrittenRecord();
        return;
    }
    m_storedRecord = record;
    m_isWritePending = false;
    m_isVoterChangePending = false;
    m_nextWriteAt = m_now;
}

void RangeControl::adoptRecord(const OwnershipRecord &record, std::uint64_t revision)
{
    m_revision = revision;
    if (record.term <= m_term)
        return;
    m_term = record.term;
    m_controllerId = record.controller;
    m_controllerSeenAt = m_now;
    m_isControllerLeaving = false;
    m_controllerStoreAge = 0ms;
}

void RangeControl::becomeController()
{
    m_role = Role::Controller;
    m_term = m_storedRecord.term;
    m_controllerId = m_self.id;
    m_isControllerLeaving = false;
    m_controllerStoreAge = 0ms;
    m_isWritePending = false;
    m_isVoterChangePending = false;
    m_fenceCount = 0;
    m_announcementSequence = 0;
    m_isReadPending = false;
    m_needsRestore = false;
    m_restoreRevision.reset();
    m_nextReadAt = m_nextWriteAt = m_now;
    m_pendingOrders.clear();
    m_links.clear();
    m_openingLinks = 0;
    m_announcedRanges.clear();
    m_keyLoad = {};
    m_termStartedAt = m_now;
    m_latestAcks.clear();
    m_activePredecessors = m_storedRecord.predecessors;
    m_inheritedLeaseExpiry = m_now + maxHoldTime(maxInheritedLease());
    const bool isAnyOwnerUnknown = std::any_of(m_activePredecessors.begin(), m_activePredecessors.end(),
                                               [](const PastController &past) { return past.isUnknown(); });
    m_assignments.clear();
    for (const OwnedRange &owned : m_storedRecord.ranges) {
        RangeAssignment assignment;
        assignment.owned = owned;
        assignment.isInherited = true;
        if (!owned.owner.id.empty())
            assignment.phase = Phase::Granting;
        else
            assignment.phase = isAnyOwnerUnknown ? Phase::Expiring : Phase::Free;
        assignment.leaseExpiry = assignment.phase == Phase::Free ? m_now : inheritedLeaseBound();
        // With a fence of this term, the target rejects orders of earlier controllers once it has accepted a grant.
        assignment.owned.fence = assignment.initialFence = nextFence();
        m_assignments.push_back(assignment);
    }
    m_nextPlanAt = m_now + 2 * m_timing.planInterval;
    m_nextHeartbeatAt = m_now;
    logEvent(events::rangeControlStarted,
             "term " + std::to_string(m_term) + " revision " + std::to_string(m_revision) + " ranges "
                 + std::to_string(m_assignments.size()) + " predecessors "
                 + std::to_string(m_activePredecessors.size()));
}

void RangeControl::stepDown(const std::string &why)
{
    logEvent(events::rangeControlEnded, "term " + std::to_string(m_storedRecord.term) + ": " + why);
    m_role = Role::Follower;
    m_isWritePending = false;
    m_isReadPending = false;
    m_needsRestore = false;
    m_assignments.clear();
    m_pendingOrders.clear();
    m_controllerSeenAt = m_now;
    m_nextClaimAt = m_now + m_timing.storeRetryInterval;
}

void RangeControl::on(const ControllerHeartbeat &event)
{
    learnEra(event.era);
    if (event.term < m_term || event.from == m_self.id)
        return;
    if (event.term > m_term && m_role == Role::Controller)
        stepDown(event.from + " controls term " + std::to_string(event.term));
    // Notifies the new controller, once per term, that this one gives no more grants.
    if (event.term > m_resignationSentTerm && m_storedRecord.term != 0 && m_storedRecord.term < event.term
        && m_role == Role::Follower) {
        m_resignationSentTerm = event.term;
        m_effects.emplace_back(SendResignation{event.from, {m_service, m_self.id, m_storedRecord.term}});
    }
    m_term = event.term;
    m_controllerId = event.from;
    m_controllerSequence = event.sequence;
    m_controllerSeenAt = m_now;
    m_isControllerLeaving = event.isLeaving;
    m_controllerStoreAge = event.storeAge;
    if (event.wantsAck)
        m_effects.emplace_back(SendHeartbeatAck{event.from, {m_service, m_self, m_term, event.sentAt, m_era}});
}

void RangeControl::on(const ControllerHeartbeatAck &event)
{
    learnEra(event.era);
    if (m_role != Role::Controller)
        return;
    ControllerHeartbeatAck &latest = m_latestAcks[event.from.id];
    if (latest.from.incarnation <= event.from.incarnation && latest.sentAt <= event.sentAt)
        latest = event;
}

void RangeControl::on(const ControllerResigned &event)
{
    if (m_role != Role::Controller)
        return;
    const auto before = m_activePredecessors.size();
    std::erase_if(m_activePredecessors, [&event](const PastController &past) {
        return past.identity.id == event.from && past.term == event.term;
    });
    if (m_activePredecessors.size() == before)
        return;
    m_inheritedLeaseExpiry = std::max(m_inheritedLeaseExpiry, m_now + maxHoldTime(maxInheritedLease()));
    for (RangeAssignment &assignment : m_assignments) {
        if (assignment.isInherited && m_activePredecessors.empty())
            assignment.leaseExpiry = m_inheritedLeaseExpiry;
    }
}

void RangeControl::on(const ControlPeers &event)
{
    m_peers = event.peers;
    m_peerIncarnations.clear();
    for (const PeerDaemon &peer : m_peers) {
        std::uint64_t &latest = m_peerIncarnations[peer.id];
        latest = std::max(latest, peer.incarnation);
    }
    m_ownLinkMbps = event.ownLinkMbps;
}

/// A controller that shuts down reports this in its heartbeats, so that another daemon claims control. It remains
/// controller until then.
void RangeControl::on(const ControlStop &)
{
    m_isStopping = true;
    m_nextHeartbeatAt = m_now;
}

void RangeControl::sendHeartbeatIfDue()
{
    if (m_now < m_nextHeartbeatAt)
        return;
    m_nextHeartbeatAt = m_now + m_timing.heartbeatInterval;
    m_effects.emplace_back(SendHeartbeat{{m_service, m_self.id, m_term, m_announcementSequence,
                                          m_now - m_storeConfirmedAt, m_isStopping, m_now, false, m_era},
                                         acknowledgers()});
}

void RangeControl::confirmWithStoreIfDue()
{
    const bool isForLink = isLinkConfirmationDue();
    const bool isDue
        = m_needsRestore || !isConfirmedByStore() || m_now - m_storeConfirmedAt >= m_timing.storeConfirmationInterval;
    if (m_isReadPending || (!isForLink && (m_now < m_nextReadAt || !isDue)))
        return;
    if (isForLink)
        m_linkReadAt = m_now;
    m_isReadPending = true;
    m_nextReadAt = m_now + m_timing.storeRetryInterval;
    m_effects.emplace_back(ReadOwnership{});
}

} // namespace sardinehinge::core
