#include <sardinehinge/client/queries.h>

#include "output.h"

#include <sardinehinge/client/timeline.h>
#include <sardinehinge/edges/documentcodec.h>

#include <QFile>
#include <QJsonArray>

#include <iomanip>

namespace sardinehinge::client {

using internal::connect;
using internal::fail;
using internal::failWith;
using internal::printJson;

namespace {

constexpr int historySeconds = 5;

/// Asks the first daemon and hands the answer to `print`, or prints it as JSON.
template<typename Print>
int query(const Arguments &arguments, const QString &path, Print print)
{
    const auto connection = connect(arguments);
    if (!connection)
        return exitUsage;
    const auto result = connection->get(path);
    if (const core::Error *error = core::errorIn(result))
        return fail(*error);
    const QJsonObject &body = std::get<Answer>(result).body;
    if (body.contains("error"))
        return failWith(exitFailed, body.value("error").toObject());
    if (arguments.json)
        printJson(body);
    else
        print(body);
    return exitDone;
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
            {"event", static_cast<qint64>(event.event)},
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
                  << event.daemon << " E" << event.event << ' ' << event.detail << '\n';
    }
}

} // namespace

int showStatus(const Arguments &arguments)
{
    return query(arguments, "/status", printStatus);
}

int showAssignment(const Arguments &arguments)
{
    return query(arguments, "/assignments/" + QString::fromStdString(arguments.words.at(2)),
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
        arguments, "/workspaces/" + QString::fromStdString(arguments.words.at(2)), [](const QJsonObject &body) {
            std::cout << "revision " << field(body, "revision") << ", in force " << field(body, "inForce") << '\n';
            printJson(body.value("document").toObject());
        });
}

int showHistory(const Arguments &arguments)
{
    const auto connection = connect(arguments);
    if (!connection)
        return exitUsage;
    const QString operation = newOperationId();
    const QString document = "workspaces/" + QString::fromStdString(arguments.words.at(2));
    const auto asked
        = connection->post("/queries/show-history", {{"operation", operation}, {"document", document}}, {});
    if (const core::Error *error = core::errorIn(asked))
        return fail(*error);
    const auto result = connection->awaitOperation(operation, historySeconds);
    if (const core::Error *error = core::errorIn(result))
        return fail(*error);
    const QJsonObject &body = std::get<Answer>(result).body;
    if (body.contains("error"))
        return failWith(exitFailed, body.value("error").toObject());
    if (arguments.json) {
        printJson({{"history", body.value("history")}});
        return exitDone;
    }
    for (const QJsonValue value : body.value("history").toArray()) {
        const QJsonObject entry = value.toObject();
        std::cout << "revision " << field(entry, "revision") << " by " << field(entry, "author") << '\n';
    }
    return exitDone;
}

int validateWorkspace(const Arguments &arguments)
{
    QFile file(QString::fromStdString(arguments.words.at(2)));
    if (!file.open(QIODevice::ReadOnly))
        return fail(exitUsage, arguments.words.at(2) + ": " + file.errorString().toStdString());
    const auto document = edges::decodeWorkspace(file.readAll().toStdString());
    if (const auto *faults = std::get_if<std::vector<std::string>>(&document)) {
        for (const std::string &fault : *faults)
            fail(exitUsage, fault);
        return exitUsage;
    }
    std::cout << "the document is right\n";
    return exitDone;
}

int showTimeline(const Arguments &arguments)
{
    if (!connect(arguments))
        return exitUsage;
    std::vector<std::vector<TimelineEvent>> daemons;
    std::size_t unreached = 0;
    for (const std::string &address : arguments.daemons) {
        Connection connection(address);
        const auto result = connection.get("/timeline");
        if (const core::Error *error = core::errorIn(result)) {
            // A daemon that is gone takes its events along; the others' are still worth seeing.
            fail(*error);
            ++unreached;
            continue;
        }
        daemons.push_back(readTimeline(std::get<Answer>(result).body));
    }
    const std::vector<TimelineEvent> events = mergeTimelines(daemons);
    printTimeline(events, arguments.json);
    if (!arguments.picture.empty()) {
        QFile file(QString::fromStdString(arguments.picture));
        if (!file.open(QIODevice::WriteOnly))
            return fail(exitUsage, arguments.picture + ": " + file.errorString().toStdString());
        file.write(QByteArray::fromStdString(drawTimeline(events)));
    }
    return unreached == arguments.daemons.size() ? exitFailed : exitDone;
}

} // namespace sardinehinge::client
