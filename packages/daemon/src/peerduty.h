#pragma once

#include "dutymessages.h"

#include <sardinehinge/daemon/eventlog.h>
#include <sardinehinge/daemon/metrics.h>
#include <sardinehinge/daemon/ring.h>
#include <sardinehinge/daemon/worker.h>

#include <boost/asio/ip/udp.hpp>

#include <array>

namespace sardinehinge::daemon {

/// Exchanges datagrams with other daemons.
///
/// Datagrams rather than connections: a frozen peer holds nobody up, a fleet of thousands needs no connections, and
/// every message stands alone. Full rings drop messages in both directions, which is counted and harmless.
class PeerDuty
{
public:
    PeerDuty(core::DaemonIdentity self, EventLog &events, Metrics &metrics,
             std::function<bool(IncomingMessage)> deliver, std::function<bool(IncomingSlotMessage)> deliverSlots);
    ~PeerDuty();

    /// Binds the UDP socket; an error of step `listen` when that fails.
    core::Result<core::Done> start(const std::string &address);
    void stop() { m_worker.stop(); }

    /// From the control duty.
    Ring<ToPeers> &outgoing() noexcept { return m_outgoing; }
    /// From the routing duty.
    Ring<OutgoingSlotMessage> &outgoingSlots() noexcept { return m_outgoingSlots; }
    Worker &worker() noexcept { return m_worker; }

private:
    void take(const PeerAddresses &addresses);
    void take(const OutgoingMessage &message);
    void send(const std::string &to, const core::PeerMessage &message);
    void receive();
    void received(const std::string &bytes, const std::string &source);

    core::DaemonIdentity m_self;
    EventLog &m_events;
    Metrics &m_metrics;
    std::function<bool(IncomingMessage)> m_deliver;
    std::function<bool(IncomingSlotMessage)> m_deliverSlots;
    Worker m_worker{"peers"};
    boost::asio::ip::udp::socket m_socket;
    Ring<ToPeers> m_outgoing;
    Ring<OutgoingSlotMessage> m_outgoingSlots;
    std::map<std::string, boost::asio::ip::udp::endpoint> m_endpoints;
    std::array<char, 65'536> m_buffer{};
    boost::asio::ip::udp::endpoint m_from;
};

} // namespace sardinehinge::daemon
