#pragma once

#include <sardinehinge/protocol/gatewaycodec.h>

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <string>
#include <vector>

namespace sardinehinge::daemon {

/// Reads the datagrams of other daemons, many in one turn of the event loop. Beside hundreds of connections a turn may
/// take long, and the load reports of all daemons come to the one that controls a service: read one by one, a notice of
/// a change would wait in the socket behind them, or find it full. Single-threaded, on the socket's io_context.
class PeerInbox
{
public:
    using Endpoint = boost::asio::ip::udp::endpoint;

    struct Handlers
    {
        std::function<void(const protocol::GatewayDatagram &, const Endpoint &from)> received;
        std::function<void(const std::string &fault, const Endpoint &from)> refused; ///< Can't be read.
        std::function<void(const std::string &error)> failed; ///< `received` has thrown an exception.
        std::function<void(std::size_t bytes)> counted; ///< Of each datagram.
    };

    /// Datagrams that are read in one turn.
    static constexpr std::size_t mostInTurn = 256;

    PeerInbox(boost::asio::ip::udp::socket &socket, Handlers handlers);

    /// Begins to read from the socket, which must be open and non-blocking.
    void start() { receive(); }

private:
    struct Datagram
    {
        protocol::GatewayDatagram content;
        Endpoint from;
    };

    void receive();
    void take(std::size_t bytes, const Endpoint &from);
    void takeWaiting();
    void handOn();

    boost::asio::ip::udp::socket &m_socket;
    Handlers m_handlers;
    std::array<char, 65'536> m_buffer{};
    Endpoint m_from;
    std::vector<Datagram> m_datagrams; ///< Of this turn.
};

} // namespace sardinehinge::daemon
