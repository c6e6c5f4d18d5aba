#include <sardinehinge/core/text.h>
#include <sardinehinge/edges/documentcodec.h>
#include <sardinehinge/edges/tolerantjson.h>
#include <sardinehinge/http/client.h>

#include "jsonreader.h"

#include <QJsonDocument>

namespace sardinehinge::edges {

using internal::decodeError;
using internal::JsonReader;
using internal::parseObject;
using internal::toText;

namespace {

const std::vector<std::string> divisions = {"none", "hash", "ranges"};
const std::vector<std::string> workClasses = {"short", "long"};
const std::vector<std::string> workspaceStates = {"active", "shutdown"};
const std::vector<std::string> instanceKinds = {"daemon", "target"};

QString text(const std::string &value)
{
    return QString::fromStdString(value);
}

/// Whole numbers up to 2^53 pass through JSON unchanged; ids and incarnations beyond that travel as strings.
QJsonValue whole(std::uint64_t value)
{
    return static_cast<qint64>(value);
}

core::Duration milliseconds(std::uint64_t count)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::min<std::uint64_t>(count, 1ULL << 40)));
}

std::uint64_t inMilliseconds(core::Duration duration)
{
    return static_cast<std::uint64_t>(duration / std::chrono::milliseconds(1));
}

QJsonArray stringArray(const std::vector<std::string> &values)
{
    QJsonArray array;
    for (const std::string &value : values)
        array.append(text(value));
    return array;
}

core::EndpointRule readEndpoint(const QJsonValue &value, const std::string &path, std::vector<std::string> &faults)
{
    JsonReader reader(value, path, faults);
    core::EndpointRule rule;
    rule.pathPrefix = reader.string("pathPrefix", {}, true);
    rule.idempotent = reader.boolean("idempotent", rule.idempotent);
    rule.workClass = static_cast<core::WorkClass>(reader.choice("workClass", workClasses, 0));
    rule.deadline = milliseconds(reader.number("deadlineMs", inMilliseconds(rule.deadline)));
    reader.refuseUnknown();
    return rule;
}

core::ServiceSpec readService(const QJsonValue &value, const std::string &path, std::vector<std::string> &faults)
{
    JsonReader reader(value, path, faults);
    core::ServiceSpec spec;
    spec.name = reader.string("name", {}, true);
    spec.division = static_cast<core::Division>(reader.choice("division", divisions, 0));
    spec.splits = reader.strings("splits");
    const std::uint64_t defaultShards = spec.division == core::Division::Ranges ? spec.splits.size() + 1 : 1;
    spec.shardCount
        = static_cast<std::uint32_t>(std::min<std::uint64_t>(reader.number("shardCount", defaultShards), 1 << 30));
    spec.targetsCheckFences = reader.boolean("targetsCheckFences", spec.targetsCheckFences);
    const auto bounded = [&reader](const char *name, std::uint32_t fallback) {
        return static_cast<std::uint32_t>(std::min<std::uint64_t>(reader.number(name, fallback), 1 << 30));
    };
    spec.slotsPerTarget = bounded("slotsPerTarget", spec.slotsPerTarget);
    spec.connectionsPerTarget = bounded("connectionsPerTarget", spec.connectionsPerTarget);
    spec.longSlotsPerTarget = bounded("longSlotsPerTarget", spec.longSlotsPerTarget);
    int index = 0;
    for (const QJsonValue endpoint : reader.array("endpoints"))
        spec.endpoints.push_back(
            readEndpoint(endpoint, reader.pathOf("endpoints") + "[" + std::to_string(index++) + "]", faults));
    reader.refuseUnknown();
    return spec;
}

QJsonObject writeService(const core::ServiceSpec &spec)
{
    QJsonArray endpoints;
    for (const core::EndpointRule &rule : spec.endpoints) {
        endpoints.append(QJsonObject{{"pathPrefix", text(rule.pathPrefix)},
                                     {"idempotent", rule.idempotent},
                                     {"workClass", text(workClasses[static_cast<std::size_t>(rule.workClass)])},
                                     {"deadlineMs", whole(inMilliseconds(rule.deadline))}});
    }
    return {{"name", text(spec.name)},
            {"division", text(divisions[static_cast<std::size_t>(spec.division)])},
            {"shardCount", whole(spec.shardCount)},
            {"splits", stringArray(spec.splits)},
            {"targetsCheckFences", spec.targetsCheckFences},
            {"slotsPerTarget", whole(spec.slotsPerTarget)},
            {"connectionsPerTarget", whole(spec.connectionsPerTarget)},
            {"longSlotsPerTarget", whole(spec.longSlotsPerTarget)},
            {"endpoints", endpoints}};
}

QJsonArray writeIdentities(const std::vector<core::DaemonIdentity> &identities)
{
    QJsonArray array;
    for (const core::DaemonIdentity &identity : identities)
        array.append(QJsonObject{{"id", text(identity.id)}, {"incarnation", whole(identity.incarnation)}});
    return array;
}

core::DaemonIdentity readIdentity(const QJsonValue &value, const std::string &path, std::vector<std::string> &faults)
{
    JsonReader reader(value, path, faults);
    return {reader.string("id", {}, true), reader.number("incarnation", 0, true)};
}

std::vector<core::DaemonIdentity> readIdentities(const QJsonArray &array, const std::string &path,
                                                 std::vector<std::string> &faults)
{
    std::vector<core::DaemonIdentity> identities;
    for (const QJsonValue value : array)
        identities.push_back(readIdentity(value, path, faults));
    return identities;
}

} // namespace

std::string encodeEnvelope(const StoredEnvelope &envelope)
{
    QJsonArray earlier;
    for (const auto &[attempt, revision] : envelope.earlier)
        earlier.append(QJsonObject{{"attempt", text(attempt)}, {"revision", whole(revision)}});
    const QJsonDocument body = QJsonDocument::fromJson(QByteArray::fromStdString(envelope.body));
    return toText({{"attempt", text(envelope.attempt)},
                   {"earlier", earlier},
                   {"author", text(envelope.author)},
                   {"body", body.object()}});
}

core::Result<StoredEnvelope> decodeEnvelope(const std::string &bytes)
{
    std::vector<std::string> faults;
    const QJsonValue root = parseObject(bytes, faults);
    JsonReader reader(root, {}, faults);
    StoredEnvelope envelope;
    envelope.attempt = reader.string("attempt", {}, true);
    envelope.author = reader.string("author");
    for (const QJsonValue value : reader.array("earlier")) {
        JsonReader entry(value, "earlier", faults);
        envelope.earlier.push_back({entry.string("attempt", {}, true), entry.number("revision", 0, true)});
    }
    envelope.body = toText(root.toObject().value("body").toObject());
    if (!faults.empty())
        return decodeError(faults);
    return envelope;
}

WorkspaceDocument decodeWorkspace(const std::string &json)
{
    std::vector<std::string> faults;
    const QJsonValue root = parseObject(json, faults);
    if (!faults.empty())
        return faults;
    JsonReader reader(root, {}, faults);
    core::WorkspaceSpec spec;
    spec.name = reader.string("name", {}, true);
    spec.state = static_cast<core::WorkspaceState>(reader.choice("state", workspaceStates, 0));
    spec.shutdownGrace = milliseconds(reader.number("shutdownGraceMs", inMilliseconds(spec.shutdownGrace)));
    spec.drainedTargets = reader.strings("drainedTargets");
    int index = 0;
    for (const QJsonValue service : reader.array("services", true))
        spec.services.push_back(readService(service, "services[" + std::to_string(index++) + "]", faults));
    reader.refuseUnknown();
    if (faults.empty())
        faults = core::validationErrors(spec);
    if (!faults.empty())
        return faults;
    return spec;
}

std::string encodeWorkspace(const core::WorkspaceSpec &spec)
{
    QJsonArray services;
    for (const core::ServiceSpec &service : spec.services)
        services.append(writeService(service));
    return toText({{"name", text(spec.name)},
                   {"state", text(workspaceStates[static_cast<std::size_t>(spec.state)])},
                   {"shutdownGraceMs", whole(inMilliseconds(spec.shutdownGrace))},
                   {"drainedTargets", stringArray(spec.drainedTargets)},
                   {"services", services}});
}

std::string encodeAssignment(const core::Assignment &assignment)
{
    QJsonArray shards;
    for (const core::ShardOwner &owner : assignment.shards)
        shards.append(QJsonObject{{"target", text(owner.target)},
                                  {"epoch", whole(owner.epoch)},
                                  {"previous", text(owner.previousTarget)},
                                  {"afterLoss", owner.isAfterLoss}});
    return toText({{"term", whole(assignment.term)}, {"shards", shards}});
}

core::Result<core::Assignment> decodeAssignment(const std::string &json)
{
    std::vector<std::string> faults;
    const QJsonValue root = parseObject(json, faults);
    JsonReader reader(root, {}, faults);
    core::Assignment assignment;
    assignment.term = reader.number("term", 0, true);
    for (const QJsonValue value : reader.array("shards", true)) {
        JsonReader shard(value, "shards", faults);
        assignment.shards.push_back({shard.string("target", {}, true), shard.number("epoch", 0, true),
                                     shard.string("previous"), shard.boolean("afterLoss", false)});
    }
    if (!faults.empty())
        return decodeError(faults);
    return assignment;
}

std::string encodeRecord(const core::ControlRecord &record)
{
    return toText({{"term", whole(record.term)},
                   {"holder", writeIdentities({record.holder}).first()},
                   {"witnesses", writeIdentities(record.witnesses)},
                   {"previousWitnesses", writeIdentities(record.previousWitnesses)},
                   {"listVersion", whole(record.listVersion)}});
}

core::Result<core::ControlRecord> decodeRecord(const std::string &json)
{
    std::vector<std::string> faults;
    const QJsonValue root = parseObject(json, faults);
    JsonReader reader(root, {}, faults);
    core::ControlRecord record;
    record.term = reader.number("term", 0, true);
    record.holder = readIdentity(root.toObject().value("holder"), "holder", faults);
    record.witnesses = readIdentities(reader.array("witnesses", true), "witnesses", faults);
    record.previousWitnesses = readIdentities(reader.array("previousWitnesses"), "previousWitnesses", faults);
    record.listVersion = reader.number("listVersion", 0, true);
    if (!faults.empty())
        return decodeError(faults);
    return record;
}

std::string encodeInstances(const core::InstanceView &view)
{
    QJsonArray instances;
    for (const core::Instance &instance : view.instances)
        instances.append(QJsonObject{{"id", text(instance.id)},
                                     {"kind", text(instanceKinds[static_cast<std::size_t>(instance.kind)])},
                                     {"address", text(instance.address)},
                                     {"failureDomain", text(instance.failureDomain)},
                                     {"service", text(instance.service)},
                                     {"leaving", instance.leaving}});
    return toText({{"version", whole(view.version)}, {"instances", instances}});
}

core::Result<core::InstanceView> decodeInstances(const std::string &json)
{
    const auto root = parseTolerantly(QByteArray::fromStdString(json), {});
    std::vector<std::string> faults;
    JsonReader reader(root ? QJsonValue(*root) : QJsonValue(), {}, faults);
    core::InstanceView view;
    view.version = reader.number("version", 0, true);
    for (const QJsonValue value : reader.array("instances", true)) {
        // An entry that can't be read names no instance; the others hold.
        std::vector<std::string> entryFaults;
        JsonReader entry(value, "instances", entryFaults);
        core::Instance instance;
        instance.id = entry.string("id", {}, true);
        instance.kind = static_cast<core::InstanceKind>(entry.choice("kind", instanceKinds, 0));
        instance.address = entry.string("address", {}, true);
        instance.failureDomain = entry.string("failureDomain");
        instance.service = entry.string("service");
        instance.leaving = entry.boolean("leaving", false);
        if (entryFaults.empty() && core::isInstanceId(instance.id) && http::isPeerAddress(instance.address))
            view.instances.push_back(std::move(instance));
    }
    if (!faults.empty())
        return decodeError(faults);
    return view;
}

std::string workspaceObject(const std::string &workspace)
{
    return "workspaces/" + workspace;
}

std::string recordObject(const core::ServiceId &service)
{
    return "control/" + toString(service);
}

std::string assignmentObject(const core::ServiceId &service)
{
    return "assignments/" + toString(service);
}

} // namespace sardinehinge::edges
