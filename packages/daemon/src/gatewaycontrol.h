#pragma once

#include "feedrelay.h"
#include "feedwatcher.h"
#include "gatewaymessages.h"
#include "peerinbox.h"

#include <sardinehinge/core/admission/linebudget.h>
#include <sardinehinge/core/balancing/coldtargets.h>
#include <sardinehinge/core/daemonranking.h>
#include <sardinehinge/core/leavingtargets.h>
#include <sardinehinge/core/membership/evacuations.h>
#include <sardinehinge/core/ownership/leasechoice.h>
#include <sardinehinge/core/quarantinekeeper.h>
#include <sardinehinge/core/rangecontrol.h>
#include <sardinehinge/core/ratepermits.h>
#include <sardinehinge/core/targetregistry.h>
#include <sardinehinge/core/watchroster.h>
#include <sardinehinge/daemon/eventlog.h>
#include <sardinehinge/daemon/metrics.h>
#include <sardinehinge/daemon/ring.h>
#include <sardinehinge/daemon/worker.h>
#include <sardinehinge/edges/gatewayedges.h>
#include <sardinehinge/http/server.h>
#include <sardinehinge/protocol/gatewaycodec.h>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <atomic>
#include <map>
#include <random>

namespace sardinehinge::daemon {

/// Knows the configuration, the targets and the other daemons, and takes part in control of the sharded services' keys.
/// It runs apart from traffic, so that a burst of requests delays no lease.
class GatewayControl : private http::RequestHandler
{
public:
    using PlatformMaker = std::function<std::unique_ptr<edges::GatewayPlatform>(boost::asio::io_context &)>;

    GatewayControl(const edges::GatewaySettings &settings, const PlatformMaker &makePlatform, EventLog &events,
                   Metrics &metrics, std::function<bool(ToTraffic)> tellTraffic);
    ~GatewayControl() override;

    core::Result<core::Done> start();
    void stop() { m_worker.stop(); }

    /// From the traffic duty.
    Ring<FromTraffic> &reports() noexcept { return m_reports; }
    /// Hands control of all services over. Safe to call from every thread.
    void resign();
    /// Whether, after resign(), others control all services. Safe to call from every thread.
    bool hasResigned() const noexcept { return m_hasResigned.load(); }

private:
    static constexpr std::uint32_t lateLinesPerSecond = 5;

    static void callAfter(boost::asio::steady_timer &timer, core::Duration wait, std::function<void()> action);

    /// Another daemon.
    struct Peer
    {
        core::PeerDaemon daemon;
        std::optional<boost::asio::ip::udp::endpoint> endpoint; ///< Of its address, if that can be read.
    };

    /// One sharded service.
    struct Service
    {
        std::unique_ptr<core::RangeControl> control;
        core::RangeOwners owners; ///< Latest announcement heard, ours included.
        core::Duration longestRequest{}; ///< By the configuration; see core::longestRequestTime().
        bool areOwnersPending = false; ///< The traffic duty lacks `owners`.
        std::string controller; ///< The daemon that sent it, or whose beats are heard.
        core::Time evacuatingSince{};
        std::array<std::uint32_t, std::variant_size_v<core::ControlEvent>> events{}; ///< Since the last report.
        std::vector<core::KeyRange> evacuatingKeys; ///< That may not have left the evacuated failure domains yet.
    };

    void handle(std::uint64_t exchange, http::Request request, std::shared_ptr<http::Responder> responder) override;
    void callerDisconnected(std::uint64_t) override { }
    http::Response rejection(int status, const std::string &detail, const std::string &peer) override;

    void configChanged(const edges::FeedEntry<core::GatewayConfig> &entry);
    void targetChanged(const edges::FeedEntry<core::RegisteredTarget> &entry);
    bool reached(bool isReachable, const std::string &detail);
    void watchCut(const char *kind, core::Duration waited, const std::string &detail);
    void eraSeen(core::StoreEra era);
    void shareWatches();
    void keepForPeers(FeedRelay::Kind kind, const core::FeedPosition &position, std::uint64_t base,
                      const std::string &source);
    void readNews(FeedRelay::Kind kind, std::uint64_t revision, core::StoreEra era,
                  const std::function<void(FeedRelay::Answers)> &done);
    void passOn(const std::vector<edges::FeedEntry<core::RegisteredTarget>> &entries, std::uint64_t base);
    void setPauses();
    void publishTargets();
    void handOver();
    Service &serviceOf(const std::string &name);
    void onTimer();
    void run(const std::string &service, const core::ControlEvent &event);
    void act(const std::string &service, const core::ReadOwnership &effect);
    void act(const std::string &service, const core::WriteOwnership &effect);
    void act(const std::string &service, const core::RangeOrder &effect);
    void act(const std::string &service, const core::ConnectTarget &effect);
    void act(const std::string &service, const core::AnnounceOwners &effect);
    void act(const std::string &service, const core::SendHeartbeat &effect);
    void act(const std::string &service, const core::SendHeartbeatAck &effect);
    void act(const std::string &service, const core::SendResignation &effect);
    void act(const std::string &service, const core::ControlLogEntry &effect);
    void take(const ServiceKeyLoad &report);
    void take(const core::OwnerRefused &report);
    void take(const core::TargetBelief &report);
    void takeLeaving(const std::string &service, const core::TargetIdentity &target);
    void handOver(const std::string &service);
    void tellLeaving(core::Time now);
    void takeOwners(const core::RangeOwners &owners, const std::string &from);

    // Where the time goes. In gatewaycontrol_reports.cpp.
    void reportConfigReceived();
    void reportFeedReadFailed(const char *kind, const std::string &from, int status, core::Duration taken);
    void countEvent(const std::string &service, const core::ControlEvent &event);
    void reportLateness(core::Time now, core::Time due);
    void reportControlWork(core::Time now);

    // Permits for rate-limited targets. In gatewaycontrol_permits.cpp.
    void take(const core::AskPermits &request);
    void carryOut(const core::PermitBroker::Effects &effects);
    void watchPermits();
    void act(const core::AskCoordinator &effect);
    void act(const core::AnswerDaemon &effect);
    void act(const core::DeliverPermits &effect);
    void act(const core::CoordinatorSilent &effect);
    void heard(const std::string &from, const core::PermitRequest &message);
    void heard(const std::string &from, const core::PermitGrant &message);

    // Evacuated failure domains. In gatewaycontrol_evacuations.cpp.
    void startEvacuationFeed();
    void evacuationsChanged();
    void retryEvacuations();
    core::FeedPosition evacuationPosition() const;
    /// Whether all that must be known of targets before requests are sent has been listed.
    bool hasLists() const noexcept { return m_hasTargets && (!m_evacuationFeed || m_hasEvacuations); }
    std::vector<core::RegisteredTarget> knownTargets(core::Time now) const;
    bool takeEvacuationChanges(core::Time now);
    void reportEvacuated(const std::string &name);
    void addEvacuations(core::WatchNotice &notice) const;
    void takeEvacuations(const core::WatchNotice &notice, core::Time now);

    // Requests that crash targets. In gatewaycontrol_quarantine.cpp.
    void take(const core::TargetCrashed &report);
    void take(const core::QuarantineRefuted &report);
    void carryOut(const core::QuarantineKeeper::Effects &effects, const std::string &from);
    void heard(const std::string &from, const core::CrashReport &message);
    void heard(const std::string &from, const protocol::QuarantineMessage &message);
    void heard(const std::string &from, const protocol::QuarantineDigest &message);

    // The other daemons. In gatewaycontrol_peers.cpp.
    void enter();
    void listPeers(bool mayBeOutdated = false);
    void listMorePeers();
    void takePeers(const edges::FeedPage<core::PeerDaemon> &page);
    void addPeer(const core::PeerDaemon &peer);
    void publishPeers();
    PeerInbox::Handlers inboxHandlers();
    void received(const protocol::GatewayDatagram &datagram, const boost::asio::ip::udp::endpoint &source);
    void heard(const std::string &from, const core::RangeOwners &message);
    void heard(const std::string &from, const core::RangeOwnersChange &message);
    void heard(const std::string &from, const core::ControllerHeartbeat &message);
    void heard(const std::string &from, const core::ControllerHeartbeatAck &message);
    void heard(const std::string &from, const core::ControllerResigned &message);
    void heard(const std::string &from, const protocol::OwnersWanted &message);
    void heard(const std::string &from, const protocol::LoadMessage &message);
    void heard(const std::string &from, const protocol::RefusedMessage &message);
    void heard(const std::string &from, const protocol::Hello &message);
    void heard(const std::string &from, const core::WatchNotice &message);
    void heard(const std::string &from, const protocol::TargetChanges &message);
    void heard(const std::string &from, const protocol::LeavingMessage &message);
    void send(const std::string &to, const protocol::GatewayMessage &message);
    void sendToAll(const protocol::GatewayMessage &message);
    void sendDatagram(const Peer &peer, const std::string &datagram);

    edges::GatewaySettings m_settings;
    EventLog &m_events;
    Metrics &m_metrics;
    std::function<bool(ToTraffic)> m_tellTraffic;
    Worker m_worker{"control"};
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_enterTimer;
    boost::asio::steady_timer m_peersTimer;
    boost::asio::steady_timer m_relistTimer;
    std::unique_ptr<edges::GatewayPlatform> m_platform;
    http::Server m_metricsServer;
    FeedRelay m_relay;
    std::string m_newsFrom; ///< The daemon whose notice has come last.
    FeedWatcher<core::GatewayConfig> m_configs;
    FeedWatcher<core::RegisteredTarget> m_targetFeed;
    std::optional<FeedWatcher<core::Evacuation>> m_evacuationFeed; ///< If the deployment has evacuations.
    boost::asio::ip::udp::socket m_socket;
    PeerInbox m_inbox;
    Ring<FromTraffic> m_reports;
    core::DaemonIdentity m_self;
    bool m_hasEntered = false;
    core::Time m_enteredAt{}; ///< When the store last confirmed this daemon's entry.
    PagedList<core::PeerDaemon> m_peerList; ///< The list under way.
    bool m_isOutdatedPeerListEnough = false;
    std::uint64_t m_peerRound = 0; ///< Pages of earlier lists of the others are dropped.
    bool m_hasGreeted = false; ///< All that were known after the first list.
    std::mt19937 m_random{std::random_device{}()};
    bool m_hasTargets = false;
    bool m_hasEvacuations = false;
    bool m_isPublicationScheduled = false;
    core::Time m_publishedAt{}; ///< When the targets were last handed to the traffic duty.
    bool m_isReachable = true;
    bool m_isResigning = false;
    std::atomic<bool> m_hasResigned = false;
    std::uint64_t m_configVersion = 0;
    std::optional<core::GatewayConfig> m_pendingConfig; ///< The traffic duty lacks it.
    bool m_areTargetsPending = false; ///< The traffic duty lacks the latest.
    core::StoreEra m_era = 0; ///< The latest that an answer of the store or another daemon told of.
    core::TargetRegistry m_registry;
    core::LeavingTargets m_leaving; ///< Of sharded services, by own answers and by those that others told of.
    core::Evacuations m_evacuations;
    core::ColdTargets m_coldTargets;
    bool m_hasColdChanged = false; ///< Since the targets were last published.
    std::atomic<std::size_t> m_evacuatedDomains = 0; ///< For the metrics.
    core::WatchRoster m_roster;
    std::map<std::string, Peer> m_peers;
    core::DaemonRanking m_ranking; ///< Of all daemons that this one knows of.
    core::PermitBroker m_permits;
    core::QuarantineKeeper m_quarantines;
    std::atomic<std::size_t> m_quarantineCount = 0; ///< For the metrics.
    boost::asio::steady_timer m_permitTimer;
    bool m_isWatchingPermits = false;
    core::Time m_nextWhole{}; ///< When the next whole list of owners may be sent.
    std::map<std::string, Service> m_services;
    core::LineBudget m_lateLines{lateLinesPerSecond};
    core::Time m_tickDue{}; ///< Of the timer.
    core::Duration m_tickCpu{}; ///< Processor time of the duty when the timer last fired.
    std::size_t m_eventsSinceTick = 0;
    core::Time m_workReportedAt{};
    core::Duration m_workCpu{}; ///< Processor time of the duty at the last report.
};

} // namespace sardinehinge::daemon
