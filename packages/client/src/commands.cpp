#include <sardinehinge/client/commands.h>

#include "output.h"

#include <QElapsedTimer>
#include <QFile>
#include <QJsonArray>

#include <algorithm>

namespace sardinehinge::client {

using internal::connectToFirstDaemon;
using internal::printJson;
using internal::reportError;
using internal::reportErrorObject;

namespace {

constexpr int writeTimeoutSeconds = 15;

/// Waits until `revision` of a workspace is in force on every daemon in the instance list, for at most
/// `arguments.waitSeconds`.
int awaitInForce(Connection &connection, const Arguments &arguments, const QString &workspace, qint64 revision)
{
    QElapsedTimer elapsed;
    elapsed.start();
    const QString operation = newOperationId();
    const auto started = connection.post(
        "/queries/check-in-force",
        {{"operation", operation}, {"document", "workspaces/" + workspace}, {"revision", QString::number(revision)}},
        {});
    if (const core::Error *error = core::errorIn(started))
        return reportError(*error);
    const auto result = connection.awaitOperation(operation, arguments.waitSeconds);
    if (const core::Error *error = core::errorIn(result))
        return reportError(*error);
    const QJsonObject &state = std::get<Response>(result).body;
    const auto inForce = state.value("inForce").toArray().size();
    if (state.value("finished").toBool()) {
        std::cout << "in force on " << inForce << " daemons, known after " << elapsed.elapsed() << " ms\n";
        return exitSuccess;
    }
    std::string lagging;
    for (const QJsonValue daemon : state.value("lagging").toArray())
        lagging += " " + daemon.toString().toStdString();
    return reportError(exitLagging, "in force on " + std::to_string(inForce) + " daemons; not yet on" + lagging);
}

/// Prints the validation faults of a rejected document.
int reportFaults(const QJsonObject &body)
{
    for (const QJsonValue fault : body.value("faults").toArray())
        reportError(exitUsage, fault.toString().toStdString());
    return reportErrorObject(exitUsage, body.value("error").toObject());
}

int applyDocument(Connection &connection, const Arguments &arguments, const QByteArray &document,
                  std::uint64_t expectedRevision)
{
    const QString operation = newOperationId();
    const auto submitted = connection.post("/commands/apply-workspace",
                                           {{"operation", operation},
                                            {"expect", QString::number(expectedRevision)},
                                            {"author", QString::fromStdString(arguments.author)}},
                                           document);
    if (const core::Error *error = core::errorIn(submitted))
        return reportError(exitOutcomeUnknown,
                           "no answer from " + error->peer
                               + ": the change may have taken effect; look before trying again");
    const Response &response = std::get<Response>(submitted);
    if (response.body.contains("faults"))
        return reportFaults(response.body);
    if (response.body.contains("error"))
        return reportErrorObject(exitFailure, response.body.value("error").toObject());
    const auto result = connection.awaitOperation(operation, writeTimeoutSeconds);
    const auto *state = std::get_if<Response>(&result);
    if (state == nullptr || !state->body.value("finished").toBool())
        return reportError(exitOutcomeUnknown,
                           "the change is not known to have taken effect; look before trying again");
    const QJsonObject error = state->body.value("error").toObject();
    const qint64 revision = state->body.value("revision").toInteger();
    const QString code = error.value("code").toString();
    if (code == "revision_conflict")
        return reportError(exitConflict,
                           "refused: " + state->body.value("winner").toString().toStdString()
                               + " came first with revision " + std::to_string(revision));
    if (code == "store_unavailable")
        return reportErrorObject(exitOutcomeUnknown, error);
    if (!error.isEmpty())
        return reportErrorObject(code == "bad_document" ? exitUsage : exitFailure, error);
    const QString workspace = QJsonDocument::fromJson(document).object().value("name").toString();
    if (arguments.json)
        printJson({{"workspace", workspace}, {"revision", revision}});
    else
        std::cout << "applied " << workspace.toStdString() << " revision " << revision << '\n';
    return arguments.wait ? awaitInForce(connection, arguments, workspace, revision) : exitSuccess;
}

/// Reads the document in force, modifies it with `change` and applies the result. The change is based on the revision
/// that was read unless --expect is given.
template<typename Change>
int changeWorkspace(const Arguments &arguments, const QString &workspace, Change change)
{
    const auto connection = connectToFirstDaemon(arguments);
    if (!connection)
        return exitUsage;
    const auto current = connection->get("/workspaces/" + workspace);
    if (const core::Error *error = core::errorIn(current))
        return reportError(*error);
    const QJsonObject &body = std::get<Response>(current).body;
    if (body.contains("error"))
        return reportErrorObject(exitFailure, body.value("error").toObject());
    QJsonObject document = body.value("document").toObject();
    change(document);
    const auto revision = static_cast<std::uint64_t>(body.value("revision").toInteger());
    return applyDocument(*connection, arguments, QJsonDocument(document).toJson(),
                         arguments.expectedRevision.value_or(revision));
}

} // namespace

int applyWorkspace(const Arguments &arguments)
{
    QFile file(QString::fromStdString(arguments.positionals.at(2)));
    if (!file.open(QIODevice::ReadOnly))
        return reportError(exitUsage, arguments.positionals.at(2) + ": " + file.errorString().toStdString());
    if (!arguments.expectedRevision)
        return reportError(
            exitUsage, "--expect=\"\": is required: the revision that the change is based on, 0 for a new workspace");
    const auto connection = connectToFirstDaemon(arguments);
    return connection ? applyDocument(*connection, arguments, file.readAll(), *arguments.expectedRevision) : exitUsage;
}

int shutDownWorkspace(const Arguments &arguments)
{
    const QString workspace = QString::fromStdString(arguments.positionals.at(2));
    return changeWorkspace(arguments, workspace, [](QJsonObject &document) { document.insert("state", "shutdown"); });
}

int drainTarget(const Arguments &arguments)
{
    if (arguments.workspace.empty())
        return reportError(exitUsage, "--workspace=\"\": is required");
    const QString target = QString::fromStdString(arguments.positionals.at(2));
    return changeWorkspace(arguments, QString::fromStdString(arguments.workspace), [&target](QJsonObject &document) {
        QJsonArray drained = document.value("drainedTargets").toArray();
        if (!drained.contains(target))
            drained.append(target);
        document.insert("drainedTargets", drained);
    });
}

} // namespace sardinehinge::client
