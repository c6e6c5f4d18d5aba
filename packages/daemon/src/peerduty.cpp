#include "peerduty.h"

#include "udpaddress.h"

#include <sardinehinge/core/eventnumbers.h>

#include <boost/asio/ip/address.hpp>

namespace sardinehinge::daemon {

namespace {

using boost::asio::ip::udp;

constexpr std::size_t outgoingRing = 16'384;
constexpr int socketBufferBytes = 1 << 20;

} // namespace

PeerDuty::PeerDuty(core::DaemonIdentity self, EventLog &events, Metrics &metrics,
                   std::function<bool(IncomingMessage)> deliver, std::function<bool(IncomingSlotMessage)> deliverSlots)
    : m_self(std::move(self))
    , m_events(events)
    , m_metrics(metrics)
    , m_deliver(std::move(deliver))
    , m_deliverSlots(std::move(deliverSlots))
    , m_socket(m_worker.context())
    , m_outgoing(outgoingRing, m_worker.waker([this] {
        m_outgoing.drain(
            [this](const ToPeers &message) { std::visit([this](const auto &typed) { take(typed); }, message); });
    }))
    , m_outgoingSlots(outgoingRing, m_worker.waker([this] {
        m_outgoingSlots.drain([this](const OutgoingSlotMessage &outgoing) {
            std::visit([&](const auto &typed) { send(outgoing.to, typed); }, outgoing.message);
        });
    }))
{
}

PeerDuty::~PeerDuty()
{
    m_worker.stop();
}

core::Result<core::Done> PeerDuty::start(const std::string &address)
{
    const auto endpoint = parseUdpAddress(address);
    boost::system::error_code error;
    if (endpoint) {
        m_socket.open(endpoint->protocol(), error);
        if (!error)
            m_socket.bind(*endpoint, error);
    }
    if (!endpoint || error)
        return core::Error{core::ErrorCode::BadSetting, "listen", address, endpoint ? error.message() : "bad address"};
    m_socket.non_blocking(true, error);
    m_socket.set_option(udp::socket::receive_buffer_size(socketBufferBytes), error);
    receive();
    m_worker.start();
    return core::Done{};
}

void PeerDuty::take(const PeerAddresses &addresses)
{
    m_endpoints.clear();
    for (const auto &[id, address] : addresses.byId) {
        if (const auto endpoint = parseUdpAddress(address))
            m_endpoints.emplace(id, *endpoint);
    }
}

void PeerDuty::take(const OutgoingMessage &message)
{
    send(message.to, message.message);
}

void PeerDuty::send(const std::string &to, const core::PeerMessage &message)
{
    const auto endpoint = m_endpoints.find(to);
    if (endpoint == m_endpoints.end())
        return;
    const std::string datagram = protocol::encode({m_self, to, m_events.stamp(), message});
    boost::system::error_code ignored; // A datagram that can't be sent now counts as lost.
    m_socket.send_to(boost::asio::buffer(datagram), endpoint->second, 0, ignored);
    m_metrics.peerBytesOut.Increment(static_cast<double>(datagram.size()));
}

void PeerDuty::receive()
{
    m_socket.async_receive_from(boost::asio::buffer(m_buffer), m_from,
                                [this](const boost::system::error_code &error, std::size_t bytes) {
                                    if (error == boost::asio::error::operation_aborted)
                                        return;
                                    const std::string datagram(m_buffer.data(), error ? 0 : bytes);
                                    const std::string source = m_from.address().to_string();
                                    receive(); // First, so that a datagram that can't be handled doesn't end it.
                                    if (!error)
                                        received(datagram, source);
                                });
}

void PeerDuty::received(const std::string &bytes, const std::string &source)
{
    m_metrics.peerBytesIn.Increment(static_cast<double>(bytes.size()));
    auto result = protocol::decode(bytes);
    if (const core::Error *error = core::errorIn(result)) {
        m_events.record(Severity::Debug, core::events::peerMessageRefused, source + ": " + error->detail);
        return;
    }
    auto &envelope = std::get<protocol::Envelope>(result);
    // An address may have been another instance's before; what was meant for that one is not for this one.
    if (envelope.recipient != m_self.id)
        return;
    m_events.observe(envelope.stamp);
    if (const auto *demand = std::get_if<core::SlotDemand>(&envelope.message))
        m_deliverSlots({envelope.sender, *demand});
    else if (const auto *grant = std::get_if<core::SlotGrant>(&envelope.message))
        m_deliverSlots({envelope.sender, *grant});
    else
        m_deliver({std::move(envelope.sender), std::move(envelope.message)});
}

} // namespace sardinehinge::daemon
