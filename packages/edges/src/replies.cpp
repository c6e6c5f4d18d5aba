#include "replies.h"

#include <sardinehinge/edges/httpadapters.h>

#include <algorithm>
#include <string_view>

namespace sardinehinge::edges::internal {

namespace {

/// Whether the text is a token (RFC 9110, section 5.6.2), as names of headers are.
bool isToken(const QByteArray &text)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.isEmpty() && std::all_of(text.begin(), text.end(), [marks](char c) {
        return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z')
            || marks.find(c) != std::string_view::npos;
    });
}

} // namespace

const char *faultIn(const QNetworkReply &reply, const QByteArray &body)
{
    const auto &headers = reply.rawHeaderPairs();
    if (!std::all_of(headers.begin(), headers.end(), [](const auto &header) { return isToken(header.first); }))
        return "the name of a header holds a blank or a control byte";
    const bool isChunked = reply.rawHeader("Transfer-Encoding").compare("chunked", Qt::CaseInsensitive) == 0;
    if (reply.hasRawHeader("Transfer-Encoding") ? !isChunked : !reply.hasRawHeader("Content-Length"))
        return "the answer has neither a length nor chunked coding";
    bool isNumber = true;
    const qlonglong length = isChunked ? 0 : reply.rawHeader("Content-Length").toLongLong(&isNumber);
    // Qt decodes a body with a content encoding, which changes its length.
    const bool isDecoded = reply.hasRawHeader("Content-Encoding");
    if (!isNumber || (!isChunked && !isDecoded && body.size() != length))
        return "the body hasn't the length that the answer names";
    return nullptr;
}

void whenFinished(QNetworkReply *reply, std::function<void(const PlatformReply &)> done)
{
    // The timeout of a transfer begins again with each byte, so only this ends an answer that goes on. Qt's thread
    // reads ahead of the signal, up to the size of its buffer.
    reply->setReadBufferSize(maxPlatformAnswerBytes + 1);
    QObject::connect(reply, &QNetworkReply::downloadProgress, reply, [reply](qint64 received, qint64) {
        if (received > maxPlatformAnswerBytes)
            reply->abort();
    });
    QObject::connect(reply, &QNetworkReply::finished, reply, [reply, done = std::move(done)] {
        const QVariant status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute);
        // An aborted reply is closed.
        const QByteArray body = reply->isOpen() ? reply->readAll() : QByteArray();
        PlatformReply finished{status.toInt(), body, reply->errorString()};
        // A status line can arrive before the connection is lost; only a finished body counts as an answer.
        const bool isHttpError = reply->error() >= QNetworkReply::ContentAccessDenied;
        if (reply->error() != QNetworkReply::NoError && !isHttpError) {
            finished.status = 0;
        } else if (const char *fault = faultIn(*reply, body)) {
            finished.status = 0;
            finished.fault = fault;
        }
        reply->deleteLater();
        done(finished);
    });
}

} // namespace sardinehinge::edges::internal
