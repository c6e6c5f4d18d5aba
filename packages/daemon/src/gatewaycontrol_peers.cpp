#include "gatewaycontrol.h"

#include "udpaddress.h"

#include <sardinehinge/core/eventnumbers.h>
#include <sardinehinge/core/text.h>

#include <algorithm>

/// The other daemons as GatewayControl knows them: their entries in the platform's registry, and datagrams; and the
/// leaving targets, of which other daemons tell too.
namespace sardinehinge::daemon {

namespace {

/// Between two tries of a call for the registry of daemons.
constexpr std::chrono::milliseconds storeRetry(500);
/// From this daemon's entry to the second list of the others: several tries of one that started at the same time.
constexpr std::chrono::milliseconds secondListDelay(5000);
/// Between two whole lists of owners, on average: at some 5 KB for 240 owners they take a quarter of a link of 10
/// Mbit/s.
constexpr std::chrono::milliseconds wholeStep(16);
/// As many as fit in this time may be sent at once.
constexpr std::chrono::milliseconds wholeBurst(160);

} // namespace

/// Replaces what the timer waits for.
void GatewayControl::callAfter(boost::asio::steady_timer &timer, core::Duration wait, std::function<void()> action)
{
    timer.expires_after(wait);
    timer.async_wait([action = std::move(action)](const boost::system::error_code &error) {
        if (!error)
            action();
    });
}

/// The registry's revision of the entry names this life of the daemon: until it is known, this daemon takes no part in
/// control. Called again when the store may have lost the entry, which then is written under the same incarnation.
void GatewayControl::enter()
{
    m_metrics.storeWrites.Increment();
    const core::PeerDaemon self{m_settings.id, m_self.incarnation, m_settings.peerAddress, m_settings.linkMbps};
    m_platform->peers().enter(self, [this, era = m_era](edges::StoreOutcome outcome, std::uint64_t incarnation) {
        // What was entered before an era change may be lost.
        const bool isOutdated = m_era != era && era != 0;
        if (outcome != edges::StoreOutcome::Ok || incarnation == 0 || isOutdated)
            return callAfter(m_enterTimer, storeRetry, [this] { enter(); });
        m_enteredAt = bootTime();
        m_self.incarnation = incarnation;
        if (std::exchange(m_hasEntered, true))
            return;
        listPeers();
        callAfter(m_relistTimer, secondListDelay, [this] { listPeers(true); });
    });
}

/// Lists the other daemons: at the start, once more for those that started at the same time, and after an era change.
/// All others make themselves known. `mayBeOutdated`: a copy some seconds old will do.
void GatewayControl::listPeers(bool mayBeOutdated)
{
    m_isOutdatedPeerListEnough = mayBeOutdated;
    m_peerList.begin();
    ++m_peerRound;
    listMorePeers();
}

void GatewayControl::listMorePeers()
{
    m_metrics.listReads.Increment();
    const auto take = [this, round = m_peerRound](const edges::FeedPage<core::PeerDaemon> &page) {
        if (round == m_peerRound)
            takePeers(page);
    };
    edges::PeerRegistry &registry = m_platform->peers();
    if (m_isOutdatedPeerListEnough)
        registry.listOutdated(m_peerList.after(), take);
    else
        registry.list(m_peerList.after(), take);
}

/// Those that enter between two pages greet this daemon, whose entry is older than theirs.
void GatewayControl::takePeers(const edges::FeedPage<core::PeerDaemon> &page)
{
    using Progress = PagedList<core::PeerDaemon>::Progress;
    eraSeen(page.era);
    const bool isOutdated = page.outcome == edges::StoreOutcome::Ok && page.era < m_era;
    const Progress progress = isOutdated ? Progress::Broken : m_peerList.take(page, bootTime());
    if (progress == Progress::Broken)
        return callAfter(m_peersTimer, storeRetry, [this] { listPeers(); });
    if (progress == Progress::OtherEra)
        return listPeers();
    const protocol::Hello hello{m_settings.peerAddress, false, m_settings.linkMbps};
    for (const auto &entry : page.entries) {
        if (!entry.value || entry.name == m_self.id)
            continue;
        const auto known = m_peers.find(entry.name);
        const bool isNew = known == m_peers.end() || known->second.daemon.incarnation < entry.value->incarnation;
        core::PeerDaemon peer = *entry.value;
        // The address that its datagrams come from is the one to answer to.
        if (!isNew)
            peer.address = known->second.daemon.address;
        addPeer(peer);
        if (isNew && m_hasGreeted)
            send(entry.name, hello);
    }
    if (progress == Progress::Continues)
        listMorePeers();
    else if (!std::exchange(m_hasGreeted, true))
        sendToAll(hello);
}

void GatewayControl::addPeer(const core::PeerDaemon &peer)
{
    auto &[known, endpoint] = m_peers[peer.id];
    core::PeerDaemon merged = peer;
    if (merged.linkMbps == 0)
        merged.linkMbps = known.linkMbps; // Only entries and greetings tell it.
    if (peer.incarnation < known.incarnation || known == merged)
        return;
    known = merged;
    endpoint = parseUdpAddress(known.address);
    if (m_ranking.add(peer.id))
        m_quarantines.addDaemon(peer.id);
    m_events.record(Severity::Info, core::events::peerJoined,
                    "peer=" + core::logValue(peer.id) + " incarnation=" + std::to_string(peer.incarnation)
                        + " address=" + core::logValue(peer.address));
    publishPeers();
}

void GatewayControl::publishPeers()
{
    std::vector<core::PeerDaemon> peers;
    for (const auto &[id, peer] : m_peers)
        peers.push_back(peer.daemon);
    m_tellTraffic(GatewayDaemonsUpdate{peers.size() + 1});
    setPauses();
    for (const auto &[name, service] : m_services)
        run(name, core::ControlPeers{peers, m_settings.linkMbps});
}

PeerInbox::Handlers GatewayControl::inboxHandlers()
{
    return {[this](const auto &datagram, const auto &source) { received(datagram, source); },
            [this](const std::string &fault, const auto &source) {
                m_events.record(Severity::Warning, core::events::peerMessageRefused,
                                source.address().to_string() + ": " + fault);
            },
            [this](const std::string &error) {
                m_events.record(Severity::Error, core::events::taskFailed,
                                "duty=control detail=" + core::logValue(error));
            },
            [this](std::size_t bytes) { m_metrics.peerBytesIn.Increment(static_cast<double>(bytes)); }};
}

void GatewayControl::received(const protocol::GatewayDatagram &datagram, const boost::asio::ip::udp::endpoint &source)
{
    const std::string from = datagram.sender.id;
    if (from == m_self.id)
        return;
    // Ports are the same on all instances: the address that it came from is the one to answer to.
    const std::string address = source.address().to_string() + ":" + std::to_string(source.port());
    const auto *hello = std::get_if<protocol::Hello>(&datagram.message);
    addPeer({from, datagram.sender.incarnation, address, hello == nullptr ? 0 : hello->linkMbps});
    if (m_peers[from].daemon.incarnation > datagram.sender.incarnation)
        return;
    m_ranking.heard(from, bootTime());
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
    eraSeen(message.era);
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
    eraSeen(message.era);
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
    if (message.isReply || !m_hasEntered)
        return;
    send(from, protocol::Hello{m_settings.peerAddress, true, m_settings.linkMbps});
    carryOut(m_quarantines.daemonStarted(from, bootTime()), from);
}

void GatewayControl::heard(const std::string &from, const core::WatchNotice &message)
{
    m_newsFrom = from;
    const core::Time now = bootTime();
    eraSeen(std::max({message.configs.era, message.targets.era, message.evacuations.era}));
    m_roster.noticeReceived(message, now);
    m_configs.noticed(message.configs, now - message.age);
    m_targetFeed.noticed(message.targets, now - message.age);
    takeEvacuations(message, now);
}

void GatewayControl::heard(const std::string &, const protocol::TargetChanges &message)
{
    std::vector<edges::FeedEntry<core::RegisteredTarget>> entries;
    for (const protocol::TargetChange &change : message.changes)
        entries.push_back({change.id, change.target, {}});
    m_targetFeed.takeFrom(entries, message.base, message.revision, message.era);
}

void GatewayControl::heard(const std::string &from, const protocol::LeavingMessage &message)
{
    // Only configured services: a stray name must not create state.
    if (!m_services.contains(message.service))
        return;
    if (m_leaving.add({message.service, message.target})) {
        m_events.record(Severity::Info, core::events::targetLeavingTold,
                        "target=" + core::logValue(message.target.id)
                            + " born=" + std::to_string(message.target.incarnation)
                            + " service=" + core::logValue(message.service) + " from=" + core::logValue(from));
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
    run(service, core::ControlTargets{m_leaving.markDraining(service, knownTargets(bootTime()))});
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
    if (const auto peer = m_peers.find(to); peer != m_peers.end() && m_hasEntered)
        sendDatagram(peer->second, protocol::encode({m_self, message}));
}

/// Encodes the message once: with hundreds of daemons that takes longer than sending it.
void GatewayControl::sendToAll(const protocol::GatewayMessage &message)
{
    if (!m_hasEntered)
        return;
    const std::string datagram = protocol::encode({m_self, message});
    for (const auto &[id, peer] : m_peers)
        sendDatagram(peer, datagram);
}

void GatewayControl::sendDatagram(const Peer &peer, const std::string &datagram)
{
    if (!peer.endpoint)
        return;
    boost::system::error_code ignored; // A datagram that can't be sent now counts as lost.
    m_socket.send_to(boost::asio::buffer(datagram), *peer.endpoint, 0, ignored);
    m_metrics.peerBytesOut.Increment(static_cast<double>(datagram.size()));
}

} // namespace sardinehinge::daemon
