#pragma once

#include <sardinehinge/core/result.h>
#include <sardinehinge/core/types.h>
#include <sardinehinge/http/byteaccount.h>
#include <sardinehinge/http/message.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>

namespace sardinehinge::http {

/// Limits that keep a caller from exhausting the resources of the process.
struct ServerLimits
{
    std::uint32_t headerBytes = 16 * 1024; ///< Largest accepted request header.
    std::uint64_t bodyBytes = 1024ULL * 1024; ///< Largest accepted request body.
    /// With more, the longest idle or slowest unfinished one is closed; the new one if all have a request in work.
    std::size_t connections = 4000;
    /// For the head of a request, from its first byte. Also the period in which a body must progress.
    core::Duration readTimeout = core::Duration(std::chrono::seconds(10));
    double bodyBytesPerSecond = 128; ///< Least rate of a body in each such period; its whole time has no limit.
    core::Duration idleTimeout = core::Duration(std::chrono::seconds(60)); ///< Between two requests of a connection.
    /// In which a caller must read a part of its response, however small.
    core::Duration writeTimeout = core::Duration(std::chrono::seconds(10));
    std::size_t pipelinedRequests = 16; ///< Of one connection, read and not yet answered; further ones aren't read.
    /// Of one connection: requests and responses that wait for their turn. Beyond, no further request is read, and none
    /// is handled beside another.
    std::size_t pipelinedBytes = 256 * 1024UL;

    bool operator==(const ServerLimits &) const = default;
};

/// Sends the response to one request. After the caller has disconnected, all functions do nothing. Use it on the
/// server's io_context only. Only the first response counts.
class Responder
{
public:
    virtual ~Responder() = default;
    virtual void send(Response response) = 0;
    /// Closes the connection without a response, as a crashed process would.
    virtual void abort() = 0;
    /// Sends the header and the first `bytes` bytes of the body, then closes the connection.
    virtual void sendTruncated(Response response, std::size_t bytes) = 0;
};

/// Why a connection of a caller was closed other than after a response or by an idle caller.
enum class CloseReason {
    IdleTimeout,
    ReadTimeout,
    ReadFailed,
    WriteFailed,
    Drain,
    ConnectionLimit, ///< Just accepted, and no other could be closed for it.
    Displaced, ///< For a new connection, at the limit.
    NoRoom, ///< Its response found no room in the account of bytes.
    CallerLeft
};

/// A closed connection of a caller.
struct ConnectionEnd
{
    CloseReason reason{};
    std::string peer;
    core::Duration idleTime{}; ///< Since the last response, or since the connection was accepted.
    std::uint64_t requests = 0; ///< That were read on it.
    bool hasInput = false; ///< Bytes of the caller were left unread.

    bool operator==(const ConnectionEnd &) const = default;
};

/// Handles the requests of a server. Called on the server's io_context.
class RequestHandler
{
public:
    virtual ~RequestHandler() = default;
    /// Whether `request` may be handled while others of its connection are, if this holds for all of them. Any other
    /// request is handled alone, after the responses before it were written.
    virtual bool mayRunBeside(const Request &) const { return false; }
    /// Handles a completely received request. `exchange` identifies the request in callerDisconnected().
    virtual void handle(std::uint64_t exchange, Request request, std::shared_ptr<Responder> responder) = 0;
    /// Called when the caller closes its connection, or its sending side, before the response was sent.
    virtual void callerDisconnected(std::uint64_t exchange) = 0;
    /// Returns the response to a request that couldn't be read; `detail` gives the reason.
    virtual Response rejection(int status, const std::string &detail, const std::string &peer) = 0;
    /// Called when the server closes a connection for one of the reasons of CloseReason.
    virtual void connectionClosed(const ConnectionEnd &) { }
};

/// A strict HTTP/1.1 server over Boost.Beast.
///
/// Requests are read ahead, within the limits, and responses are sent in the order of the requests. Before a connection
/// closes, all requests that the handler has received are answered; those behind them count as not read. Conflicting,
/// repeated or negative lengths, unknown transfer codings, oversized headers or bodies and slow requests are rejected
/// with 400, 408, 413 or 431 and the connection is closed; they don't reach handle(). So are
/// requests that find no room in the account of bytes, with 503.
class Server
{
public:
    /// `account`, unless null, counts requests, until they are answered, and responses, until they are written. It must
    /// outlive the context's handlers.
    Server(boost::asio::io_context &context, RequestHandler &handler, ServerLimits limits = {},
           ByteAccount *account = nullptr);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// Starts to accept connections on `address` (IP address and port). Returns an error of step `listen` on failure.
    core::Result<core::Done> listen(const std::string &address);
    /// Sets the limits for requests that begin from now on.
    void setLimits(const ServerLimits &limits);
    /// Returns the port in use after listen().
    std::uint16_t port() const;
    /// From now on each response closes its connection, so that callers reconnect, possibly to another instance.
    void disableKeepAlive();
    /// Closes the listening socket and every idle connection. Connections on which a request has arrived, though it may
    /// not have been read yet, close after its response, or after those of all requests that the handler has received.
    /// Those that haven't brought a request yet, including the ones that wait to be accepted, get half a second for it.
    void drain();
    /// Number of open connections. Thread-safe.
    std::size_t connections() const noexcept;

    struct State; ///< Internal.

private:
    std::shared_ptr<State> m_state;
};

} // namespace sardinehinge::http
