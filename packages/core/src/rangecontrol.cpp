#include <sardinehinge/core/eventnumbers.h>
#include <sardinehinge/core/rangecontrol.h>
#include <sardinehinge/core/text.h>

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace sardinehinge::core {

namespace {

/// More than a controller uses while it processes one event.
constexpr std::uint64_t reservedFences = 5000;
/// A daemon whose last acknowledgement is older counts as silent when voters are chosen.
constexpr Duration maxAckAge = std::chrono::seconds(2);

void mix(std::uint64_t &hash, const std::string &text) noexcept
{
    for (const char c : text) {
        hash ^= static_cast<unsigned char>(c);
        hash *= 0x100000001b3;
    }
}

/// Determines the order in which daemons claim control of a service (FNV-1a). The order differs between services, which
/// distributes their controllers over the daemons.
std::uint64_t rankHash(const std::string &service, const std::string &daemon) noexcept
{
    std::uint64_t hash = 0xcbf29ce484222325;
    mix(hash, service);
    mix(hash, daemon);
    return hash;
}

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
