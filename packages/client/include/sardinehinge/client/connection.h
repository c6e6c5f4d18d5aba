#pragma once

#include <sardinehinge/core/result.h>

#include <QJsonObject>
#include <QNetworkAccessManager>
#include <QUrl>

#include <string>
#include <vector>

namespace sardinehinge::client {

/// A daemon's response to one HTTP request.
struct Response
{
    int status = 0; ///< HTTP status code.
    QJsonObject body; ///< Empty if the body is not a JSON object.
};

/// Blocking HTTP client of the operator interface of one daemon. Requires a QCoreApplication.
/// A request is aborted after 5 s without data from the daemon.
///
/// Qt may send a POST request twice if the connection closes before a response arrives. Each command therefore carries
/// an operation id, and the daemon accepts each id only once.
class Connection
{
public:
    /// `address` is IP:PORT.
    explicit Connection(const std::string &address);

    /// Sends a GET request. Returns an error of step `connect` if no whole response arrives, and of step `read` if its
    /// body isn't JSON.
    core::Result<Response> get(const QString &path);
    /// Sends a POST request with a JSON body. Returns errors as get() does.
    core::Result<Response> post(const QString &path, const std::vector<std::pair<QString, QString>> &query,
                                const QByteArray &body);
    /// Polls the operation until it is finished or `seconds` have passed. Returns the result of the last poll.
    core::Result<Response> awaitOperation(const QString &operation, int seconds);

    const std::string &address() const noexcept { return m_address; }

private:
    /// Blocks until `reply` is finished, then schedules its deletion.
    core::Result<Response> awaitReply(QNetworkReply *reply);

    std::string m_address;
    QUrl m_base;
    QNetworkAccessManager m_network;
};

/// Returns a new, globally unique operation id (UUID).
QString newOperationId();

} // namespace sardinehinge::client
