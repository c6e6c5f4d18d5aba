#include <sardinehinge/http/server.h>

#include "addresses.h"
#include "connection.h"

#include <sardinehinge/core/admission/waitingconnection.h>

namespace sardinehinge::http {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using internal::Connection;

namespace {

/// Without a free descriptor, the next attempt to accept waits this long.
constexpr std::chrono::milliseconds acceptPause(10);

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
    std::vector<std::shared_ptr<Connection>> connections;
    for (const auto &connection : open) {
        if (auto each = connection->waiting()) {
            each->id = connections.size();
            connections.push_back(connection);
            waiting.push_back(*each);
        }
    }
    while (const auto chosen = core::connectionToClose(waiting)) {
        // Only the chosen one's socket is asked: a call for each connection would be dear.
        if (!connections.at(*chosen)->hasUnreadRequest()) {
            connections.at(*chosen)->close(CloseReason::Displaced);
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
    open.insert(connection);
    openCount.store(open.size());
    if (hasPlace)
        connection->open();
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
    const auto all = open; // Closing removes a connection.
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
    m_state->open.clear(); // A connection refers to the state, too.
    m_state->acceptTimer.cancel();
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
