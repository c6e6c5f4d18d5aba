#include <sardinehinge/http/server.h>

#include "addresses.h"
#include "bodies.h"
#include "requestreading.h"

#include <sardinehinge/core/admission/progress.h>
#include <sardinehinge/core/admission/waitingconnection.h>

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
/// Bodies up to this size aren't counted: the account leaves memory for them.
constexpr std::size_t uncountedBytes = 4096;
/// Without a free descriptor, the next attempt to accept waits this long.
constexpr std::chrono::milliseconds acceptPause(10);

} // namespace

struct Server::State : std::enable_shared_from_this<Server::State>
{
    State(asio::io_context &ioContext, RequestHandler &requestHandler, ServerLimits serverLimits,
          ByteAccount *resourceAccount)
        : context(ioContext)
        , acceptor(ioContext)
        , acceptTimer(ioContext)
        , handler(requestHandler)
        , limits(serverLimits)
        , account(resourceAccount)
    {
    }

    void accept();
    void take(tcp::socket socket);
    void acceptPending();
    /// Closes a connection for a new one. Returns false if none can be closed.
    bool displace();
    void forEachConnection(const std::function<void(Connection &)> &action);

    asio::io_context &context;
    tcp::acceptor acceptor;
    asio::steady_timer acceptTimer;
    RequestHandler &handler;
    ServerLimits limits;
    ByteAccount *account; ///< May be null.
    std::set<Connection *> open;
    std::uint64_t nextExchange = 1;
    std::atomic<std::size_t> openCount = 0;
    bool isKeepAliveDisabled = false; ///< Each response closes its connection.
    bool isDraining = false;
    bool isStopped = false;
};

namespace {

using StatePointer = std::shared_ptr<Server::State>;

using Parser = beast::http::request_parser<internal::ArrivingBody>;
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
        m_state->open.erase(this);
        m_state->openCount.store(m_state->open.size());
        m_share.reset();
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

    /// Whether a request has arrived of which nothing has been read.
    bool hasUnreadRequest() { return m_phase == Phase::Idle && hasInput(); }

    /// How long and how slowly it waits for a request, unless one is in work or its response is being written.
    std::optional<core::WaitingConnection> waiting()
    {
        const auto now = std::chrono::steady_clock::now();
        if (m_phase == Phase::Idle && m_buffer.size() == 0)
            return core::WaitingConnection{0, true, now - m_idleSince, 0};
        if (m_phase == Phase::Reading)
            return core::WaitingConnection{0, false, now - m_requestSince,
                                           m_progress.bytesPerSecond(now.time_since_epoch())};
        return std::nullopt;
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
    static constexpr int statusUnavailable = 503;
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
            if (self->hasProgressed())
                return self->limitBodyTime();
            self->m_stream.cancel();
            self->reject(statusTimeout,
                         self->m_isHeadRead ? "the body arrives too slowly" : "the request was not complete in time");
        });
    }

    /// Starts the next period in which the body must progress.
    void limitBodyTime()
    {
        m_periodBegin = m_arrived;
        limitReadTime(m_state->limits.readTimeout);
    }

    bool hasProgressed() const
    {
        const core::ProgressRule rule{m_state->limits.readTimeout, m_state->limits.bodyBytesPerSecond};
        return m_isHeadRead && rule.isEnough(m_arrived - m_periodBegin);
    }

    void readRequest()
    {
        m_phase = Phase::Reading;
        m_isHeadRead = false;
        m_arrived = 0;
        m_requestSince = std::chrono::steady_clock::now();
        m_progress = core::ProgressMeter(m_requestSince.time_since_epoch());
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
        if (m_parser->content_length().value_or(0) > m_state->limits.bodyBytes)
            return readFailed(beast::http::error::body_limit);
        m_isHeadRead = true;
        m_parser->eager(true);
        if (m_parser->is_done())
            return requestRead();
        limitBodyTime();
        readBody();
    }

    void readBody()
    {
        beast::http::async_read_some(
            m_stream, m_buffer, *m_parser,
            [self = shared_from_this()](ErrorCode error, std::size_t bytes) { self->bodyRead(error, bytes); });
    }

    void bodyRead(ErrorCode error, std::size_t bytes)
    {
        if (m_phase != Phase::Reading) {
            m_parser.reset(); // Refused meanwhile.
            return;
        }
        if (error)
            return readFailed(error);
        m_arrived += bytes;
        m_progress.note(bytes, std::chrono::steady_clock::now().time_since_epoch());
        if (m_share)
            m_share->noteProgress(bytes);
        if (m_parser->is_done())
            return requestRead();
        if (!hasRoom())
            return refuseForRoom();
        readBody();
    }

    /// Asks the account for room for what has arrived of the body.
    bool hasRoom()
    {
        const std::uint64_t arrived = m_parser->get().body().size();
        if (m_state->account == nullptr || arrived <= uncountedBytes)
            return true;
        if (!m_share)
            openShare(core::HeldUse::ArrivingRequest);
        const auto missing = m_parser->content_length_remaining();
        const std::uint64_t limit = m_state->limits.bodyBytes;
        return m_share->resize(arrived, missing ? *missing : limit - std::min(limit, arrived));
    }

    void openShare(core::HeldUse use)
    {
        m_share = m_state->account->open(use, m_peer, [weak = weak_from_this(), request = m_requests] {
            // Later: whoever needs the room is in the middle of its work.
            if (const auto self = weak.lock())
                asio::post(self->m_state->context, [self, request] { self->shareTakenBack(request); });
        });
    }

    void shareTakenBack(std::uint64_t request)
    {
        if (request != m_requests)
            return;
        if (m_phase == Phase::Reading)
            refuseForRoom();
        else if (m_phase == Phase::Writing)
            close(CloseReason::NoRoom);
    }

    void refuseForRoom()
    {
        m_stream.cancel();
        reject(statusUnavailable, "no room for the request");
    }

    void readFailed(ErrorCode error)
    {
        if (error == beast::http::error::end_of_stream || error == asio::error::operation_aborted)
            return close();
        if (error == beast::http::error::partial_message || error == asio::error::connection_reset)
            return close(CloseReason::ReadFailed);
        reject(internal::statusFor(error), error.message());
    }

    void requestRead()
    {
        if (!hasRoom())
            return refuseForRoom();
        // The caller may have left while the request waited to be read.
        if (input() == Input::Closed)
            return close(CloseReason::CallerLeft);
        m_timer.cancel();
        if (m_share)
            m_share->setUse(core::HeldUse::RequestInWork);
        ++m_requests;
        m_phase = Phase::Handling;
        m_exchangeId = m_state->nextExchange++;
        m_keepAlive = m_parser->get().keep_alive();
        m_stream.expires_never();
        auto responder = std::make_shared<ConnectionResponder>(weak_from_this(), m_exchangeId);
        watchForDisconnect(m_exchangeId);
        try {
            Request request = internal::toRequest(m_parser->release(), m_peer);
            request.share = std::move(m_share);
            m_state->handler.handle(m_exchangeId, std::move(request), std::move(responder));
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
        m_share.reset();
        if (m_state->account != nullptr && response.body.size() > uncountedBytes) {
            openShare(core::HeldUse::WaitingResponse);
            m_share->hold(response.body.size());
        }
        auto message = std::make_shared<Message>();
        message->result(static_cast<unsigned>(response.status));
        for (const auto &[name, value] : response.headers)
            message->insert(name, value);
        message->body() = std::move(response.body);
        message->keep_alive(keepAlive);
        message->prepare_payload();
        m_stream.expires_after(m_state->limits.writeTimeout);
        writeSome(std::make_shared<OutgoingResponse>(std::move(message)), keepAlive);
    }

    /// A response with what is left of it.
    struct OutgoingResponse
    {
        explicit OutgoingResponse(std::shared_ptr<Message> whole)
            : message(std::move(whole))
            , serializer(*message)
        {
        }

        std::shared_ptr<Message> message;
        beast::http::response_serializer<beast::http::string_body> serializer;
    };

    /// In steps, so that the account knows whether the caller reads.
    void writeSome(std::shared_ptr<OutgoingResponse> response, bool keepAlive)
    {
        auto &serializer = response->serializer;
        beast::http::async_write_some(
            m_stream, serializer,
            [self = shared_from_this(), response = std::move(response), keepAlive](ErrorCode error, std::size_t bytes) {
                if (self->m_phase != Phase::Writing)
                    return;
                if (error)
                    return self->close(CloseReason::WriteFailed);
                if (self->m_share)
                    self->m_share->noteProgress(bytes);
                if (!response->serializer.is_done())
                    return self->writeSome(response, keepAlive);
                self->m_share.reset();
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
    std::unique_ptr<ByteShare> m_share; ///< Of a request that arrives, or of a response that is written.
    bool m_isHeadRead = false; ///< Of the current request, as the following.
    std::uint64_t m_arrived = 0; ///< Bytes of the body, with its framing.
    std::uint64_t m_periodBegin = 0; ///< Of these, at the begin of the period in which it must progress.
    core::ProgressMeter m_progress;
    std::chrono::steady_clock::time_point m_requestSince;
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
        if (self->isDraining || error == asio::error::operation_aborted)
            return;
        if (!error)
            return self->accept();
        // Most likely no descriptor is free.
        self->displace();
        self->acceptTimer.expires_after(acceptPause);
        self->acceptTimer.async_wait([self](ErrorCode waitError) {
            if (!waitError && !self->isStopped && !self->isDraining)
                self->accept();
        });
    });
}

bool Server::State::displace()
{
    std::vector<core::WaitingConnection> waiting;
    std::vector<Connection *> connections;
    for (Connection *connection : open) {
        if (auto each = connection->waiting()) {
            each->id = connections.size();
            connections.push_back(connection);
            waiting.push_back(*each);
        }
    }
    while (const auto chosen = core::connectionToClose(waiting)) {
        // Only the chosen one's socket is asked: a call for each connection would be dear.
        if (!connections.at(*chosen)->hasUnreadRequest()) {
            connections.at(*chosen)->shared_from_this()->close(CloseReason::Displaced);
            return true;
        }
        std::erase_if(waiting, [&](const core::WaitingConnection &each) { return each.id == *chosen; });
    }
    return false;
}

/// Waits for the requests of a new connection. If there are too many, closes another one for it, or else the new one.
void Server::State::take(tcp::socket socket)
{
    const bool hasPlace = open.size() < limits.connections || displace();
    const auto connection = std::make_shared<Connection>(shared_from_this(), std::move(socket));
    if (hasPlace)
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

Server::Server(asio::io_context &context, RequestHandler &handler, ServerLimits limits, ByteAccount *account)
    : m_state(std::make_shared<State>(context, handler, limits, account))
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
