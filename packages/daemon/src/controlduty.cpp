#include "controlduty.h"
#include "documentprefixes.h"

#include <sardinehinge/core/eventnumbers.h>
#include <sardinehinge/edges/documentcodec.h>

#include <algorithm>
#include <cstdio>
#include <set>

namespace sardinehinge::daemon {

namespace {

constexpr std::size_t peerRing = 16'384; ///< Full: messages are dropped and counted.
constexpr std::size_t platformRing = 4096; ///< Full: the platform duty waits.
constexpr std::size_t orderRing = 8192; ///< Full: the outcome is dropped and the order counts as unanswered.
constexpr std::size_t routingRing
    = 4096; ///< Full: load reports are dropped; a confirmation is repeated by the next one.
constexpr std::size_t operatorRing = 256; ///< Full: the operator is told to try again.
constexpr std::chrono::milliseconds tickPeriod{5};
constexpr core::Duration slowTickPeriod = std::chrono::milliseconds(200);
constexpr core::Duration snapshotPeriod = std::chrono::milliseconds(100);

} // namespace

template<typename T, typename Take>
std::function<void()> ControlDuty::drainer(Ring<T> &ring, Take takeOne)
{
    return m_worker.waker([&ring, takeOne] { ring.drain(takeOne); });
}

ControlDuty::ControlDuty(core::DaemonIdentity self, std::uint64_t seed, EventLog &events, ControlOutlets outlets)
    : m_self(std::move(self))
    , m_events(events)
    , m_outlets(std::move(outlets))
    , m_random(seed)
    , m_timer(m_worker.context())
    , m_documents(m_self.id, seed)
    , m_fromPeers(peerRing, drainer(m_fromPeers, [this](const IncomingMessage &message) { take(message); }))
    , m_fromPlatform(platformRing, drainer(m_fromPlatform, [this](const FromPlatform &message) { take(message); }))
    , m_fromOrders(orderRing, drainer(m_fromOrders, [this](const OrderOutcome &outcome) { take(outcome); }))
    , m_fromRouting(routingRing, drainer(m_fromRouting, [this](const RoutingToControl &message) { take(message); }))
    , m_fromOperators(operatorRing, drainer(m_fromOperators, [this](const ToControl &message) { take(message); }))
{
}

ControlDuty::~ControlDuty()
{
    m_worker.stop();
}

void ControlDuty::start()
{
    armTimer();
    m_worker.start();
}

std::shared_ptr<const Snapshot> ControlDuty::snapshot() const
{
    const std::lock_guard lock(m_snapshotMutex);
    return m_snapshot;
}

void ControlDuty::armTimer()
{
    m_timer.expires_after(tickPeriod);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (error)
            return;
        armTimer(); // First, so that a failing tick doesn't end the ticks.
        tick();
    });
}

void ControlDuty::tick()
{
    const core::Time now = bootTime();
    runDocuments(core::DocumentTick{});
    for (auto &[name, group] : m_groups) {
        // Groups that this daemon has no part in need no more than a look now and then.
        if (!group->logic.needsFastTicks() && now - group->lastTick < slowTickPeriod)
            continue;
        group->lastTick = now;
        runGroup(*group, core::Tick{});
    }
    while (!m_routingBacklog.empty() && m_outlets.toRouting(m_routingBacklog.front()))
        m_routingBacklog.pop_front();
    askRevisions();
    if (now - m_lastSnapshot >= snapshotPeriod) {
        m_lastSnapshot = now;
        publishSnapshot();
    }
}

void ControlDuty::take(const IncomingMessage &message)
{
    const auto &[from, body] = message;
    if (const auto *query = std::get_if<core::RevisionQuery>(&body))
        return answerRevision(from, *query);
    if (const auto *reply = std::get_if<core::RevisionReply>(&body))
        return noteRevision(from, *reply);
    if (const auto *digest = std::get_if<core::Digest>(&body); digest != nullptr && digest->isReply)
        m_isInSync = true;
    act(m_documents.handle(from, body, bootTime()));
    const auto groupName = [](const auto &typed) -> std::string {
        if constexpr (requires { typed.group; })
            return typed.group;
        return {};
    };
    const std::string name = std::visit(groupName, body);
    if (name.empty()) {
        // Any message tells every group which life of the sender is the present one.
        for (auto &[each, group] : m_groups)
            group->logic.noteIncarnation(from);
        return;
    }
    if (Group *group = groupOf(name))
        runGroup(*group, core::PeerReceived{from, body});
}

void ControlDuty::take(const FromPlatform &message)
{
    std::visit([this](const auto &typed) { onPlatform(typed); }, message);
}

void ControlDuty::take(const OrderOutcome &outcome)
{
    Group *group = groupOf(toString(outcome.service));
    if (group == nullptr)
        return;
    if (outcome.report)
        runGroup(*group, core::TargetReported{outcome.target, *outcome.report});
    else
        runGroup(*group, core::OrderUnanswered{outcome.target, outcome.sequence, outcome.refused});
}

void ControlDuty::take(const RoutingToControl &message)
{
    if (const auto *confirmed = std::get_if<WorkspaceInForce>(&message)) {
        auto &revision = m_inForce[confirmed->workspace];
        revision = std::max(revision, confirmed->revision);
        m_events.record(Severity::Info, core::events::documentInForce,
                        edges::workspaceObject(confirmed->workspace) + " revision " + std::to_string(revision));
        return;
    }
    const auto &load = std::get<ServiceLoad>(message);
    if (Group *group = groupOf(toString(load.service)))
        runGroup(*group, core::LoadMeasured{load.load});
}

void ControlDuty::take(const ToControl &message)
{
    std::visit([this](const auto &typed) { onOperator(typed); }, message);
}

// What the platform says.

void ControlDuty::onPlatform(const ObjectRead &message)
{
    const auto *object = std::get_if<edges::StoredObject>(&message.result);
    const core::Error *error = core::errorIn(message.result);
    std::string body;
    if (object != nullptr && object->revision != 0) {
        runDocuments(core::DocumentFromStore{{object->name, object->revision, object->bytes}});
        const auto envelope = edges::decodeEnvelope(object->bytes);
        if (const auto *value = std::get_if<edges::StoredEnvelope>(&envelope))
            body = value->body;
    }
    const auto finish = [&](auto event, auto decode, auto member, std::string_view prefix) {
        Group *group = groupOf(without(message.name, prefix));
        if (group == nullptr)
            return;
        if (error != nullptr)
            event.error = *error;
        if (object != nullptr && object->revision != 0) {
            const auto decoded = decode(body);
            event.revision = object->revision;
            if (const core::Error *fault = core::errorIn(decoded))
                event.error = *fault;
            else
                event.*member = std::get<0>(decoded);
        }
        runGroup(*group, event);
    };
    if (message.name.starts_with(recordPrefix))
        finish(core::RecordRead{}, edges::decodeRecord, &core::RecordRead::record, recordPrefix);
    else if (message.name.starts_with(assignmentPrefix))
        finish(core::AssignmentRead{}, edges::decodeAssignment, &core::AssignmentRead::assignment, assignmentPrefix);
}

void ControlDuty::onPlatform(const ObjectWritten &message)
{
    const bool isApplied = message.outcome.kind == core::WriteOutcome::Kind::Applied;
    if (const auto write = m_groupWrites.find(message.attempt); write != m_groupWrites.end()) {
        const GroupWrite kept = write->second;
        m_groupWrites.erase(write);
        if (Group *group = groupOf(toString(kept.service))) {
            if (kept.isRecord)
                runGroup(*group, core::RecordWritten{message.outcome});
            else
                runGroup(*group, core::AssignmentWritten{message.outcome});
        }
    }
    if (const auto write = m_operatorWrites.find(message.attempt); write != m_operatorWrites.end()) {
        finishApply(write->second, message);
        m_operatorWrites.erase(write);
    }
    if (isApplied)
        runDocuments(core::DocumentFromStore{{message.object.name, message.outcome.revision, message.object.bytes}});
}

void ControlDuty::onPlatform(const ObjectsWatched &message)
{
    m_isInSync = true;
    runDocuments(core::StoreResponded{});
    for (const edges::StoredObject &object : message.objects)
        runDocuments(core::DocumentFromStore{{object.name, object.revision, object.bytes}});
}

void ControlDuty::onPlatform(const ListRead &message)
{
    runDocuments(core::DocumentFromStore{
        {edges::instancesDocument, message.view.version, edges::encodeInstances(message.view)}});
}

void ControlDuty::onPlatform(const PlatformFailed &) { }

// Documents.

void ControlDuty::runDocuments(const core::DocumentEvent &event)
{
    act(m_documents.handle(event, bootTime()));
}

void ControlDuty::act(core::DocumentReplicator::Effects effects)
{
    for (core::DocumentEffect &effect : effects) {
        if (const auto *send = std::get_if<core::SendDocumentMessage>(&effect))
            sendPeer(send->to, send->message);
        else if (const auto *advanced = std::get_if<core::DocumentUpdated>(&effect))
            documentAdvanced(advanced->document);
        else if (const auto *watch = std::get_if<core::WatchStore>(&effect))
            m_outlets.toPlatform(SetWatching{watch->enabled});
    }
}

void ControlDuty::documentAdvanced(const core::Document &document)
{
    if (document.name == edges::instancesDocument)
        instancesAdvanced(document);
    else if (document.name.starts_with(workspacePrefix))
        workspaceAdvanced(document);
    else if (document.name.starts_with(recordPrefix))
        recordAdvanced(document);
    else if (document.name.starts_with(assignmentPrefix))
        assignmentAdvanced(document);
}

void ControlDuty::workspaceAdvanced(const core::Document &document)
{
    const auto envelope = edges::decodeEnvelope(document.bytes);
    const auto *value = std::get_if<edges::StoredEnvelope>(&envelope);
    const auto decoded = value == nullptr ? edges::WorkspaceDocument(std::vector<std::string>{"no envelope"})
                                          : edges::decodeWorkspace(value->body);
    const auto *spec = std::get_if<core::WorkspaceSpec>(&decoded);
    if (spec == nullptr) {
        // Written past the checks of this version: what is in force stays in force.
        m_events.record(Severity::Error, core::events::documentRefused,
                        document.name + ": " + std::get<std::vector<std::string>>(decoded).front());
        return;
    }
    m_workspaces[spec->name] = *spec;
    updateGroups(*spec);
    sendRouting(WorkspaceUpdate{{spec->name, *spec}, document.revision});
}

void ControlDuty::recordAdvanced(const core::Document &document)
{
    const auto envelope = edges::decodeEnvelope(document.bytes);
    const auto *value = std::get_if<edges::StoredEnvelope>(&envelope);
    Group *group = groupOf(without(document.name, recordPrefix));
    if (value == nullptr || group == nullptr)
        return;
    const auto record = edges::decodeRecord(value->body);
    if (const auto *typed = std::get_if<core::ControlRecord>(&record))
        runGroup(*group, core::RecordReceived{*typed, document.revision});
}

void ControlDuty::assignmentAdvanced(const core::Document &document)
{
    const auto envelope = edges::decodeEnvelope(document.bytes);
    const auto *value = std::get_if<edges::StoredEnvelope>(&envelope);
    if (value == nullptr)
        return;
    const auto decoded = edges::decodeAssignment(value->body);
    const auto *assignment = std::get_if<core::Assignment>(&decoded);
    const std::string name = without(document.name, assignmentPrefix);
    const auto slash = name.find('/');
    if (assignment == nullptr || slash == std::string::npos)
        return;
    sendRouting(core::OwnersChanged{{name.substr(0, slash), name.substr(slash + 1)}, *assignment});
    if (Group *group = groupOf(name))
        runGroup(*group, core::AssignmentReceived{*assignment, document.revision});
}

void ControlDuty::instancesAdvanced(const core::Document &document)
{
    const auto decoded = edges::decodeInstances(document.bytes);
    const auto *view = std::get_if<core::InstanceView>(&decoded);
    if (view == nullptr)
        return;
    m_view = *view;
    PeerAddresses addresses;
    for (const core::Instance &instance : m_view.instances) {
        if (instance.kind == core::InstanceKind::Daemon)
            addresses.byId[instance.id] = instance.address;
    }
    m_outlets.toPeers(addresses);
    sendRouting(core::TargetsChanged{m_view});
    runDocuments(core::DocumentPeersChanged{m_view});
    for (auto &[name, group] : m_groups)
        runGroup(*group, core::InstancesChanged{m_view});
}

// Control groups.

void ControlDuty::updateGroups(const core::WorkspaceSpec &spec)
{
    std::set<std::string> present;
    for (const core::ServiceSpec &service : spec.services) {
        // Services without keys have no owners to agree on.
        if (service.division == core::Division::None)
            continue;
        const core::ServiceId id{spec.name, service.name};
        present.insert(toString(id));
        auto &group = m_groups[toString(id)];
        const bool isNew = group == nullptr;
        if (isNew)
            group = std::make_unique<Group>(Group{id, core::ControlGroup(id, m_self, m_timing), {}});
        const std::set<std::string> drained(spec.drainedTargets.begin(), spec.drainedTargets.end());
        runGroup(
            *group,
            core::ServiceChanged{service, drained, spec.state == core::WorkspaceState::Shutdown, spec.shutdownGrace});
        if (!isNew)
            continue;
        if (m_isResigned)
            runGroup(*group, core::DaemonStopping{});
        runGroup(*group, core::InstancesChanged{m_view});
        // The group's own documents may have come before its workspace.
        for (const std::string &name : {edges::recordObject(id), edges::assignmentObject(id)}) {
            if (const core::Document *document = m_documents.find(name))
                documentAdvanced(core::Document(*document));
        }
    }
    for (auto &[name, group] : m_groups) {
        if (group->service.workspace == spec.name && !present.contains(name))
            runGroup(*group, core::ServiceChanged{});
    }
}

ControlDuty::Group *ControlDuty::groupOf(const std::string &name)
{
    const auto found = m_groups.find(name);
    return found == m_groups.end() ? nullptr : found->second.get();
}

void ControlDuty::runGroup(Group &group, const core::ControlEvent &event)
{
    for (const core::ControlEffect &effect : group.logic.handle(event, bootTime()))
        act(group, effect);
    // Messages to this daemon's own witness don't leave the process. They wait until the event before is done with.
    while (!m_toSelf.empty()) {
        const core::PeerMessage message = std::move(m_toSelf.front());
        m_toSelf.pop_front();
        take(IncomingMessage{m_self, message});
    }
}

void ControlDuty::act(Group &group, const core::ControlEffect &effect)
{
    if (const auto *send = std::get_if<core::SendPeer>(&effect)) {
        sendPeer(send->to, send->message);
    } else if (std::holds_alternative<core::ReadRecord>(effect)) {
        m_outlets.toPlatform(ReadObject{edges::recordObject(group.service)});
    } else if (std::holds_alternative<core::ReadAssignment>(effect)) {
        m_outlets.toPlatform(ReadObject{edges::assignmentObject(group.service)});
    } else if (const auto *record = std::get_if<core::WriteRecord>(&effect)) {
        writeForGroup(group.service, true, edges::encodeRecord(record->record), record->expectedRevision);
    } else if (const auto *assignment = std::get_if<core::WriteAssignment>(&effect)) {
        writeForGroup(group.service, false, edges::encodeAssignment(assignment->assignment),
                      assignment->expectedRevision);
    } else if (const auto *order = std::get_if<core::OrderTarget>(&effect)) {
        m_outlets.toOrders(OutgoingOrder{group.service, *order});
    } else if (const auto *noted = std::get_if<core::LogEvent>(&effect)) {
        m_events.record(Severity::Info, noted->event, noted->detail);
    }
}

void ControlDuty::writeForGroup(const core::ServiceId &service, bool isRecord, const std::string &body,
                                std::uint64_t expected)
{
    const std::string attempt = newAttempt();
    m_groupWrites[attempt] = GroupWrite{service, isRecord};
    const std::string name = isRecord ? edges::recordObject(service) : edges::assignmentObject(service);
    m_outlets.toPlatform(WriteObject{name, body, m_self.id, attempt, expected});
}

std::string ControlDuty::newAttempt()
{
    return m_self.id + "-" + std::to_string(m_self.incarnation) + "-" + std::to_string(m_nextAttempt++);
}

void ControlDuty::sendPeer(const std::string &to, const core::PeerMessage &message)
{
    if (to == m_self.id)
        m_toSelf.push_back(message);
    else
        m_outlets.toPeers(OutgoingMessage{to, message});
}

void ControlDuty::sendRouting(ControlToRouting message)
{
    // Updates must not overtake each other, so a backlog goes first.
    if (!m_routingBacklog.empty() || !m_outlets.toRouting(message))
        m_routingBacklog.push_back(std::move(message));
}

void ControlDuty::publishSnapshot()
{
    const core::Time now = bootTime();
    auto next = std::make_shared<Snapshot>();
    next->self = m_self;
    next->listVersion = m_view.version;
    next->instances = m_view.instances;
    next->isWatching = m_documents.isWatching();
    next->storeAge = m_documents.storeAge(now);
    for (const auto &[name, spec] : m_workspaces) {
        const core::Document *document = m_documents.find(edges::workspaceObject(name));
        next->workspaces[name]
            = {spec, document == nullptr ? 0 : document->revision, revisionInForce(edges::workspaceObject(name))};
    }
    for (const auto &[name, group] : m_groups) {
        const core::ControlGroup &logic = group->logic;
        GroupStatus status{group->service,
                           logic.role(),
                           logic.term(),
                           logic.record(),
                           logic.assignment(),
                           logic.unheldShards(),
                           logic.hasAuthority(now),
                           {}};
        for (const auto &[target, lease] : logic.leases()) {
            if (lease.lost)
                status.lostTargets.push_back(target);
        }
        next->groups.push_back(std::move(status));
    }
    m_outlets.setReady(m_isInSync && !m_view.instances.empty() && !m_isResigned);
    const std::lock_guard lock(m_snapshotMutex);
    m_snapshot = std::move(next);
}

} // namespace sardinehinge::daemon
