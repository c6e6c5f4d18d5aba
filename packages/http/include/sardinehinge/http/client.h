#pragma once

#include <sardinehinge/core/types.h>
#include <sardinehinge/http/byteaccount.h>
#include <sardinehinge/http/message.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace sardinehinge::http {

/// How far an exchange got before it ended.
enum class ExchangeOutcome {
    NotSent, ///< Nothing was written: the peer can't have received the request.
    ConnectionRefused, ///< As NotSent: the peer's host refused the connection.
    NoOpenConnection, ///< As NotSent: see ExchangeOptions::opensConnections.
    NoResponse, ///< At least one byte of the request was written; no byte of its response was received.
    TruncatedResponse, ///< The response began but its end wasn't received, or it is no valid response.
    Complete, ///< The whole response was received.
};

/// How opening a connection ended.
enum class ConnectOutcome {
    Open,
    Refused, ///< The peer's host refused it: no process accepts connections there.
    Failed, ///< No answer in time, or another error.
};

/// The result of an exchange. `response` is only valid if `outcome` is Complete.
struct ExchangeResult
{
    ExchangeOutcome outcome = ExchangeOutcome::NotSent;
    Response response;
    std::string detail; ///< Error text for operators; empty if `outcome` is Complete.

    bool operator==(const ExchangeResult &) const = default;
};

/// Whether `text` is an IP address and a port from 1 to 65535, as Client takes it.
bool isPeerAddress(const std::string &text);

/// Limits of a client.
struct ClientLimits
{
    core::Duration connectTimeout = core::Duration(std::chrono::milliseconds(250));
    std::uint32_t headerBytes = 64 * 1024; ///< Largest accepted response header.
    std::uint64_t bodyBytes = 16ULL * 1024 * 1024; ///< Largest accepted response body.
    /// Of the unfinished responses of all exchanges, for a client without an account.
    std::uint64_t totalBodyBytes = 48ULL * 1024 * 1024;
    std::size_t idleConnections = 8; ///< Connections kept open per peer.

    bool operator==(const ClientLimits &) const = default;
};

/// Options of a single exchange.
struct ExchangeOptions
{
    core::Duration timeout = core::Duration(std::chrono::seconds(1)); ///< For the whole exchange.
    /// Name and value of a header that the peer repeats in its response. A response without the header or with another
    /// value belongs to an earlier request: the client discards it and reads the next one.
    std::optional<std::pair<std::string, std::string>> echoedHeader;
    /// A connection that has been idle for longer isn't reused, since the peer may be closing it at that moment.
    core::Duration maxIdleTime = core::Duration(std::chrono::seconds(60));
    /// Accepts a response that is delimited by an orderly close of the connection instead of a length.
    bool acceptsCloseDelimited = false;
    /// Whether an idle connection may be used. A request that repeats an earlier one, with the same echoed header,
    /// needs a new one: a late copy of the earlier response would pass for its own.
    bool reusesConnections = true;
    /// Whether a new connection may be opened. Otherwise the exchange ends as NoOpenConnection if no idle one is
    /// usable.
    bool opensConnections = true;
    /// Whether later exchanges may use the connection of this one.
    bool keepsConnection = true;
    /// Within this time, and within `timeout`, the request arrives at the peer's host or is withdrawn: bytes that the
    /// network has held up are not sent again afterwards, even if this process is stopped or killed meanwhile.
    std::optional<core::Duration> arrivalTimeout;

    bool operator==(const ExchangeOptions &) const = default;
};

/// HTTP/1.1 client with persistent connections. Not thread-safe: use it on its io_context only.
///
/// An exchange that ends without a complete response resets its connection, which withdraws the bytes that have not
/// arrived yet. Bytes that form no response end the exchange at the limits, or at its timeout, however slowly they
/// come.
///
/// A request is sent at most once, and the outcome tells whether the peer may have received it. By default a response
/// that is delimited only by the close of the connection counts as truncated, since the two can't be told apart.
class Client
{
public:
    using Callback = std::function<void(ExchangeResult)>;
    using ExchangeId = std::uint64_t;

    /// `account` counts the responses that arrive, and must outlive the context's handlers. Without one, the client has
    /// an account of its own, with the limit ClientLimits::totalBodyBytes. If it is short, the largest unfinished
    /// response ends as TruncatedResponse.
    explicit Client(boost::asio::io_context &context, ClientLimits limits = {}, ByteAccount *account = nullptr);
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// Sends `request` to `address` (IP address and port) and calls `done` exactly once, within `timeout`. The `Host`
    /// header is `address` unless the request has one. Returns an id for cancel().
    ExchangeId send(const std::string &address, const Request &request, core::Duration timeout, Callback done);
    /// As above, with all options. `body`, unless null, is sent in place of that of the request, and not copied.
    ExchangeId send(const std::string &address, const Request &request, const ExchangeOptions &options, Callback done,
                    std::shared_ptr<const std::string> body = nullptr);
    /// Opens a connection to `address` for later exchanges and calls `done` once.
    void connect(const std::string &address, std::function<void(ConnectOutcome)> done);
    /// Closes the connection of the exchange. Its callback is still called, with the outcome so far. Unknown ids are
    /// ignored.
    void cancel(ExchangeId id);
    /// As cancel(), unless sending the request has begun.
    void cancelUnsent(ExchangeId id);
    /// Number of open connections to all peers, including idle ones.
    std::size_t connections() const noexcept;

    struct State; ///< Internal.

private:
    std::shared_ptr<State> m_state;
};

} // namespace sardinehinge::http
