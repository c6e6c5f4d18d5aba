#include "gatewaycontrol.h"

#include "udpaddress.h"

#include <sardinehinge/core/eventnumbers.h>

#include <algorithm>

/// The datagrams of GatewayControl: what other daemons say, and what is said to them; and the leaving targets, of which
/// other daemons tell too.
namespace sardinehinge::daemon {

namespace {

/// Between two whole lists of owners, on average: at some 5 KB for 240 owners they take a quarter of a link of 10
/// Mbit/s.
constexpr std::chrono::milliseconds wholeStep(16);
/// As many as fit in this time may be sent at once.
constexpr std::chrono::milliseconds wholeBurst(160);

} // namespace

void GatewayControl::receive()
{
    m_socket.async_receive_from(boost::asio::buffer(m_buffer), m_from,
                                [this](const boost::system::error_code &error, std::size_t bytes) {
                                    if (error == boost::asio::error::operation_aborted)
                                        return;
                                    const std::string datagram(m_buffer.data(), error ? 0 : bytes);
                                    const auto from = m_from;
                                    receive(); // First, so that a datagram that can't be handled doesn't end it.
                                    if (!error)
                                        received(datagram, from);
                                });
}

void GatewayControl::received(const std::string &bytes, const boost::asio::ip::udp::endpoint &source)
{
    m_metrics.peerBytesIn.Increment(static_cast<double>(bytes.size()));
    auto result = protocol::decodeGateway(bytes);
    if (const core::Error *error = core::errorIn(result)) {
        m_events.record(Severity::Warning, core::events::peerMessageRefused,
                        source.address().to_string() + ": " + error->detail);
        return;
    }
    const auto &datagram = std::get<protocol::GatewayDatagram>(result);
    const std::string from = datagram.sender.id;
    if (from == m_self.id)
        return;
    // Ports are the same on all instances: the address that it came from is the one to answer to.
    const std::string address = source.address().to_string() + ":" + std::to_string(source.port());
    const auto *hello = std::get_if<protocol::Hello>(&datagram.message);
    addPeer({from, datagram.sender.incarnation, address, hello == nullptr ? 0 : hello->linkMbps});
    if (m_peers[from].incarnation > datagram.sender.incarnation)
        return;
    std::visit([this, &from](const auto &message) { heard(from, message); }, datagram.message);
}

void GatewayControl::heard(const std::string &from, const core::RangeOwners &message)
{
    takeOwners(message, from);
}

void GatewayControl::heard(const std::string &from, const core::RangeOwnersChange &message)
{
    const core::RangeOwners &known = serviceOf(message.service).owners;
    if (auto owners = core::applyChange(known, message))
        takeOwners(*owners, from);
    else if (core::RangeOwners{message.service, message.term, message.sequence, {}}.isNewerThan(known))
        send(from, protocol::OwnersWanted{message.service});
}

void GatewayControl::heard(const std::string &from, const core::ControllerHeartbeat &message)
{
    run(message.service, message);
    Service &service = serviceOf(message.service);
    const core::RangeOwners latest{message.service, message.term, message.sequence, {}};
    if (message.term >= service.owners.term)
        service.controller = from;
    if (latest.isNewerThan(service.owners) && message.sequence != 0)
        send(from, protocol::OwnersWanted{message.service});
}

void GatewayControl::heard(const std::string &, const core::ControllerHeartbeatAck &message)
{
    run(message.service, message);
}

void GatewayControl::heard(const std::string &, const core::ControllerResigned &message)
{
    run(message.service, message);
}

void GatewayControl::heard(const std::string &from, const protocol::OwnersWanted &message)
{
    const Service &service = serviceOf(message.service);
    if (service.control == nullptr || !service.control->isController())
        return;
    // Daemons ask again at the next beat: a rush of answers must not hold up the beats.
    const core::Time now = bootTime();
    m_nextWhole = std::max(m_nextWhole, now - wholeBurst);
    if (m_nextWhole > now)
        return;
    m_nextWhole += wholeStep;
    send(from, service.control->owners());
}

void GatewayControl::heard(const std::string &, const protocol::LoadMessage &message)
{
    run(message.service, core::KeyLoadReport{message.requests, message.slowness});
}

void GatewayControl::heard(const std::string &, const protocol::RefusedMessage &message)
{
    run(message.service, core::KeyRefused{message.target, message.key});
}

void GatewayControl::heard(const std::string &from, const protocol::Hello &message)
{
    if (!message.isReply && m_hasEntered)
        send(from, protocol::Hello{m_settings.peerAddress, true, m_settings.linkMbps});
}

void GatewayControl::heard(const std::string &, const core::WatchNotice &message)
{
    const core::Time now = bootTime();
    m_roster.noticeReceived(message, now);
    m_configs.told(message.configs, now - message.age);
    m_targetFeed.told(message.targets, now - message.age);
}

void GatewayControl::heard(const std::string &, const protocol::TargetChanges &message)
{
    std::vector<edges::FeedEntry<core::RegisteredTarget>> entries;
    for (const protocol::TargetChange &change : message.changes)
        entries.push_back({change.id, change.target, {}});
    m_targetFeed.takeFrom(entries, message.base, message.revision);
}

void GatewayControl::heard(const std::string &from, const protocol::LeavingMessage &message)
{
    // Only configured services: a stray name must not create state.
    if (!m_services.contains(message.service))
        return;
    if (m_leaving.add({message.service, message.target})) {
        m_events.record(Severity::Info, core::events::targetLeavingTold,
                        "target=" + message.target.id + " born=" + std::to_string(message.target.incarnation)
                            + " service=" + message.service + " from=" + from);
        handOver(message.service);
    }
}

/// A sharded service's target is leaving.
void GatewayControl::take(const core::TargetBelief &report)
{
    takeLeaving(report.service, report.target);
}

void GatewayControl::takeLeaving(const std::string &service, const core::TargetIdentity &target)
{
    if (m_leaving.add({service, target}))
        handOver(service);
}

/// Has the keys of leaving targets handed over, if this daemon controls them.
void GatewayControl::handOver(const std::string &service)
{
    run(service, core::ControlTargets{m_leaving.markDraining(service, m_registry.targets(bootTime()))});
}

/// Tells the controllers of leaving targets that the registry doesn't show as such.
void GatewayControl::tellLeaving(core::Time now)
{
    for (const core::LeavingTarget &leaving : m_leaving.takeDue(m_registry, now)) {
        const Service &service = serviceOf(leaving.service);
        if (!service.controller.empty() && service.controller != m_self.id)
            send(service.controller, protocol::LeavingMessage{leaving.service, leaving.target});
    }
}

void GatewayControl::send(const std::string &to, const protocol::GatewayMessage &message)
{
    const auto peer = m_peers.find(to);
    const auto endpoint = peer == m_peers.end() ? std::nullopt : parseUdpAddress(peer->second.address);
    if (!endpoint || !m_hasEntered)
        return;
    const std::string datagram = protocol::encode({m_self, message});
    boost::system::error_code ignored; // A datagram that can't be sent now counts as lost.
    m_socket.send_to(boost::asio::buffer(datagram), *endpoint, 0, ignored);
    m_metrics.peerBytesOut.Increment(static_cast<double>(datagram.size()));
}

void GatewayControl::sendToAll(const protocol::GatewayMessage &message)
{
    for (const auto &[id, peer] : m_peers)
        send(id, message);
}

} // namespace sardinehinge::daemon
