#include <sardinehinge/core/controlgroup.h>

#include <sardinehinge/core/eventnumbers.h>

#include <algorithm>
#include <utility>

namespace sardinehinge::core {

const char *controlRoleName(ControlRole role) noexcept
{
    switch (role) {
    case ControlRole::Follower:
        return "follower";
    case ControlRole::Candidate:
        return "candidate";
    case ControlRole::Steward:
        return "steward";
    case ControlRole::Controller:
        return "controller";
    }
    return "unknown";
}

ControlGroup::ControlGroup(ServiceId service, DaemonIdentity self, LeaseTiming timing, PlacementLimits limits)
    : m_service(std::move(service))
    , m_group(toString(m_service))
    , m_self(std::move(self))
    , m_timing(timing)
    , m_limits(limits)
    , m_witness(timing)
{
    m_knownIncarnations[m_self.id] = m_self.incarnation;
}

ControlGroup::Effects ControlGroup::handle(const ControlEvent &event, Time now)
{
    m_now = std::max(now, m_now);
    if (m_startedAt == 0ms)
        m_startedAt = m_now;
    m_effects.clear();
    std::visit([this](const auto &typed) { onEvent(typed); }, event);
    run(std::holds_alternative<Tick>(event));
    return std::exchange(m_effects, {});
}

void ControlGroup::noteIncarnation(const DaemonIdentity &daemon)
{
    auto &known = m_knownIncarnations[daemon.id];
    known = std::max(known, daemon.incarnation);
}

Time ControlGroup::authorityEnd() const noexcept
{
    if (m_role != ControlRole::Steward && m_role != ControlRole::Controller)
        return 0ms;
    const Time confirmed = majorityAckedSendTime(m_record.witnesses);
    return confirmed == 0ms ? 0ms : confirmed + m_timing.controlLease;
}

bool ControlGroup::hasAuthority(Time now) const noexcept
{
    return now < authorityEnd();
}

bool ControlGroup::needsFastTicks() const noexcept
{
    return m_role != ControlRole::Follower || m_record.witnesses.empty() || isWitness(m_record);
}

std::size_t ControlGroup::unheldShards() const noexcept
{
    std::size_t count = 0;
    for (std::uint32_t shard = 0; shard < m_assignment.shards.size(); ++shard) {
        const ShardOwner &owner = m_assignment.shards[shard];
        const auto lease = m_leases.find(owner.target);
        count += lease == m_leases.end() || !lease->second.held.contains({shard, owner.epoch});
    }
    return count;
}

void ControlGroup::onEvent(const Tick &) { }

void ControlGroup::onEvent(const InstancesChanged &event)
{
    // The platform serves the list from lagging replicas, so an older version can arrive after a newer one.
    if (event.view.version < m_view.version)
        return;
    m_view = event.view;
    m_targets = targetsOf(m_view, m_service);
    m_listed.clear();
    for (const Instance &instance : m_view.instances)
        m_listed.insert(instance.id);
}

void ControlGroup::onEvent(const ServiceChanged &event)
{
    if (event.shuttingDown && !m_config.shuttingDown)
        m_shutdownSince = m_now;
    m_config = event;
    m_ownerChangesPending = true;
}

void ControlGroup::onEvent(const RecordReceived &event)
{
    adoptRecord(event.record, event.revision);
}

void ControlGroup::onEvent(const AssignmentReceived &event)
{
    if (m_role == ControlRole::Controller || event.revision <= m_assignmentRevision)
        return;
    m_assignment = event.assignment;
    m_assignmentRevision = event.revision;
}

void ControlGroup::onEvent(const PeerReceived &event)
{
    noteIncarnation(event.from);
    std::visit([&](const auto &message) { onMessage(event.from, message); }, event.message);
}

void ControlGroup::onEvent(const RecordRead &event)
{
    const bool isStale = !event.error && event.revision < m_recordRevision;
    endCall(m_recordRead, !event.error && !isStale);
    if (!event.error && !isStale)
        adoptRecord(event.record, event.revision);
}

void ControlGroup::onEvent(const AssignmentRead &event)
{
    const bool isStale = !event.error && event.revision < m_assignmentRevision;
    endCall(m_assignmentRead, !event.error && !isStale);
    if (event.error || isStale || m_role != ControlRole::Controller)
        return;
    m_assignment = event.assignment;
    m_assignmentRevision = event.revision;
    m_assignmentFresh = true;
    m_assignmentWrittenThisTerm = false;
}

void ControlGroup::onEvent(const RecordWritten &event)
{
    endCall(m_recordWrite, event.outcome.kind != WriteOutcome::Kind::Unknown);
    if (event.outcome.kind == WriteOutcome::Kind::Applied && m_writingRecord.term == m_term)
        adoptRecord(m_writingRecord, event.outcome.revision);
    if (event.outcome.kind == WriteOutcome::Kind::Conflict)
        m_recordKnown = false;
}

void ControlGroup::onEvent(const AssignmentWritten &event)
{
    endCall(m_assignmentWrite, event.outcome.kind != WriteOutcome::Kind::Unknown);
    if (event.outcome.kind == WriteOutcome::Kind::Applied && event.outcome.revision > m_assignmentRevision) {
        const bool isOurs = m_role == ControlRole::Controller && m_writing.term == m_term;
        m_assignment = m_writing;
        m_assignmentRevision = event.outcome.revision;
        m_assignmentFresh = m_assignmentFresh && isOurs;
        m_assignmentWrittenThisTerm = isOurs;
        m_ownerChangesPending = true;
        note(events::assignmentWritten, m_group + " revision " + std::to_string(m_assignmentRevision));
    }
    // After a conflict or a lost response the store's content is unknown until the next read.
    if (event.outcome.kind != WriteOutcome::Kind::Applied)
        m_assignmentFresh = false;
    if (event.outcome.kind == WriteOutcome::Kind::Conflict)
        m_recordKnown = false;
}

void ControlGroup::onEvent(const TargetReported &event)
{
    const TargetReport &report = event.report;
    m_highestTermSeen = std::max(m_highestTermSeen, report.term);
    if (m_role != ControlRole::Steward && m_role != ControlRole::Controller)
        return;
    TargetLease &lease = m_leases[event.target];
    if (report.sequence == lease.sentSequence)
        lease.orderPending = false;
    if (!report.accepted && report.term > m_term) {
        stepDown("target " + event.target + " has seen term " + std::to_string(report.term));
        return;
    }
    if (!report.accepted && report.incarnation != lease.incarnation) {
        // Another process answers at this address. Request a clock reading from it before granting anything.
        lease.incarnation = 0;
        lease.orderSentAt = 0ms;
    }
    if (!report.accepted || report.sequence <= lease.reportSequence)
        return;
    if (lease.lost || lease.lastReport == 0ms)
        note(events::targetReported, m_group + " " + event.target);
    // Grants of earlier terms were counted from earlier clock readings, so they expire within one lease from now.
    if (!lease.reportedThisTerm)
        lease.latestExpiry = m_now + withDrift(m_timing, m_timing.targetLease);
    lease.incarnation = report.incarnation;
    lease.anchor = report.clock;
    lease.anchorReceivedAt = m_now;
    lease.lastReport = m_now;
    lease.reportSequence = report.sequence;
    lease.reportedThisTerm = true;
    lease.processGone = false;
    lease.lost = false;
    std::set<ShardEpoch> held(report.held.begin(), report.held.end());
    m_ownerChangesPending = m_ownerChangesPending || held != lease.held || !lease.isHeldKnown;
    lease.isHeldKnown = true;
    lease.held = std::move(held);
}

void ControlGroup::onEvent(const OrderUnanswered &event)
{
    const auto found = m_leases.find(event.target);
    if (found == m_leases.end() || event.sequence != found->second.sentSequence)
        return;
    found->second.orderPending = false;
    if (event.refused)
        found->second.processGone = true;
}

void ControlGroup::onEvent(const LoadMeasured &event)
{
    m_load = event.load;
}

void ControlGroup::onEvent(const DaemonStopping &)
{
    m_isStopping = true;
    if (m_role != ControlRole::Follower)
        stepDown("the daemon is stopping");
}

void ControlGroup::run(bool isTick)
{
    if (!m_config.spec) {
        if (m_role != ControlRole::Follower)
            stepDown("the service was removed");
        return;
    }
    startCandidacyIfDue();
    if (m_role == ControlRole::Candidate)
        requestPromises();
    if (m_role == ControlRole::Steward || m_role == ControlRole::Controller) {
        sendHeartbeats();
        if (isTick)
            checkAuthority();
    }
    if (m_role == ControlRole::Steward)
        advanceTakeover();
    if (m_role == ControlRole::Controller) {
        replaceSilentWitnesses();
        markLostTargets();
        readMissingState();
        if (isTick)
            planAndWrite();
    }
    sendOrders();
}

void ControlGroup::note(std::uint32_t event, std::string detail)
{
    m_effects.push_back(LogEvent{event, std::move(detail)});
}

bool ControlGroup::mayCall(const StoreCall &call) const noexcept
{
    return !call.pending && m_now >= call.retryAt;
}

void ControlGroup::beginCall(StoreCall &call) const noexcept
{
    call.pending = true;
}

void ControlGroup::endCall(StoreCall &call, bool succeeded) const noexcept
{
    call.pending = false;
    call.backoff
        = succeeded ? 0ms : std::clamp(call.backoff * 2, m_timing.minStoreRetryDelay, m_timing.maxStoreRetryDelay);
    call.retryAt = m_now + call.backoff;
}

} // namespace sardinehinge::core
