#include "statusjson.h"

#include <sardinehinge/edges/documentcodec.h>

#include <QJsonArray>
#include <QJsonDocument>

namespace sardinehinge::daemon {

namespace {

QString text(const std::string &value)
{
    return QString::fromStdString(value);
}

qint64 whole(std::uint64_t value)
{
    return static_cast<qint64>(value);
}

QJsonArray textArray(const std::vector<std::string> &values)
{
    QJsonArray array;
    for (const std::string &value : values)
        array.append(text(value));
    return array;
}

QJsonObject groupJson(const GroupStatus &group)
{
    std::vector<std::string> witnesses;
    for (const core::DaemonIdentity &witness : group.record.witnesses)
        witnesses.push_back(witness.id);
    return {{"service", text(toString(group.service))},
            {"role", core::controlRoleName(group.role)},
            {"term", whole(group.term)},
            {"recordTerm", whole(group.record.term)},
            {"holder", text(group.record.holder.id)},
            {"witnesses", textArray(witnesses)},
            {"hasAuthority", group.hasAuthority},
            {"shards", whole(group.assignment.shards.size())},
            {"unheldShards", whole(group.unheldShards)},
            {"lostTargets", textArray(group.lostTargets)}};
}

} // namespace

QJsonObject statusJson(const Snapshot &snapshot)
{
    QJsonArray groups;
    for (const GroupStatus &group : snapshot.groups)
        groups.append(groupJson(group));
    QJsonArray workspaces;
    for (const auto &[name, workspace] : snapshot.workspaces) {
        workspaces.append(QJsonObject{{"name", text(name)},
                                      {"revision", whole(workspace.revision)},
                                      {"inForce", whole(workspace.inForce)},
                                      {"isShuttingDown", workspace.spec.state == core::WorkspaceState::Shutdown}});
    }
    QJsonArray instances;
    for (const core::Instance &instance : snapshot.instances) {
        instances.append(QJsonObject{{"id", text(instance.id)},
                                     {"kind", instance.kind == core::InstanceKind::Daemon ? "daemon" : "target"},
                                     {"address", text(instance.address)},
                                     {"failureDomain", text(instance.failureDomain)},
                                     {"leaving", instance.leaving}});
    }
    return {{"daemon", text(snapshot.self.id)},
            {"incarnation", QString::number(snapshot.self.incarnation)},
            {"listVersion", whole(snapshot.listVersion)},
            {"isWatchingStore", snapshot.isWatching},
            {"storeAgeMs", static_cast<qint64>(snapshot.storeAge / std::chrono::milliseconds(1))},
            {"workspaces", workspaces},
            {"groups", groups},
            {"instances", instances}};
}

QJsonObject assignmentJson(const GroupStatus &group)
{
    QJsonArray shards;
    for (std::size_t shard = 0; shard < group.assignment.shards.size(); ++shard) {
        const auto &[target, epoch, previous, isAfterLoss] = group.assignment.shards[shard];
        shards.append(QJsonObject{{"shard", whole(shard)},
                                  {"target", text(target)},
                                  {"epoch", whole(epoch)},
                                  {"previous", text(previous)},
                                  {"afterLoss", isAfterLoss}});
    }
    return {{"service", text(toString(group.service))}, {"term", whole(group.assignment.term)}, {"shards", shards}};
}

QJsonObject workspaceJson(const WorkspaceStatus &workspace)
{
    const std::string document = edges::encodeWorkspace(workspace.spec);
    return {{"revision", whole(workspace.revision)},
            {"inForce", whole(workspace.inForce)},
            {"document", QJsonDocument::fromJson(QByteArray::fromStdString(document)).object()}};
}

QJsonObject operationJson(const Operation &operation)
{
    QJsonArray history;
    for (const HistoryEntry &entry : operation.history)
        history.append(QJsonObject{
            {"revision", whole(entry.revision)}, {"author", text(entry.author)}, {"attempt", text(entry.attempt)}});
    QJsonObject object{{"finished", operation.isFinished},        {"revision", whole(operation.revision)},
                       {"winner", text(operation.winner)},        {"inForce", textArray(operation.inForce)},
                       {"lagging", textArray(operation.lagging)}, {"history", history}};
    if (operation.error)
        object.insert("error", errorJson(*operation.error));
    return object;
}

QJsonObject timelineJson(const std::string &daemonId, const std::vector<TimelineEntry> &entries)
{
    QJsonArray array;
    for (const TimelineEntry &entry : entries) {
        array.append(QJsonObject{{"wallMicroseconds", static_cast<qint64>(entry.time.wallMicroseconds)},
                                 {"count", static_cast<qint64>(entry.time.count)},
                                 {"event", static_cast<qint64>(entry.event)},
                                 {"detail", text(entry.detail)}});
    }
    return {{"daemon", text(daemonId)}, {"entries", array}};
}

QJsonObject errorJson(const core::Error &error)
{
    return {{"code", core::errorCodeName(error.code)},
            {"step", text(error.step)},
            {"peer", text(error.peer)},
            {"detail", text(error.detail)}};
}

} // namespace sardinehinge::daemon
