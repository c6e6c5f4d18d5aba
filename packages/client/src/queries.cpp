#include <sardinehinge/client/queries.h>

#include "output.h"

#include <sardinehinge/client/timeline.h>
#include <sardinehinge/edges/documentcodec.h>

#include <QFile>
#include <QJsonArray>

#include <iomanip>

namespace sardinehinge::client {

using internal::connectToFirstDaemon;
using internal::printJson;
using internal::reportError;
using internal::reportErrorObject;

namespace {

constexpr int historyTimeoutSeconds = 5;

/// Queries the first daemon and passes the response body to `print`, or prints it as JSON with --json.
template<typename Print>
int query(const Arguments &arguments, const QString &path, Print print)
{
    const auto connection = connectToFirstDaemon(arguments);
    if (!connection)
        return exitUsage;
    const auto result = connection->get(path);
    if (const core::Error *error = core::errorIn(result))
        return reportError(*error);
    const QJsonObject &body = std::get<Response>(result).body;
    if (body.contains("error"))
        return reportErrorObject(exitFailure, body.value("error").toObject());
    if (arguments.json)
        printJson(body);
    else
        print(body);
    return exitSuccess;
}

std::string field(const QJsonObject &object, const char *name)
{
    return object.value(QString::fromUtf8(name)).toVariant().toString().toStdString();
}

void printStatus(const QJsonObject &status)
{
    std::cout << "daemon " << field(status, "daemon")
              << (status.value("isWatchingStore").toBool() ? ", watches the store" : "")
              << ", last word from the store " << field(status, "storeAgeMs") << " ms ago\n";
    for (const QJsonValue value : status.value("workspaces").toArray()) {
        const QJsonObject workspace = value.toObject();
        std::cout << "workspace " << field(workspace, "name") << " revision " << field(workspace, "revision")
                  << ", in force " << field(workspace, "inForce")
                  << (workspace.value("isShuttingDown").toBool() ? ", shutting down" : "") << '\n';
    }
    for (const QJsonValue value : status.value("groups").toArray()) {
        const QJsonObject group = value.toObject();
        std::cout << "service " << field(group, "service") << ": " << field(group, "role") << ", controlled by "
                  << field(group, "holder") << " in term " << field(group, "recordTerm") << ", "
                  << field(group, "shards") << " shards\n";
    }
}

std::vector<TimelineEvent> readTimeline(const QJsonObject &body)
{
    std::vector<TimelineEvent> events;
    const std::string daemon = field(body, "daemon");
    for (const QJsonValue value : body.value("entries").toArray()) {
        const QJsonObject entry = value.toObject();
        const core::HybridTime time{entry.value("wallMicroseconds").toInteger(),
                                    static_cast<std::uint32_t>(entry.value("count").toInteger())};
        events.push_back(
            {time, daemon, static_cast<std::uint32_t>(entry.value("event").toInteger()), field(entry, "detail")});
    }
    return events;
}

QJsonObject timelineEventJson(const TimelineEvent &event)
{
    return {{"wallMicroseconds", static_cast<qint64>(event.time.wallMicroseconds)},
            {"count", static_cast<qint64>(event.time.count)},
            {"daemon", QString::fromStdString(event.daemon)},
            {"event", static_cast<qint64>(event.number)},
            {"detail", QString::fromStdString(event.detail)}};
}

void printTimeline(const std::vector<TimelineEvent> &events, bool asJson)
{
    if (asJson) {
        QJsonArray array;
        for (const TimelineEvent &event : events)
            array.append(timelineEventJson(event));
        return printJson({{"events", array}});
    }
    constexpr std::int64_t microsecondsPerSecond = 1'000'000;
    for (const TimelineEvent &event : events) {
        std::cout << event.time.wallMicroseconds / microsecondsPerSecond << '.' << std::setw(6) << std::setfill('0')
                  << event.time.wallMicroseconds % microsecondsPerSecond << '+' << event.time.count << ' '
                  << event.daemon << " E" << event.number << ' ' << event.detail << '\n';
    }
}

} // namespace

int showStatus(const Arguments &arguments)
{
    return query(arguments, "/status", printStatus);
}

int showAssignment(const Arguments &arguments)
{
    return query(arguments, "/assignments/" + QString::fromStdString(arguments.positionals.at(2)),
                 [](const QJsonObject &body) {
                     for (const QJsonValue value : body.value("shards").toArray()) {
                         const QJsonObject shard = value.toObject();
                         std::cout << "shard " << field(shard, "shard") << " epoch " << field(shard, "epoch") << ' '
                                   << field(shard, "target") << '\n';
                     }
                 });
}

int showWorkspace(const Arguments &arguments)
{
    return query(
        arguments, "/workspaces/" + QString::fromStdString(arguments.positionals.at(2)), [](const QJsonObject &body) {
            std::cout << "revision " << field(body, "revision") << ", in force " << field(body, "inForce") << '\n';
            printJson(body.value("document").toObject());
        });
}

int showHistory(const Arguments &arguments)
{
    const auto connection = connectToFirstDaemon(arguments);
    if (!connection)
        return exitUsage;
    const QString operation = newOperationId();
    const QString document = "workspaces/" + QString::fromStdString(arguments.positionals.at(2));
    const auto started
        = connection->post("/queries/show-history", {{"operation", operation}, {"document", document}}, {});
    if (const core::Error *error = core::errorIn(started))
        return reportError(*error);
    const auto result = connection->awaitOperation(operation, historyTimeoutSeconds);
    if (const core::Error *error = core::errorIn(result))
        return reportError(*error);
    const QJsonObject &body = std::get<Response>(result).body;
    if (body.contains("error"))
        return reportErrorObject(exitFailure, body.value("error").toObject());
    if (arguments.json) {
        printJson({{"history", body.value("history")}});
        return exitSuccess;
    }
    for (const QJsonValue value : body.value("history").toArray()) {
        const QJsonObject entry = value.toObject();
        std::cout << "revision " << field(entry, "revision") << " by " << field(entry, "author") << '\n';
    }
    return exitSuccess;
}

int validateWorkspace(const Arguments &arguments)
{
    QFile file(QString::fromStdString(arguments.positionals.at(2)));
    if (!file.open(QIODevice::ReadOnly))
        return reportError(exitUsage, arguments.positionals.at(2) + ": " + file.errorString().toStdString());
    const auto document = edges::decodeWorkspace(file.readAll().toStdString());
    if (const auto *faults = std::get_if<std::vector<std::string>>(&document)) {
        for (const std::string &fault : *faults)
            reportError(exitUsage, fault);
        return exitUsage;
    }
    std::cout << "the document is right\n";
    return exitSuccess;
}

int showTimeline(const Arguments &arguments)
{
    if (!connectToFirstDaemon(arguments))
        return exitUsage;
    std::vector<std::vector<TimelineEvent>> timelines;
    std::size_t unreachableCount = 0;
    for (const std::string &address : arguments.daemons) {
        Connection connection(address);
        const auto result = connection.get("/timeline");
        if (const core::Error *error = core::errorIn(result)) {
            // The events of an unreachable daemon are missing; print those of the others.
            reportError(*error);
            ++unreachableCount;
            continue;
        }
        timelines.push_back(readTimeline(std::get<Response>(result).body));
    }
    const std::vector<TimelineEvent> events = mergeTimelines(timelines);
    printTimeline(events, arguments.json);
    if (!arguments.picturePath.empty()) {
        QFile file(QString::fromStdString(arguments.picturePath));
        if (!file.open(QIODevice::WriteOnly))
            return reportError(exitUsage, arguments.picturePath + ": " + file.errorString().toStdString());
        file.write(QByteArray::fromStdString(drawTimeline(events)));
    }
    return unreachableCount == arguments.daemons.size() ? exitFailure : exitSuccess;
}

} // namespace sardinehinge::client
