#include "controlduty.h"
#include "documentprefixes.h"

#include <sardinehinge/core/eventnumbers.h>
#include <sardinehinge/edges/documentcodec.h>

#include <algorithm>

// What the control duty does for operators: changes of workspaces, their history, and where which revision is in force.
namespace sardinehinge::daemon {

namespace {

constexpr core::Duration revisionAskPeriod = std::chrono::milliseconds(50);
constexpr core::Duration checkLifetime = std::chrono::seconds(60);

/// The first service whose keys would be divided in another way; empty when there is none.
std::string changedDivision(const core::WorkspaceSpec &present, const core::WorkspaceSpec &next)
{
    for (const core::ServiceSpec &service : next.services) {
        const core::ServiceSpec *old = core::findService(present, service.name);
        const bool isSame = old == nullptr
            || (old->division == service.division && old->shardCount == service.shardCount
                && old->splits == service.splits);
        if (!isSame)
            return service.name;
    }
    return {};
}

} // namespace

/// Tells the operator how a change of a workspace ended.
void ControlDuty::finishApply(const std::string &workspace, const ObjectWritten &message)
{
    using Kind = core::WriteOutcome::Kind;
    Operation operation;
    operation.isFinished = true;
    operation.revision = message.outcome.revision;
    if (message.outcome.kind == Kind::Conflict) {
        const auto envelope = edges::decodeEnvelope(message.object.bytes);
        if (const auto *value = std::get_if<edges::StoredEnvelope>(&envelope))
            operation.winner = value->author;
        operation.error = core::Error{core::ErrorCode::RevisionConflict,
                                      "store write",
                                      {},
                                      "the workspace is at revision " + std::to_string(message.outcome.revision)};
    } else if (message.outcome.kind == Kind::Unknown) {
        operation.error = core::Error{core::ErrorCode::StoreUnavailable,
                                      "store write",
                                      {},
                                      "no answer: the change may still take effect; look before trying again"};
    }
    const bool isApplied = message.outcome.kind == Kind::Applied;
    const auto event = isApplied ? core::events::workspaceApplied : core::events::workspaceApplyRefused;
    m_events.record(Severity::Info, event, workspace + " revision " + std::to_string(message.outcome.revision));
    m_operations.set(message.attempt, std::move(operation));
}

void ControlDuty::onPlatform(const VersionsRead &message)
{
    Operation operation;
    operation.isFinished = true;
    if (const core::Error *error = core::errorIn(message.result)) {
        operation.error = *error;
        return m_operations.set(message.operation, std::move(operation));
    }
    for (const edges::StoredObject &object : std::get<std::vector<edges::StoredObject>>(message.result)) {
        const auto envelope = edges::decodeEnvelope(object.bytes);
        if (const auto *value = std::get_if<edges::StoredEnvelope>(&envelope))
            operation.history.push_back({object.revision, value->author, value->attempt});
    }
    m_operations.set(message.operation, std::move(operation));
}

void ControlDuty::onOperator(const ApplyWorkspace &command)
{
    // The same command twice (a client that resends) must not write twice under two outcomes.
    if (m_operations.find(command.operation))
        return;
    m_operations.set(command.operation, {});
    const auto present = m_workspaces.find(command.spec.name);
    const std::string changed
        = present == m_workspaces.end() ? std::string() : changedDivision(present->second, command.spec);
    if (!changed.empty()) {
        Operation operation;
        operation.isFinished = true;
        operation.error = core::Error{core::ErrorCode::BadDocument,
                                      "validate",
                                      {},
                                      "service " + changed + ": the division of keys can't change while it serves"};
        return m_operations.set(command.operation, std::move(operation));
    }
    m_operatorWrites[command.operation] = command.spec.name;
    m_outlets.toPlatform(WriteObject{edges::workspaceObject(command.spec.name), edges::encodeWorkspace(command.spec),
                                     command.author, command.operation, command.expectedRevision});
}

void ControlDuty::onOperator(const CheckInForce &query)
{
    if (m_operations.find(query.operation))
        return;
    const std::uint64_t token = m_nextToken++;
    InForceCheck &check = m_checks[token];
    check = InForceCheck{query.operation, query.document, query.revision, {}, {}, bootTime()};
    updateCheck(token, check);
}

void ControlDuty::onOperator(const ShowHistory &query)
{
    if (m_operations.find(query.operation))
        return;
    m_operations.set(query.operation, {});
    m_outlets.toPlatform(ReadVersions{query.document, query.operation});
}

void ControlDuty::onOperator(const Resign &)
{
    m_isResigned = true;
    for (auto &[name, group] : m_groups)
        runGroup(*group, core::DaemonStopping{});
}

std::uint64_t ControlDuty::revisionInForce(const std::string &document) const
{
    if (!document.starts_with(workspacePrefix))
        return 0;
    const auto found = m_inForce.find(without(document, workspacePrefix));
    return found == m_inForce.end() ? 0 : found->second;
}

void ControlDuty::answerRevision(const core::DaemonIdentity &from, const core::RevisionQuery &query)
{
    sendPeer(from.id, core::RevisionReply{query.document, query.token, revisionInForce(query.document)});
}

void ControlDuty::noteRevision(const core::DaemonIdentity &from, const core::RevisionReply &reply)
{
    const auto check = m_checks.find(reply.token);
    if (check == m_checks.end())
        return;
    auto &seen = check->second.seen[from.id];
    seen = std::max(seen, reply.revision);
    updateCheck(check->first, check->second);
}

void ControlDuty::askRevisions()
{
    const core::Time now = bootTime();
    std::erase_if(m_checks, [now](const auto &entry) { return now - entry.second.startedAt > checkLifetime; });
    for (auto &[token, check] : m_checks) {
        if (now - check.lastAsked < revisionAskPeriod)
            continue;
        check.lastAsked = now;
        check.seen[m_self.id] = revisionInForce(check.document);
        for (const core::Instance &daemon : core::liveDaemons(m_view)) {
            if (daemon.id != m_self.id && check.seen[daemon.id] < check.revision)
                sendPeer(daemon.id, core::RevisionQuery{check.document, token});
        }
        updateCheck(token, check);
    }
}

void ControlDuty::updateCheck(std::uint64_t, InForceCheck &check)
{
    Operation operation;
    operation.revision = check.revision;
    for (const core::Instance &daemon : core::liveDaemons(m_view)) {
        const auto seen = check.seen.find(daemon.id);
        const bool isInForce = seen != check.seen.end() && seen->second >= check.revision;
        (isInForce ? operation.inForce : operation.lagging).push_back(daemon.id);
    }
    operation.isFinished = operation.lagging.empty() && !operation.inForce.empty();
    m_operations.set(check.operation, std::move(operation));
}

} // namespace sardinehinge::daemon
