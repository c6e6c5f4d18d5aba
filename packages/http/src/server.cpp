#include <sardinehinge/http/server.h>

#include "addresses.h"
#include "requestreading.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <optional>
#include <set>

namespace sardinehinge::http {

namespace beast = boost::beast;
namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

class Connection;

/// A drained server waits this long for the first request of a connection that it has just accepted.
constexpr std::chrono::milliseconds newConnectionGrace(500);
/// A process that runs late finds the read timeout expired and input waiting: the time in which it reads that.
constexpr std::chrono::milliseconds lateInputGrace(100);

} // namespace

struct Server::State : std::enable_shared_from_this<Server::State>
{
    State(asio::io_context &ioContext, RequestHandler &requestHandler, ServerLimits serverLimits)
        : context(ioContext)
        , acceptor(ioContext)
        , handler(requestHandler)
        , limits(serverLimits)
    {
    }

    void accept();
    void take(tcp::socket socket);
    void acceptPending();
    void forEachConnection(const std::function<void(Connection &)> &action);

    asio::io_context &context;
    tcp::acceptor acceptor;
    RequestHandler &handler;
    ServerLimits limits;
    std::set<Connection *> open;
    std::uint64_t nextExchange = 1;
    std::atomic<std::size_t> openCount = 0;
    bool isKeepAliveDisabled = false; ///< Each response closes its connection.
    bool isDraining = false;
    bool isStopped = false;
};

namespace {

using StatePointer = std::shared_ptr<Server::State>;

using Parser = beast::http::request_parser<beast::http::string_body>;
using Message = beast::http::response<beast::http::string_body>;

/// One connection of a caller: reads a request, waits for the response, writes it, then reads the next request.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(StatePointer state, tcp::socket socket)
        : m_state(std::move(state))
        , m_stream(std::move(socket))
        , m_timer(m_state->context)
    {
        ErrorCode ignored;
        m_stream.socket().set_option(tcp::no_delay(true), ignored);
        const auto endpoint = m_stream.socket().remote_endpoint(ignored);
        m_peer = ignored ? std::string("unknown") : internal::toString(endpoint);
        m_state->open.insert(this);
        m_state->openCount.store(m_state->open.size());
    }

    ~Connection()
    {
        m_state->open.erase(this);
        m_state->openCount.store(m_state->open.size());
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Waits for the first byte of the next request, at most for the idle timeout.
    void awaitRequest()
    {
        m_phase = Phase::Idle;
        m_idleSince = std::chrono::steady_clock::now();
        if (m_buffer.size() != 0)
            return readRequest();
        if (m_state->isDraining && m_requests != 0 && !hasInput())
            return close(CloseReason::Drain);
        limitIdleTime();
        m_stream.socket().async_wait(tcp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
            if (self->m_phase != Phase::Idle)
                return;
            if (error)
                return self->close();
            self->readRequest();
        });
    }

    /// Closes the connection unless a request has arrived on it or may be about to, on a new connection.
    void drain()
    {
        if (m_phase != Phase::Idle)
            return;
        if (m_requests == 0) {
            m_idleSince = std::chrono::steady_clock::now();
            limitIdleTime();
        } else if (!hasInput()) {
            close(CloseReason::Drain);
        }
    }

    void close(CloseReason reason)
    {
        if (m_phase != Phase::Closed)
            m_state->handler.connectionClosed(
                {reason, m_peer, std::chrono::steady_clock::now() - m_idleSince, m_requests, hasInput()});
        close();
    }

    void close()
    {
        m_phase = Phase::Closed;
        m_timer.cancel();
        ErrorCode ignored;
        m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
        m_stream.close();
    }

    void sendResponse(std::uint64_t exchange, Response response)
    {
        if (exchange != m_exchangeId || m_phase != Phase::Handling)
            return;
        write(std::move(response), m_keepAlive && !m_state->isKeepAliveDisabled);
    }

    void sendTruncatedResponse(std::uint64_t exchange, const Response &response, std::size_t bytes)
    {
        if (exchange != m_exchangeId || m_phase != Phase::Handling)
            return;
        m_phase = Phase::Writing;
        auto text
            = std::make_shared<std::string>("HTTP/1.1 " + std::to_string(response.status) + " OK\r\nContent-Length: "
                                            + std::to_string(response.body.size()) + "\r\n");
        for (const auto &[name, value] : response.headers)
            text->append(name).append(": ").append(value).append("\r\n");
        *text += "\r\n" + response.body.substr(0, bytes);
        asio::async_write(m_stream, asio::buffer(*text),
                          [self = shared_from_this(), text](ErrorCode, std::size_t) { self->close(); });
    }

    void abort(std::uint64_t exchange)
    {
        if (exchange == m_exchangeId && m_phase == Phase::Handling)
            close();
    }

private:
    /// Beyond the header: the start of a body or of the next request.
    static constexpr std::size_t readAheadBytes = 8 * 1024UL;
    static constexpr int statusTimeout = 408;
    static constexpr int statusInternalError = 500;

    enum class Phase { Idle, Reading, Handling, Writing, Closed };
    enum class Input { None, Bytes, Closed };

    /// What can be read from the socket now.
    Input input()
    {
        char byte = 0;
        ErrorCode error;
        m_stream.socket().non_blocking(true, error);
        m_stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        if (!error)
            return Input::Bytes;
        return error == asio::error::would_block ? Input::None : Input::Closed;
    }
    bool hasInput() { return m_buffer.size() != 0 || input() == Input::Bytes; }

    bool isNewInDrain() const { return m_state->isDraining && m_requests == 0; }

    core::Duration idleTimeout() const
    {
        return isNewInDrain() ? std::min<core::Duration>(newConnectionGrace, m_state->limits.idleTimeout)
                              : m_state->limits.idleTimeout;
    }

    /// Closes the connection when it has been idle for the timeout that applies then. A process that runs late finds
    /// the timer expired although a request has arrived in time, so that is checked first.
    void limitIdleTime()
    {
        m_timer.expires_at(m_idleSince + idleTimeout());
        m_timer.async_wait([self = shared_from_this()](ErrorCode error) {
            if (error || self->m_phase != Phase::Idle || self->hasInput())
                return;
            if (std::chrono::steady_clock::now() < self->m_idleSince + self->idleTimeout())
                return self->limitIdleTime();
            self->close(CloseReason::IdleTimeout);
        });
    }

    /// Rejects a request that isn't complete in time. As above, what has arrived by then is read first, in a grace
    /// period.
    void limitReadTime(core::Duration timeout, bool isGrace = false)
    {
        m_timer.expires_after(timeout);
        m_timer.async_wait([self = shared_from_this(), request = m_requests, isGrace](ErrorCode error) {
            if (error || self->m_phase != Phase::Reading || request != self->m_requests)
                return;
            if (!isGrace || self->input() == Input::Bytes)
                return self->limitReadTime(lateInputGrace, true);
            self->m_stream.cancel();
            self->reject(statusTimeout, "the request was not complete in time");
        });
    }

    void readRequest()
    {
        m_phase = Phase::Reading;
        m_parser.emplace();
        m_parser->header_limit(m_state->limits.headerBytes);
        m_parser->body_limit(m_state->limits.bodyBytes);
        m_buffer.max_size(std::max<std::size_t>(m_state->limits.headerBytes + readAheadBytes, m_buffer.size()));
        m_stream.expires_never();
        limitReadTime(m_state->limits.readTimeout);
        beast::http::async_read_header(
            m_stream, m_buffer, *m_parser,
            [self = shared_from_this()](ErrorCode error, std::size_t) { self->headerRead(error); });
    }

    void headerRead(ErrorCode error)
    {
        if (m_phase != Phase::Reading)
            return;
        if (error)
            return readFailed(error);
        if (const std::string fault = internal::framingError(m_parser->get()); !fault.empty())
            return reject(400, fault);
        // The parser would allocate the declared length at once.
        if (m_parser->content_length().value_or(0) > m_state->limits.bodyBytes)
            return readFailed(beast::http::error::body_limit);
        beast::http::async_read(
            m_stream, m_buffer, *m_parser,
            [self = shared_from_this()](ErrorCode bodyError, std::size_t) { self->requestRead(bodyError); });
    }

    void readFailed(ErrorCode error)
    {
        if (error == beast::http::error::end_of_stream || error == asio::error::operation_aborted)
            return close();
        if (error == beast::http::error::partial_message || error == asio::error::connection_reset)
            return close(CloseReason::ReadFailed);
        reject(internal::statusFor(error), error.message());
    }

    void requestRead(ErrorCode error)
    {
        if (m_phase != Phase::Reading)
            return;
        if (error)
            return readFailed(error);
        // The caller may have left while the request waited to be read.
        if (input() == Input::Closed)
            return close(CloseReason::CallerLeft);
        m_timer.cancel();
        ++m_requests;
        m_phase = Phase::Handling;
        m_exchangeId = m_state->nextExchange++;
        m_keepAlive = m_parser->get().keep_alive();
        m_stream.expires_never();
        auto responder = std::make_shared<ConnectionResponder>(weak_from_this(), m_exchangeId);
        watchForDisconnect(m_exchangeId);
        try {
            m_state->handler.handle(m_exchangeId, internal::toRequest(m_parser->release(), m_peer),
                                    std::move(responder));
        } catch (...) {
            // Nothing else would answer the request or forget it.
            if (m_phase == Phase::Handling)
                reject(statusInternalError, "the request could not be handled");
            m_state->handler.callerDisconnected(m_exchangeId);
            throw;
        }
    }

    void reject(int status, const std::string &detail)
    {
        m_phase = Phase::Handling;
        m_timer.cancel();
        write(m_state->handler.rejection(status, detail, m_peer), false);
    }

    /// Detects a caller that disconnects while its request is being handled. Detection stops when bytes of the next
    /// request arrive; they stay in the socket until the response is written.
    void watchForDisconnect(std::uint64_t exchange)
    {
        m_stream.socket().async_wait(tcp::socket::wait_read, [self = shared_from_this(), exchange](ErrorCode error) {
            if (error || exchange != self->m_exchangeId || self->m_phase != Phase::Handling)
                return;
            if (self->input() != Input::Closed)
                return;
            self->close();
            self->m_state->handler.callerDisconnected(exchange);
        });
    }

    void write(Response response, bool keepAlive)
    {
        m_phase = Phase::Writing;
        auto message = std::make_shared<Message>();
        message->result(static_cast<unsigned>(response.status));
        for (const auto &[name, value] : response.headers)
            message->insert(name, value);
        message->body() = std::move(response.body);
        message->keep_alive(keepAlive);
        message->prepare_payload();
        m_stream.expires_after(m_state->limits.writeTimeout);
        beast::http::async_write(m_stream, *message,
                                 [self = shared_from_this(), message, keepAlive](ErrorCode error, std::size_t) {
                                     if (error)
                                         return self->close(CloseReason::WriteFailed);
                                     if (!keepAlive)
                                         return self->close();
                                     self->awaitRequest();
                                 });
    }

    /// Holds a weak reference, so that a connection is freed when its caller disconnects.
    class ConnectionResponder : public Responder
    {
    public:
        ConnectionResponder(std::weak_ptr<Connection> connection, std::uint64_t exchange)
            : m_connection(std::move(connection))
            , m_exchangeId(exchange)
        {
        }

        void send(Response response) override
        {
            if (const auto connection = m_connection.lock())
                connection->sendResponse(m_exchangeId, std::move(response));
        }

        void abort() override
        {
            if (const auto connection = m_connection.lock())
                connection->abort(m_exchangeId);
        }

        void sendTruncated(Response response, std::size_t bytes) override
        {
            if (const auto connection = m_connection.lock())
                connection->sendTruncatedResponse(m_exchangeId, response, bytes);
        }

    private:
        std::weak_ptr<Connection> m_connection;
        std::uint64_t m_exchangeId;
    };

    StatePointer m_state;
    beast::tcp_stream m_stream;
    asio::steady_timer m_timer; ///< While idle or reading.
    beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    std::string m_peer;
    Phase m_phase = Phase::Idle;
    std::uint64_t m_exchangeId = 0;
    bool m_keepAlive = true;
    std::uint64_t m_requests = 0; ///< Read on this connection.
    std::chrono::steady_clock::time_point m_idleSince; ///< Start of the wait for the next request.
};

} // namespace

void Server::State::accept()
{
    acceptor.async_accept([self = shared_from_this()](ErrorCode error, tcp::socket socket) {
        if (self->isStopped)
            return;
        if (!error)
            self->take(std::move(socket)); // A drain may have begun since the connection was accepted.
        if (!self->isDraining && error != asio::error::operation_aborted)
            self->accept();
    });
}

/// Waits for the requests of a new connection, or closes it if there are too many.
void Server::State::take(tcp::socket socket)
{
    const auto connection = std::make_shared<Connection>(shared_from_this(), std::move(socket));
    if (open.size() <= limits.connections)
        connection->awaitRequest();
    else
        connection->close(CloseReason::ConnectionLimit);
}

/// Accepts the connections that callers have opened already: closing the listening socket would reset them.
void Server::State::acceptPending()
{
    ErrorCode error;
    acceptor.non_blocking(true, error);
    while (!error && open.size() < limits.connections) {
        tcp::socket socket(context);
        acceptor.accept(socket, error);
        if (!error)
            take(std::move(socket));
    }
}

void Server::State::forEachConnection(const std::function<void(Connection &)> &action)
{
    std::vector<std::shared_ptr<Connection>> all;
    for (Connection *connection : open)
        all.push_back(connection->shared_from_this());
    for (const auto &connection : all)
        action(*connection);
}

Server::Server(asio::io_context &context, RequestHandler &handler, ServerLimits limits)
    : m_state(std::make_shared<State>(context, handler, limits))
{
}

Server::~Server()
{
    m_state->isStopped = true;
    ErrorCode ignored;
    m_state->acceptor.close(ignored);
}

core::Result<core::Done> Server::listen(const std::string &address)
{
    const auto failed = [&address](const std::string &detail) {
        return core::Error{core::ErrorCode::BadSetting, "listen", address, detail};
    };
    const auto endpoint = internal::parseAddress(address);
    if (!endpoint)
        return failed("must be an IP address and a port");
    ErrorCode error;
    auto &acceptor = m_state->acceptor;
    acceptor.open(endpoint->protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(*endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return failed(error.message());
    m_state->accept();
    return core::Done{};
}

std::uint16_t Server::port() const
{
    ErrorCode ignored;
    return m_state->acceptor.local_endpoint(ignored).port();
}

void Server::setLimits(const ServerLimits &limits)
{
    m_state->limits = limits;
}

void Server::disableKeepAlive()
{
    m_state->isKeepAliveDisabled = true;
}

void Server::drain()
{
    disableKeepAlive();
    m_state->isDraining = true;
    m_state->acceptPending();
    ErrorCode ignored;
    m_state->acceptor.close(ignored);
    m_state->forEachConnection([](Connection &connection) { connection.drain(); });
}

std::size_t Server::connections() const noexcept
{
    return m_state->openCount.load();
}

} // namespace sardinehinge::http
