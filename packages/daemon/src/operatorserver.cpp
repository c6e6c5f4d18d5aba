#include "operatorserver.h"

#include "statusjson.h"

#include <sardinehinge/edges/documentcodec.h>

#include <QHostAddress>
#include <QHttpServerResponse>
#include <QJsonArray>
#include <QJsonDocument>
#include <QUrl>
#include <QUrlQuery>

namespace sardinehinge::daemon {

namespace {

using Status = QHttpServerResponse::StatusCode;

constexpr qsizetype documentLimit = 1024LL * 1024;
constexpr qsizetype operationIdLimit = 128;

QHttpServerResponse failure(Status status, const core::Error &error)
{
    return QHttpServerResponse(QJsonObject{{"error", errorJson(error)}}, status);
}

QHttpServerResponse notFound(const QString &what)
{
    return failure(Status::NotFound,
                   {core::ErrorCode::NotFound, "look up", {}, what.toStdString() + " is not known here"});
}

std::string queryText(const QHttpServerRequest &request, const char *name)
{
    return request.query().queryItemValue(QString::fromUtf8(name), QUrl::FullyDecoded).toStdString();
}

bool isOperationId(const std::string &id)
{
    return !id.empty() && static_cast<qsizetype>(id.size()) <= operationIdLimit;
}

QHttpServerResponse needsOperation()
{
    return failure(Status::BadRequest,
                   {core::ErrorCode::BadRequest, "read", {}, "operation: must be 1 to 128 characters"});
}

} // namespace

OperatorServer::OperatorServer(ControlDuty &control, EventLog &events, Metrics &metrics,
                               std::function<bool(ToControl)> tellControl)
    : m_control(control)
    , m_events(events)
    , m_metrics(metrics)
    , m_tellControl(std::move(tellControl))
{
    addQueries();
    addCommands();
}

core::Result<core::Done> OperatorServer::listen(const std::string &address)
{
    const QUrl url(QString::fromStdString("http://" + address));
    const auto port = m_server.listen(QHostAddress(url.host()), static_cast<quint16>(url.port()));
    if (port == 0)
        return core::Error{core::ErrorCode::BadSetting, "listen", address, "the operators' port can't be opened"};
    return core::Done{};
}

void OperatorServer::addQueries()
{
    m_server.route("/status", QHttpServerRequest::Method::Get,
                   [this] { return QHttpServerResponse(statusJson(*m_control.snapshot())); });
    m_server.route("/timeline", QHttpServerRequest::Method::Get, [this] {
        return QHttpServerResponse(timelineJson(m_control.snapshot()->self.id, m_events.entries()));
    });
    m_server.route("/metrics", QHttpServerRequest::Method::Get, [this] {
        return QHttpServerResponse("text/plain; version=0.0.4", QByteArray::fromStdString(m_metrics.text()));
    });
    m_server.route("/workspaces/<arg>", QHttpServerRequest::Method::Get, [this](const QString &name) {
        const auto snapshot = m_control.snapshot();
        const auto found = snapshot->workspaces.find(name.toStdString());
        return found == snapshot->workspaces.end() ? notFound("workspace " + name)
                                                   : QHttpServerResponse(workspaceJson(found->second));
    });
    m_server.route("/assignments/<arg>/<arg>", QHttpServerRequest::Method::Get,
                   [this](const QString &workspace, const QString &service) {
                       const core::ServiceId id{workspace.toStdString(), service.toStdString()};
                       const auto snapshot = m_control.snapshot();
                       for (const GroupStatus &group : snapshot->groups) {
                           if (group.service == id)
                               return QHttpServerResponse(assignmentJson(group));
                       }
                       return notFound("assignment " + workspace + "/" + service);
                   });
    m_server.route("/operations/<arg>", QHttpServerRequest::Method::Get, [this](const QString &id) {
        const auto operation = m_control.operations().find(id.toStdString());
        return operation ? QHttpServerResponse(operationJson(*operation)) : notFound("operation " + id);
    });
}

void OperatorServer::addCommands()
{
    m_server.route("/commands/apply-workspace", QHttpServerRequest::Method::Post,
                   [this](const QHttpServerRequest &request) { return applyWorkspace(request); });
    m_server.route("/queries/check-in-force", QHttpServerRequest::Method::Post,
                   [this](const QHttpServerRequest &request) {
                       const std::string operation = queryText(request, "operation");
                       if (!isOperationId(operation))
                           return needsOperation();
                       const auto revision = QString::fromStdString(queryText(request, "revision")).toULongLong();
                       return accepted(m_tellControl(CheckInForce{operation, queryText(request, "document"), revision}),
                                       operation);
                   });
    m_server.route(
        "/queries/show-history", QHttpServerRequest::Method::Post, [this](const QHttpServerRequest &request) {
            const std::string operation = queryText(request, "operation");
            if (!isOperationId(operation))
                return needsOperation();
            return accepted(m_tellControl(ShowHistory{operation, queryText(request, "document")}), operation);
        });
}

QHttpServerResponse OperatorServer::applyWorkspace(const QHttpServerRequest &request)
{
    const std::string operation = queryText(request, "operation");
    if (!isOperationId(operation))
        return needsOperation();
    if (request.body().size() > documentLimit)
        return failure(Status::PayloadTooLarge, {core::ErrorCode::BadDocument, "read", {}, "larger than 1 MiB"});
    bool hasRevision = false;
    const auto expected = QString::fromStdString(queryText(request, "expect")).toULongLong(&hasRevision);
    if (!hasRevision)
        return failure(Status::BadRequest, {core::ErrorCode::BadRequest, "read", {}, "expect: must be a revision"});
    const auto document = edges::decodeWorkspace(request.body().toStdString());
    if (const auto *faults = std::get_if<std::vector<std::string>>(&document)) {
        QJsonArray lines;
        for (const std::string &fault : *faults)
            lines.append(QString::fromStdString(fault));
        const core::Error error{core::ErrorCode::BadDocument, "validate", {}, "the document was refused whole"};
        return QHttpServerResponse(QJsonObject{{"error", errorJson(error)}, {"faults", lines}},
                                   Status::UnprocessableEntity);
    }
    const ApplyWorkspace command{operation, std::get<core::WorkspaceSpec>(document), queryText(request, "author"),
                                 expected};
    return accepted(m_tellControl(command), operation);
}

QHttpServerResponse OperatorServer::accepted(bool wasTaken, const std::string &operation)
{
    if (!wasTaken)
        return failure(Status::ServiceUnavailable,
                       {core::ErrorCode::Overloaded, "accept", {}, "too many operations wait; nothing was started"});
    return QHttpServerResponse(QJsonObject{{"operation", QString::fromStdString(operation)}}, Status::Accepted);
}

} // namespace sardinehinge::daemon
