#include <sardinehinge/client/connection.h>

#include <QElapsedTimer>
#include <QJsonDocument>
#include <QStringList>
#include <QThread>
#include <QUuid>

#include <optional>

namespace sardinehinge::client {

namespace {

constexpr std::chrono::milliseconds callTimeout(5000);
constexpr int pollIntervalMs = 20;

std::string encodedPath(const QString &path)
{
    std::string encoded;
    for (const QString &segment : path.split('/'))
        encoded += "/" + http::encodePercent(segment.toStdString());
    return encoded.substr(1); // The path begins with a slash, so that its first segment is empty.
}

} // namespace

Connection::Connection(const std::string &address)
    : m_address(address)
    , m_client(m_context)
{
}

core::Result<Response> Connection::get(const QString &path)
{
    return exchange({"GET", encodedPath(path), {}, {}, {}});
}

core::Result<Response> Connection::post(const QString &path, const std::vector<std::pair<QString, QString>> &query,
                                        const QByteArray &body)
{
    std::string target = encodedPath(path);
    char separator = '?';
    for (const auto &[name, value] : query) {
        target += separator + http::encodePercent(name.toStdString()) + "=" + http::encodePercent(value.toStdString());
        separator = '&';
    }
    return exchange({"POST", target, {{"Content-Type", "application/json"}}, body.toStdString(), {}});
}

core::Result<Response> Connection::awaitOperation(const QString &operation, int seconds)
{
    QElapsedTimer elapsed;
    elapsed.start();
    while (true) {
        auto result = get("/operations/" + operation);
        const auto *response = std::get_if<Response>(&result);
        const bool isFinished = response != nullptr && response->body.value("finished").toBool();
        if (isFinished || elapsed.elapsed() > seconds * 1000LL)
            return result;
        QThread::msleep(pollIntervalMs);
    }
}

core::Result<Response> Connection::exchange(const http::Request &request)
{
    std::optional<http::ExchangeResult> end;
    http::ExchangeOptions options;
    options.timeout = callTimeout;
    // The daemon may close an idle connection just as a command is sent on it.
    options.reusesConnections = request.method == "GET";
    m_client.send(m_address, request, options, [&end](http::ExchangeResult got) { end = std::move(got); });
    m_context.restart();
    while (!end && m_context.run_one() != 0) {
    }
    if (!end || end->outcome != http::ExchangeOutcome::Complete)
        return core::Error{core::ErrorCode::TargetUnreachable, "connect", m_address,
                           end ? end->detail : "the request ended without a result"};
    const std::string &body = end->response.body;
    const QJsonDocument document = QJsonDocument::fromJson(QByteArray::fromStdString(body));
    if (!body.empty() && document.isNull())
        return core::Error{core::ErrorCode::AnswerTruncated, "read", m_address, "the response can't be read"};
    return Response{end->response.status, document.object()};
}

QString newOperationId()
{
    return QUuid::createUuid().toString(QUuid::WithoutBraces);
}

} // namespace sardinehinge::client
