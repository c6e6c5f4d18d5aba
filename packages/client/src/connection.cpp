#include <sardinehinge/client/connection.h>

#include <QElapsedTimer>
#include <QEventLoop>
#include <QJsonDocument>
#include <QNetworkReply>
#include <QThread>
#include <QUrlQuery>
#include <QUuid>

namespace sardinehinge::client {

namespace {

constexpr int callTimeoutMs = 5000;
constexpr int pollIntervalMs = 20;

} // namespace

Connection::Connection(const std::string &address)
    : m_address(address)
    , m_base(QString::fromStdString("http://" + address))
{
}

core::Result<Response> Connection::get(const QString &path)
{
    QUrl url = m_base;
    url.setPath(path);
    QNetworkRequest request(url);
    request.setTransferTimeout(callTimeoutMs);
    return awaitReply(m_network.get(request));
}

core::Result<Response> Connection::post(const QString &path, const std::vector<std::pair<QString, QString>> &query,
                                        const QByteArray &body)
{
    QUrlQuery items;
    for (const auto &[name, value] : query)
        items.addQueryItem(name, QString::fromUtf8(QUrl::toPercentEncoding(value)));
    QUrl url = m_base;
    url.setPath(path);
    url.setQuery(items);
    QNetworkRequest request(url);
    request.setTransferTimeout(callTimeoutMs);
    request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    return awaitReply(m_network.post(request, body));
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

core::Result<Response> Connection::awaitReply(QNetworkReply *reply)
{
    QEventLoop loop;
    QObject::connect(reply, &QNetworkReply::finished, &loop, &QEventLoop::quit);
    loop.exec();
    reply->deleteLater();
    const int status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    // Errors of HTTP come with a status, all others leave it open whether the response is whole.
    const bool isCut = reply->error() != QNetworkReply::NoError && reply->error() < QNetworkReply::ContentAccessDenied;
    if (status == 0 || isCut)
        return core::Error{core::ErrorCode::TargetUnreachable, "connect", m_address,
                           reply->errorString().toStdString()};
    const QByteArray body = reply->readAll();
    const QJsonDocument document = QJsonDocument::fromJson(body);
    if (!body.isEmpty() && document.isNull())
        return core::Error{core::ErrorCode::AnswerTruncated, "read", m_address, "the response can't be read"};
    return Response{status, document.object()};
}

QString newOperationId()
{
    return QUuid::createUuid().toString(QUuid::WithoutBraces);
}

} // namespace sardinehinge::client
