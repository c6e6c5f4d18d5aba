#pragma once

#include <sardinehinge/core/result.h>
#include <sardinehinge/core/types.h>
#include <sardinehinge/http/message.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>

namespace sardinehinge::http {

/// Bounds that keep one caller from exhausting the process.
struct ServerLimits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 1024ULL * 1024;
    std::size_t connections = 4000; ///< More are closed at once.
    core::Duration readTimeout
        = core::Duration(std::chrono::seconds(10)); ///< For one whole request, from its first byte.
    core::Duration idleTimeout = core::Duration(std::chrono::seconds(60)); ///< Between two requests of a connection.
    core::Duration writeTimeout = core::Duration(std::chrono::seconds(10)); ///< For one whole answer.

    bool operator==(const ServerLimits &) const = default;
};

/// Answers one request. Safe to use after the caller has left: the answer is dropped then.
class Responder
{
public:
    virtual ~Responder() = default;
    /// Sends the answer; only the first call counts. Must be called on the server's io_context.
    virtual void send(Response response) = 0;
    /// Closes the connection without an answer, as a failing process would.
    virtual void abort() = 0;
    /// Sends only the first `bytes` of the answer's body and closes.
    virtual void sendTruncated(Response response, std::size_t bytes) = 0;
};

/// What a server does with requests. Called on the server's io_context, one request a connection at a time.
class RequestHandler
{
public:
    virtual ~RequestHandler() = default;
    /// Takes a whole request. `exchange` names it in callerDisconnected().
    virtual void handle(std::uint64_t exchange, Request request, std::shared_ptr<Responder> responder) = 0;
    /// The caller closed its connection, or its sending side, before the answer was sent.
    virtual void callerDisconnected(std::uint64_t exchange) = 0;
    /// The answer to a request that could not be read: `detail` says what was wrong.
    virtual Response rejection(int status, const std::string &detail, const std::string &peer) = 0;
};

/// A strict HTTP/1.1 server over Boost.Beast.
///
/// Answers leave a connection in the order of its requests, since the next request is read after the answer to the one
/// before. Conflicting, repeated or negative lengths, unknown transfer codings, oversized headers or bodies and slow
/// requests are answered with 400, 408, 413 or 431 and the connection is closed; the handler doesn't see them.
class Server
{
public:
    Server(boost::asio::io_context &context, RequestHandler &handler, ServerLimits limits = {});
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// Starts to accept on `address` (IP number and port); an error of step `listen` when that fails.
    core::Result<core::Done> listen(const std::string &address);
    /// Bounds for requests that begin from now on.
    void setLimits(const ServerLimits &limits);
    /// The port in use after listen().
    std::uint16_t port() const;
    /// From now on each answer closes its connection, so that callers go elsewhere of their own accord.
    void disableKeepAlive();
    /// Closes the listening socket and every connection that waits for its next request. Others close after the answer
    /// that they wait for.
    void drain();
    /// Open connections. Safe to call from every thread.
    std::size_t connections() const noexcept;

    struct State; ///< Internal.

private:
    std::shared_ptr<State> m_state;
};

} // namespace sardinehinge::http
