#pragma once

#include <sardinehinge/core/result.h>

#include <QJsonObject>
#include <QNetworkAccessManager>
#include <QUrl>

#include <string>
#include <vector>

namespace sardinehinge::client {

/// A daemon's response to one call.
struct Response
{
    int status = 0;
    QJsonObject body;
};

/// Calls to the operator interface of one daemon, one at a time. Needs a QCoreApplication.
///
/// Qt may send a POST twice when a connection ends without an response, so each command carries the id of its
/// operation, which the daemon takes only once.
class Connection
{
public:
    explicit Connection(const std::string &address);

    /// A query; an error of step `connect` when no response came.
    core::Result<Response> get(const QString &path);
    /// A command; an error of step `connect` when no response came.
    core::Result<Response> post(const QString &path, const std::vector<std::pair<QString, QString>> &query,
                                const QByteArray &body);
    /// Looks the operation up until it is finished or `seconds` have passed; returns its last state.
    core::Result<Response> awaitOperation(const QString &operation, int seconds);

    const std::string &address() const noexcept { return m_address; }

private:
    core::Result<Response> awaitReply(QNetworkReply *reply);

    std::string m_address;
    QUrl m_base;
    QNetworkAccessManager m_network;
};

/// An id for an operation that no other client uses.
QString newOperationId();

} // namespace sardinehinge::client
