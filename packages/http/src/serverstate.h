#pragma once

#include <sardinehinge/http/server.h>

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <set>

namespace sardinehinge::http {

namespace internal {
class Connection;
}

/// What the connections of a server share.
struct Server::State : std::enable_shared_from_this<Server::State>
{
    State(boost::asio::io_context &ioContext, RequestHandler &requestHandler, ServerLimits serverLimits,
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
    void take(boost::asio::ip::tcp::socket socket);
    void acceptPending();
    /// Closes a connection for a new one. Returns false if none can be closed.
    bool displace();
    void forEachConnection(const std::function<void(internal::Connection &)> &action);

    boost::asio::io_context &context;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer acceptTimer;
    RequestHandler &handler;
    ServerLimits limits;
    ByteAccount *account; ///< May be null.
    /// Owns them: a connection that waits for a response may have no operation of its socket pending.
    std::set<std::shared_ptr<internal::Connection>> open;
    std::uint64_t nextExchange = 1;
    std::atomic<std::size_t> openCount = 0;
    bool isKeepAliveDisabled = false; ///< Each connection closes after the requests that were started.
    bool isDraining = false;
    bool isStopped = false;
};

} // namespace sardinehinge::http
