#include "peerinbox.h"

#include <algorithm>
#include <exception>
#include <utility>
#include <variant>

namespace sardinehinge::daemon {

namespace {

/// Whether a message can wait for the others of its turn.
bool isStatistics(const protocol::GatewayDatagram &datagram)
{
    return std::holds_alternative<protocol::LoadMessage>(datagram.message)
        || std::holds_alternative<protocol::RefusedMessage>(datagram.message);
}

} // namespace

PeerInbox::PeerInbox(boost::asio::ip::udp::socket &socket, Handlers handlers)
    : m_socket(socket)
    , m_handlers(std::move(handlers))
{
}

void PeerInbox::receive()
{
    m_socket.async_receive_from(boost::asio::buffer(m_buffer), m_from,
                                [this](const boost::system::error_code &error, std::size_t bytes) {
                                    if (error == boost::asio::error::operation_aborted)
                                        return;
                                    if (!error)
                                        take(bytes, m_from);
                                    takeWaiting();
                                    receive();
                                    handOn();
                                });
}

/// Reads what else has come.
void PeerInbox::takeWaiting()
{
    for (std::size_t count = 1; count < mostInTurn; ++count) {
        Endpoint from;
        boost::system::error_code error;
        const std::size_t bytes = m_socket.receive_from(boost::asio::buffer(m_buffer), from, 0, error);
        if (error)
            return;
        take(bytes, from);
    }
}

void PeerInbox::take(std::size_t bytes, const Endpoint &from)
{
    m_handlers.counted(bytes);
    auto result = protocol::decodeGateway(std::string(m_buffer.data(), bytes));
    if (const core::Error *error = core::errorIn(result))
        m_handlers.refused(error->detail, from);
    else
        m_datagrams.push_back({std::get<protocol::GatewayDatagram>(std::move(result)), from});
}

/// One that can't be handled must not end the others.
void PeerInbox::handOn()
{
    std::vector<Datagram> datagrams = std::exchange(m_datagrams, {});
    std::stable_partition(datagrams.begin(), datagrams.end(),
                          [](const Datagram &datagram) { return !isStatistics(datagram.content); });
    for (const Datagram &datagram : datagrams) {
        try {
            m_handlers.received(datagram.content, datagram.from);
        } catch (const std::exception &error) {
            m_handlers.failed(error.what());
        }
    }
}

} // namespace sardinehinge::daemon
