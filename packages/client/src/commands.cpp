#include <sardinehinge/client/commands.h>

#include "output.h"

#include <QElapsedTimer>
#include <QFile>
#include <QJsonArray>

#include <algorithm>

namespace sardinehinge::client {

using internal::connect;
using internal::fail;
using internal::failWith;
using internal::printJson;

namespace {

constexpr int writeSeconds = 15;

/// Waits until `revision` of a workspace is in force on every daemon of the instance list.
int awaitInForce(Connection &connection, const Arguments &arguments, const QString &workspace, qint64 revision)
{
    QElapsedTimer elapsed;
    elapsed.start();
    const QString operation = newOperationId();
    const auto asked = connection.post(
        "/queries/check-in-force",
        {{"operation", operation}, {"document", "workspaces/" + workspace}, {"revision", QString::number(revision)}},
        {});
    if (const core::Error *error = core::errorIn(asked))
        return fail(*error);
    const auto result = connection.awaitOperation(operation, arguments.waitSeconds);
    if (const core::Error *error = core::errorIn(result))
        return fail(*error);
    const QJsonObject &state = std::get<Answer>(result).body;
    const auto inForce = state.value("inForce").toArray().size();
    if (state.value("finished").toBool()) {
        std::cout << "in force on " << inForce << " daemons, known after " << elapsed.elapsed() << " ms\n";
        return exitDone;
    }
    std::string lagging;
    for (const QJsonValue daemon : state.value("lagging").toArray())
        lagging += " " + daemon.toString().toStdString();
    return fail(exitLagging, "in force on " + std::to_string(inForce) + " daemons; not yet on" + lagging);
}

int reportFaults(const QJsonObject &body)
{
    for (const QJsonValue fault : body.value("faults").toArray())
        fail(exitUsage, fault.toString().toStdString());
    return failWith(exitUsage, body.value("error").toObject());
}

int applyDocument(Connection &connection, const Arguments &arguments, const QByteArray &document, std::uint64_t expect)
{
    const QString operation = newOperationId();
    const auto accepted = connection.post("/commands/apply-workspace",
                                          {{"operation", operation},
                                           {"expect", QString::number(expect)},
                                           {"author", QString::fromStdString(arguments.author)}},
                                          document);
    if (const core::Error *error = core::errorIn(accepted))
        return fail(exitUnknown,
                    "no answer from " + error->peer + ": the change may have taken effect; look before trying again");
    const Answer &answer = std::get<Answer>(accepted);
    if (answer.body.contains("faults"))
        return reportFaults(answer.body);
    if (answer.body.contains("error"))
        return failWith(exitFailed, answer.body.value("error").toObject());
    const auto result = connection.awaitOperation(operation, writeSeconds);
    const auto *state = std::get_if<Answer>(&result);
    if (state == nullptr || !state->body.value("finished").toBool())
        return fail(exitUnknown, "the change is not known to have taken effect; look before trying again");
    const QJsonObject error = state->body.value("error").toObject();
    const qint64 revision = state->body.value("revision").toInteger();
    const QString code = error.value("code").toString();
    if (code == "revision_conflict")
        return fail(exitConflict,
                    "refused: " + state->body.value("winner").toString().toStdString() + " came first with revision "
                        + std::to_string(revision));
    if (code == "store_unavailable")
        return failWith(exitUnknown, error);
    if (!error.isEmpty())
        return failWith(code == "bad_document" ? exitUsage : exitFailed, error);
    const QString workspace = QJsonDocument::fromJson(document).object().value("name").toString();
    if (arguments.json)
        printJson({{"workspace", workspace}, {"revision", revision}});
    else
        std::cout << "applied " << workspace.toStdString() << " revision " << revision << '\n';
    return arguments.wait ? awaitInForce(connection, arguments, workspace, revision) : exitDone;
}

/// Changes the document in force and applies the result, based on the revision that was read.
template<typename Change>
int changeWorkspace(const Arguments &arguments, const QString &workspace, Change change)
{
    const auto connection = connect(arguments);
    if (!connection)
        return exitUsage;
    const auto present = connection->get("/workspaces/" + workspace);
    if (const core::Error *error = core::errorIn(present))
        return fail(*error);
    const QJsonObject &body = std::get<Answer>(present).body;
    if (body.contains("error"))
        return failWith(exitFailed, body.value("error").toObject());
    QJsonObject document = body.value("document").toObject();
    change(document);
    const auto revision = static_cast<std::uint64_t>(body.value("revision").toInteger());
    return applyDocument(*connection, arguments, QJsonDocument(document).toJson(), arguments.expect.value_or(revision));
}

} // namespace

int applyWorkspace(const Arguments &arguments)
{
    QFile file(QString::fromStdString(arguments.words.at(2)));
    if (!file.open(QIODevice::ReadOnly))
        return fail(exitUsage, arguments.words.at(2) + ": " + file.errorString().toStdString());
    if (!arguments.expect)
        return fail(exitUsage,
                    "--expect=\"\": is required: the revision that the change is based on, 0 for a new workspace");
    const auto connection = connect(arguments);
    return connection ? applyDocument(*connection, arguments, file.readAll(), *arguments.expect) : exitUsage;
}

int shutDownWorkspace(const Arguments &arguments)
{
    const QString workspace = QString::fromStdString(arguments.words.at(2));
    return changeWorkspace(arguments, workspace, [](QJsonObject &document) { document.insert("state", "shutdown"); });
}

int drainTarget(const Arguments &arguments)
{
    if (arguments.workspace.empty())
        return fail(exitUsage, "--workspace=\"\": is required");
    const QString target = QString::fromStdString(arguments.words.at(2));
    return changeWorkspace(arguments, QString::fromStdString(arguments.workspace), [&target](QJsonObject &document) {
        QJsonArray drained = document.value("drainedTargets").toArray();
        if (!drained.contains(target))
            drained.append(target);
        document.insert("drainedTargets", drained);
    });
}

} // namespace sardinehinge::client
