#include <sardinehinge/core/eventnumbers.h>
#include <sardinehinge/core/rangecontrol.h>

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace sardinehinge::core {

namespace {

void mix(std::uint64_t &hash, const std::string &text) noexcept
{
    for (const char c : text) {
        hash ^= static_cast<unsigned char>(c);
        hash *= 0x100000001b3;
    }
}

/// Order of the daemons in which they offer themselves for a service: differs between services, so that control of
/// several services spreads. FNV-1a.
std::uint64_t rankHash(const std::string &service, const std::string &daemon) noexcept
{
    std::uint64_t hash = 0xcbf29ce484222325;
    mix(hash, service);
    mix(hash, daemon);
    return hash;
}

} // namespace

RangeControl::RangeControl(std::string service, DaemonIdentity self, Time now, OwnershipTiming timing)
    : m_service(std::move(service))
    , m_self(std::move(self))
    , m_timing(timing)
    , m_now(now)
    , m_heardAt(now)
{
}

RangeControl::Effects RangeControl::handle(const ControlEvent &event, Time now)
{
    // After a pause in which another daemon may have taken over, the store is asked before anything is ordered.
    if (now - m_now > m_timing.controllerSilence)
        m_confirmFrom = now;
    m_now = now;
    if (m_role == Role::Controller && now - m_confirmedAt > m_timing.longestAuthority)
        stepDown("no word from the store for too long");
    std::visit([this](const auto &concrete) { on(concrete); }, event);
    if (m_role == Role::Controller) {
        settlePredecessors();
        driveRanges();
        writeIfDue();
        announceIfChanged();
        beatIfDue();
    }
    return std::exchange(m_effects, {});
}

void RangeControl::note(std::uint32_t event, std::string detail)
{
    m_effects.emplace_back(ControlNote{event, m_service + ": " + std::move(detail)});
}

RangeOwners RangeControl::owners() const
{
    return {m_service, m_term, m_sequence, m_announced};
}

void RangeControl::on(const ControlTick &)
{
    if (m_role == Role::Controller) {
        confirmIfDue();
        planIfDue();
    } else {
        considerClaim();
    }
}

/// How many others offer themselves before this daemon. Those with the widest links come first, since a controller
/// talks to all daemons and all owners.
std::size_t RangeControl::rank() const
{
    const std::uint64_t mine = rankHash(m_service, m_self.id);
    return static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), [&](const PeerDaemon &peer) {
        if (peer.id == m_controller)
            return false;
        return peer.linkMbps != m_ownLinkMbps ? peer.linkMbps > m_ownLinkMbps : rankHash(m_service, peer.id) < mine;
    }));
}

/// A daemon offers itself when the controller is silent, says that it leaves, or has lost the store for long.
void RangeControl::considerClaim()
{
    if (m_role != Role::Follower || m_isStopping || m_isReading || m_now < m_nextClaim)
        return;
    const Duration turn = m_timing.rankStep * static_cast<Duration::rep>(rank());
    const Duration silence = m_now - m_heardAt;
    const bool isSilent = silence > (m_isControllerLeaving ? 0ms : m_timing.controllerSilence) + turn;
    const bool isCutOff = m_controllerStoreAge > m_timing.storeSilence + turn;
    if (!isSilent && !isCutOff)
        return;
    m_isReading = true;
    m_nextClaim = m_now + m_timing.storeRetry + turn;
    m_effects.emplace_back(ReadOwnership{});
}

void RangeControl::on(const OwnershipRead &event)
{
    m_isReading = false;
    if (m_role == Role::Controller) {
        if (event.record && isOwn(*event.record)) {
            m_confirmedAt = std::max(m_confirmedAt, event.askedAt);
            // The answer to a write was lost: the record shows whether it took effect.
            if (event.revision != m_revision)
                takeOwnWrite(*event.record, event.revision);
            else if (m_isWriting && m_now >= m_nextWrite)
                m_isWriting = false; // Written again under the same condition: only one of both can apply.
        } else {
            followerSees(event.record.value_or(OwnershipRecord{}), event.revision);
            stepDown("the store names another controller");
        }
        return;
    }
    if (m_role != Role::Follower || m_isStopping)
        return;
    const bool isNews = event.record && event.record->term > m_term;
    if (isNews) {
        // Somebody took over a moment ago: it gets its time to be heard, unless it is an earlier life of this daemon.
        followerSees(*event.record, event.revision);
        if (!isLifeOver({event.record->controller, event.record->controllerIncarnation}))
            return;
    }
    claim(event.record, event.revision);
}

void RangeControl::on(const OwnershipCallFailed &event)
{
    if (!event.wasWrite)
        m_isReading = false;
    m_nextRead = m_now + m_timing.storeRetry;
    m_nextClaim = std::max(m_nextClaim, m_nextRead);
    // Whether a lost write took effect is read back before anything else is written: m_isWriting stays.
    if (event.wasWrite && m_role == Role::Claiming)
        m_role = Role::Follower;
}

void RangeControl::claim(const std::optional<OwnershipRecord> &record, std::uint64_t revision)
{
    m_pending = record.value_or(OwnershipRecord{});
    // Whoever controlled before may still go on, and so may those that it took over from.
    Duration lease = m_pending.lease;
    std::erase_if(m_pending.predecessors, [this, &lease](const PastController &past) {
        if (past.identity.id != m_pending.controller)
            return false;
        lease = std::max(lease, past.lease);
        return true;
    });
    if (!m_pending.controller.empty())
        m_pending.predecessors.push_back(
            {{m_pending.controller, m_pending.controllerIncarnation}, m_pending.term, lease, m_pending.voters});
    m_pending.term = std::max(m_term, m_pending.term) + 1;
    m_pending.controller = m_self.id;
    m_pending.controllerIncarnation = m_self.incarnation;
    m_pending.voters = chooseVoters();
    m_pending.lease = leaseForTargets();
    m_role = Role::Claiming;
    note(events::rangeControlClaimed, "term " + std::to_string(m_pending.term));
    m_effects.emplace_back(WriteOwnership{m_pending, revision});
}

void RangeControl::on(const OwnershipWritten &event)
{
    if (m_role == Role::Claiming) {
        m_revision = event.revision;
        m_confirmedAt = event.askedAt;
        m_written = m_pending;
        startControl();
    } else if (m_role == Role::Controller && m_isWriting) {
        m_revision = event.revision;
        m_confirmedAt = std::max(m_confirmedAt, event.askedAt);
        applyWritten();
    }
}

void RangeControl::on(const OwnershipConflict &event)
{
    // A write whose answer was lost may be done after all, and meets its own copy.
    if (event.record == m_pending && (m_role == Role::Claiming || m_isWriting)) {
        on(OwnershipWritten{event.revision, m_confirmedAt});
        return;
    }
    if (m_role == Role::Controller && isOwn(event.record)) {
        takeOwnWrite(event.record, event.revision);
        return;
    }
    followerSees(event.record, event.revision);
    if (m_role == Role::Controller)
        stepDown("another write of the record came first");
    m_role = Role::Follower;
}

bool RangeControl::isOwn(const OwnershipRecord &record) const noexcept
{
    return record.term == m_written.term && record.controller == m_self.id
        && record.controllerIncarnation == m_self.incarnation;
}

/// A write of this controller took effect without an answer: the one under way, or an earlier one that was given up.
/// What the earlier one recorded was never granted, so it is only replaced.
void RangeControl::takeOwnWrite(const OwnershipRecord &record, std::uint64_t revision)
{
    m_revision = revision;
    if (m_isWriting && record == m_pending) {
        applyWritten();
        return;
    }
    m_written = record;
    m_isWriting = false;
    m_isVoterWriteOpen = false;
    m_nextWrite = m_now;
}

void RangeControl::followerSees(const OwnershipRecord &record, std::uint64_t revision)
{
    m_revision = revision;
    if (record.term <= m_term)
        return;
    m_term = record.term;
    m_controller = record.controller;
    m_heardAt = m_now;
    m_isControllerLeaving = false;
    m_controllerStoreAge = 0ms;
}

bool RangeControl::isLifeOver(const DaemonIdentity &life) const
{
    if (life.id.empty())
        return true;
    if (life.id == m_self.id)
        return life.incarnation != m_self.incarnation;
    return std::any_of(m_peers.begin(), m_peers.end(), [&life](const PeerDaemon &peer) {
        return peer.id == life.id && peer.incarnation > life.incarnation;
    });
}

Time RangeControl::confirmedByMost(const std::vector<DaemonIdentity> &voters) const
{
    std::vector<Time> times;
    for (const DaemonIdentity &voter : voters) {
        const auto ack = m_acks.find(voter.id);
        if (voter == m_self)
            times.push_back(m_now);
        else if (ack != m_acks.end() && ack->second.from == voter && ack->second.term == m_term)
            times.push_back(ack->second.sentAt);
    }
    const std::size_t most = (voters.size() / 2) + 1;
    if (times.size() < most)
        return Time::min();
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[most - 1];
}

/// While a write that changes the voters is without an answer, both lists count: a later controller reads one of them.
bool RangeControl::hasAuthority() const
{
    if (!isConfirmed())
        return false;
    if (m_now - m_confirmedAt < m_timing.authority)
        return true;
    const Time byVoters = std::min(confirmedByMost(m_written.voters),
                                   confirmedByMost(m_isVoterWriteOpen ? m_pending.voters : m_written.voters));
    return byVoters > m_now - m_timing.authority && byVoters >= m_confirmFrom;
}

std::vector<DaemonIdentity> RangeControl::chooseVoters() const
{
    // Daemons that answered lately first; then in the order of their ranks.
    constexpr Duration lately = std::chrono::seconds(2);
    std::vector<std::tuple<bool, std::uint64_t, DaemonIdentity>> order;
    for (const PeerDaemon &peer : m_peers) {
        const auto ack = m_acks.find(peer.id);
        const bool isSilent = ack == m_acks.end() || m_now - ack->second.sentAt > lately;
        order.emplace_back(isSilent, rankHash(m_service, peer.id), DaemonIdentity{peer.id, peer.incarnation});
    }
    std::sort(order.begin(), order.end());
    std::vector<DaemonIdentity> voters{m_self};
    for (const auto &[isSilent, hash, identity] : order) {
        if (voters.size() < m_timing.voters)
            voters.push_back(identity);
    }
    return voters;
}

/// Whether other voters would serve better: some have ended, or there were too few daemons when they were chosen.
bool RangeControl::areVotersWorn() const
{
    const auto over = std::count_if(m_written.voters.begin(), m_written.voters.end(),
                                    [this](const DaemonIdentity &voter) { return isLifeOver(voter); });
    return over != 0 || m_written.voters.size() < std::min(m_timing.voters, m_peers.size() + 1);
}

std::set<std::string> RangeControl::askedDaemons() const
{
    std::set<std::string> asked;
    for (const DaemonIdentity &voter : m_written.voters)
        asked.insert(voter.id);
    for (const PastController &past : m_unsettled) {
        for (const DaemonIdentity &voter : past.voters)
            asked.insert(voter.id);
    }
    for (const PeerDaemon &peer : m_peers) {
        if (asked.size() < m_timing.askedDaemons)
            asked.insert(peer.id);
    }
    return asked;
}

/// Learns which predecessors have stopped. Leases that they gave have ended soon after the last of them did.
void RangeControl::settlePredecessors()
{
    if (m_unsettled.empty())
        return;
    std::erase_if(m_unsettled, [this](const PastController &past) {
        if (isLifeOver(past.identity)) {
            m_inheritedUntil = std::max(m_inheritedUntil, m_now + longestHold(longestInheritedLease()));
            return true;
        }
        const auto turned = std::count_if(past.voters.begin(), past.voters.end(), [this](const DaemonIdentity &voter) {
            const auto ack = m_acks.find(voter.id);
            return voter == m_self || isLifeOver(voter)
                || (ack != m_acks.end() && ack->second.from == voter && ack->second.term >= m_written.term);
        });
        if (static_cast<std::size_t>(turned) <= past.voters.size() / 2)
            return false;
        const auto authority = m_timing.authority + m_timing.authority / 50;
        m_inheritedUntil = std::max(m_inheritedUntil, m_now + authority + longestHold(longestInheritedLease()));
        return true;
    });
    // Whoever has heard nothing from the store since this term began stops by itself.
    const Time latest = m_startedAt + m_timing.longestAuthority + m_timing.longestAuthority / 100
        + longestHold(longestInheritedLease());
    const Time bound = m_unsettled.empty() ? std::min(m_inheritedUntil, latest) : latest;
    for (Entry &entry : m_entries) {
        if (entry.isInherited)
            entry.mayHoldUntil = bound;
    }
    if (m_now > latest)
        m_unsettled.clear();
}

void RangeControl::startControl()
{
    m_role = Role::Controller;
    m_term = m_written.term;
    m_controller = m_self.id;
    m_isControllerLeaving = false;
    m_controllerStoreAge = 0ms;
    m_isWriting = false;
    m_isVoterWriteOpen = false;
    m_fenceCount = 0;
    m_sequence = 0;
    m_isReading = false;
    m_nextRead = m_nextWrite = m_now;
    m_orders.clear();
    m_announced.clear();
    m_load = {};
    m_startedAt = m_now;
    m_acks.clear();
    m_unsettled = m_written.predecessors;
    m_inheritedUntil = m_now + longestHold(longestInheritedLease());
    const Time latest
        = m_now + m_timing.longestAuthority + m_timing.longestAuthority / 100 + longestHold(longestInheritedLease());
    m_entries.clear();
    for (const OwnedRange &owned : m_written.ranges) {
        Entry entry;
        entry.owned = owned;
        entry.isInherited = true;
        entry.phase = owned.owner.id.empty() ? Phase::Free : Phase::Granting;
        entry.mayHoldUntil = owned.owner.id.empty() ? m_now : (m_unsettled.empty() ? m_inheritedUntil : latest);
        // Fences of this term: what earlier controllers may still send is refused from the first grant on.
        entry.owned.fence = entry.firstFence = nextFence();
        m_entries.push_back(entry);
    }
    m_nextPlan = m_now + 2 * m_timing.planEvery;
    m_nextBeat = m_now;
    note(events::rangeControlStarted,
         "term " + std::to_string(m_term) + " revision " + std::to_string(m_revision) + " ranges "
             + std::to_string(m_entries.size()) + " predecessors " + std::to_string(m_unsettled.size()));
}

void RangeControl::stepDown(const std::string &why)
{
    note(events::rangeControlEnded, "term " + std::to_string(m_written.term) + ": " + why);
    m_role = Role::Follower;
    m_isWriting = false;
    m_isReading = false;
    m_entries.clear();
    m_orders.clear();
    m_heardAt = m_now;
    m_nextClaim = m_now + m_timing.storeRetry;
}

void RangeControl::on(const ControlBeat &event)
{
    if (event.term < m_term || event.from == m_self.id)
        return;
    if (event.term > m_term && m_role == Role::Controller)
        stepDown(event.from + " controls term " + std::to_string(event.term));
    // Tells the new controller, once for each term, that nothing more comes from this one.
    if (event.term > m_resignedTo && m_written.term != 0 && m_written.term < event.term && m_role == Role::Follower) {
        m_resignedTo = event.term;
        m_effects.emplace_back(SendResigned{event.from, {m_service, m_self.id, m_written.term}});
    }
    m_term = event.term;
    m_controller = event.from;
    m_heardSequence = event.sequence;
    m_heardAt = m_now;
    m_isControllerLeaving = event.isLeaving;
    m_controllerStoreAge = event.storeAge;
    if (event.wantsAck)
        m_effects.emplace_back(SendAck{event.from, {m_service, m_self, m_term, event.sentAt}});
}

void RangeControl::on(const ControlAck &event)
{
    if (m_role != Role::Controller)
        return;
    ControlAck &latest = m_acks[event.from.id];
    if (latest.from.incarnation <= event.from.incarnation && latest.sentAt <= event.sentAt)
        latest = event;
}

void RangeControl::on(const ControlResigned &event)
{
    if (m_role != Role::Controller)
        return;
    const auto before = m_unsettled.size();
    std::erase_if(m_unsettled, [&event](const PastController &past) {
        return past.identity.id == event.from && past.term == event.term;
    });
    if (m_unsettled.size() == before)
        return;
    m_inheritedUntil = std::max(m_inheritedUntil, m_now + longestHold(longestInheritedLease()));
    for (Entry &entry : m_entries) {
        if (entry.isInherited && m_unsettled.empty())
            entry.mayHoldUntil = m_inheritedUntil;
    }
}

void RangeControl::on(const ControlPeers &event)
{
    m_peers = event.peers;
    m_ownLinkMbps = event.ownLinkMbps;
}

/// A controller that is told to stop goes on until another daemon has taken over, which it invites.
void RangeControl::on(const ControlStop &)
{
    m_isStopping = true;
    m_nextBeat = m_now;
}

void RangeControl::beatIfDue()
{
    if (m_now < m_nextBeat)
        return;
    m_nextBeat = m_now + m_timing.heartbeat;
    m_effects.emplace_back(SendBeat{
        {m_service, m_self.id, m_term, m_sequence, m_now - m_confirmedAt, m_isStopping, m_now, false}, askedDaemons()});
}

void RangeControl::confirmIfDue()
{
    const bool isDue = !isConfirmed() || m_now - m_confirmedAt >= m_timing.confirmEvery;
    if (m_isReading || m_now < m_nextRead || !isDue)
        return;
    m_isReading = true;
    m_nextRead = m_now + m_timing.storeRetry;
    m_effects.emplace_back(ReadOwnership{});
}

} // namespace sardinehinge::core
