#include "errorresponse.h"

#include <QJsonDocument>
#include <QJsonObject>

namespace sardinehinge::daemon {

namespace {

int statusFor(core::ErrorCode code, FailureOutcome outcome) noexcept
{
    switch (code) {
    case core::ErrorCode::BadRequest:
    case core::ErrorCode::MissingKey:
        return 400;
    case core::ErrorCode::UnknownWorkspace:
    case core::ErrorCode::UnknownService:
    case core::ErrorCode::NotFound:
        return 404;
    case core::ErrorCode::DeadlineExceeded:
        return 504;
    default:
        return outcome == FailureOutcome::NotRun ? 503 : 502;
    }
}

} // namespace

http::Response errorResponse(const core::Error &error, FailureOutcome outcome, const std::string &requestId)
{
    const QJsonObject fields{{"code", core::errorCodeName(error.code)},
                             {"outcome", outcome == FailureOutcome::NotRun ? "not_run" : "unknown"},
                             {"step", QString::fromStdString(error.step)},
                             {"peer", QString::fromStdString(error.peer)},
                             {"detail", QString::fromStdString(error.detail)},
                             {"requestId", QString::fromStdString(requestId)}};
    const QByteArray body = QJsonDocument(QJsonObject{{"error", fields}}).toJson(QJsonDocument::Compact);
    http::Response response{statusFor(error.code, outcome), {{"Content-Type", "application/json"}}, body.toStdString()};
    response.headers.emplace_back("X-Request-Id", requestId);
    return response;
}

} // namespace sardinehinge::daemon
