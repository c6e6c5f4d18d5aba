#pragma once

#include <sardinehinge/core/result.h>
#include <sardinehinge/core/types.h>

#include <QNetworkAccessManager>
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

/// Calls `done` once the reply is finished, and deletes the reply.
inline void whenFinished(QNetworkReply *reply, std::function<void(const PlatformReply &)> done)
{
    QObject::connect(reply, &QNetworkReply::finished, reply, [reply, done = std::move(done)] {
        const QVariant status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute);
        PlatformReply finished{status.toInt(), reply->readAll(), reply->errorString()};
        // A status line can arrive before the connection is lost; only a finished body counts as an answer.
        const bool isHttpError = reply->error() >= QNetworkReply::ContentAccessDenied;
        if (reply->error() != QNetworkReply::NoError && !isHttpError)
            finished.status = 0;
        reply->deleteLater();
        done(finished);
    });
}

inline core::Error platformError(const char *step, const QUrl &base, const PlatformReply &reply)
{
    const std::string detail = reply.status == 0 ? reply.fault.toStdString() : "status " + std::to_string(reply.status);
    return {core::ErrorCode::StoreUnavailable, step, base.authority().toStdString(), detail};
}

} // namespace sardinehinge::edges::internal
