#pragma once

#include <sardinehinge/core/result.h>
#include <sardinehinge/core/types.h>

#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>

#include <functional>

namespace sardinehinge::edges::internal {

/// A finished answer of the platform.
struct PlatformReply
{
    int status = 0; ///< 0: no answer came.
    QByteArray body;
    QString fault;
};

inline QNetworkRequest platformRequest(const QUrl &url, core::Duration timeout)
{
    QNetworkRequest request(url);
    request.setTransferTimeout(static_cast<int>(timeout / std::chrono::milliseconds(1)));
    request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    return request;
}

/// Returns why a reply that Qt accepts is broken all the same, or nullptr if it is whole. Qt accepts any name of a
/// header, and takes a reply without a length, or an error with a part of its body, for whole when its connection
/// closes.
const char *faultIn(const QNetworkReply &reply, const QByteArray &body);

/// Calls `done` once the reply is finished, and deletes the reply.
void whenFinished(QNetworkReply *reply, std::function<void(const PlatformReply &)> done);

inline core::Error platformError(const char *step, const QUrl &base, const PlatformReply &reply)
{
    const std::string detail = reply.status == 0 ? reply.fault.toStdString() : "status " + std::to_string(reply.status);
    return {core::ErrorCode::StoreUnavailable, step, base.authority().toStdString(), detail};
}

} // namespace sardinehinge::edges::internal
