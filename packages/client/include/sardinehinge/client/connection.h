#pragma once

#include <sardinehinge/core/result.h>
#include <sardinehinge/http/client.h>

#include <QJsonObject>

#include <boost/asio/io_context.hpp>

#include <string>
#include <vector>

namespace sardinehinge::client {

/// A daemon's response to one HTTP request.
struct Response
{
    int status = 0; ///< HTTP status code.
    QJsonObject body; ///< Empty if the body is not a JSON object.
};

/// Blocking HTTP client of the operator interface of one daemon. A request ends after 5 s, and a response whose head or
/// body is larger than http::ClientLimits allows counts as none. No request is sent twice.
class Connection
{
public:
    /// `address` is IP:PORT.
    explicit Connection(const std::string &address);

    /// Sends a GET request. The slashes of `path` stay as they are. Returns an error of step `connect` if no whole
    /// response arrives, and of step `read` if its body isn't JSON.
    core::Result<Response> get(const QString &path);
    /// Sends a POST request with a JSON body. Returns errors as get() does.
    core::Result<Response> post(const QString &path, const std::vector<std::pair<QString, QString>> &query,
                                const QByteArray &body);
    /// Polls the operation until it is finished or `seconds` have passed. Returns the result of the last poll.
    core::Result<Response> awaitOperation(const QString &operation, int seconds);

    const std::string &address() const noexcept { return m_address; }

private:
    core::Result<Response> exchange(const http::Request &request);

    std::string m_address;
    boost::asio::io_context m_context;
    http::Client m_client;
};

/// Returns a new, globally unique operation id (UUID).
QString newOperationId();

} // namespace sardinehinge::client
