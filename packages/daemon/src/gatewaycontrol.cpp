#include "gatewaycontrol.h"

#include "milliseconds.h"
#include "udpaddress.h"

#include <sardinehinge/core/eventnumbers.h>
#include <sardinehinge/core/membership/changetiming.h>
#include <sardinehinge/core/text.h>

#include <algorithm>

namespace sardinehinge::daemon {

namespace {

/// Entries from the traffic duty: load reports and refusals by owners.
constexpr std::size_t reportRing = 4096;
/// The entries that were lost with the store's latest changes are written again within this time, so that the fleet's
/// calls are spread.
constexpr std::chrono::milliseconds reenterSpread(2000);
/// After an era change, until those entries are surely there again.
constexpr std::chrono::milliseconds relistDelay(5000);
constexpr int statusNotFound = 404;
constexpr int statusOk = 200;

core::RosterTiming rosterTiming(const edges::GatewaySettings &settings)
{
    const core::Duration bound = std::min(settings.changeBound, settings.drainBound);
    return core::RosterTiming::forBound(std::min(bound, settings.evacuationBound.value_or(bound)));
}

core::RegistryTiming registryTiming(const edges::GatewaySettings &settings)
{
    core::RegistryTiming timing;
    timing.drainBound = settings.drainBound;
    return timing;
}

} // namespace

GatewayControl::GatewayControl(const edges::GatewaySettings &settings, const PlatformMaker &makePlatform,
                               EventLog &events, Metrics &metrics, std::function<bool(ToTraffic)> tellTraffic)
    : m_settings(settings)
    , m_events(events)
    , m_metrics(metrics)
    , m_tellTraffic(std::move(tellTraffic))
    , m_timer(m_worker.context())
    , m_enterTimer(m_worker.context())
    , m_peersTimer(m_worker.context())
    , m_relistTimer(m_worker.context())
    , m_platform(makePlatform(m_worker.context()))
    , m_metricsServer(m_worker.context(), *this)
    , m_relay(m_worker.context(), settings)
    , m_configs(m_worker.context(), m_platform->configs(),
                {[this](const auto &entry) { configChanged(entry); }, [](const auto &) {},
                 [this](bool isReachable, const std::string &detail) {
                     if (isReachable)
                         m_roster.configsAnswered(bootTime());
                     if (reached(isReachable, detail)) {
                         m_targetFeed.retryNow();
                         retryEvacuations();
                     }
                 },
                 [this](const auto &page, std::uint64_t base) {
                     keepForPeers(FeedRelay::Kind::Configs, m_configs.position(), base, page.source);
                 },
                 [this](core::StoreEra era) { eraSeen(era); },
                 [this](std::uint64_t revision, core::StoreEra era, const auto &done) {
                     readNews(FeedRelay::Kind::Configs, revision, era, done);
                 },
                 [this](core::Duration waited, const std::string &detail) { watchCut("configs", waited, detail); }},
                configFeedTiming(rosterTiming(settings).watchWait))
    , m_targetFeed(m_worker.context(), m_platform->targets(),
                   {[this](const auto &entry) { targetChanged(entry); },
                    [this](const std::vector<std::string> &names) {
                        m_registry.keepOnly(names, bootTime(), m_targetFeed.completeAt());
                        m_hasTargets = true;
                        if (hasLists())
                            publishTargets();
                    },
                    [this](bool isReachable, const std::string &detail) {
                        if (isReachable)
                            m_roster.targetsAnswered(bootTime());
                        if (reached(isReachable, detail)) {
                            m_configs.retryNow();
                            retryEvacuations();
                        }
                    },
                    [this](const auto &page, std::uint64_t base) {
                        keepForPeers(FeedRelay::Kind::Targets, m_targetFeed.position(), base, page.source);
                        passOn(page.entries, base);
                    },
                    [this](core::StoreEra era) { eraSeen(era); },
                    [this](std::uint64_t revision, core::StoreEra era, const auto &done) {
                        readNews(FeedRelay::Kind::Targets, revision, era, done);
                    },
                    [this](core::Duration waited, const std::string &detail) { watchCut("targets", waited, detail); }},
                   targetFeedTiming(rosterTiming(settings).watchWait))
    , m_socket(m_worker.context())
    , m_inbox(m_socket, inboxHandlers())
    , m_reports(reportRing, m_worker.waker([this] {
        m_reports.drain(
            [this](const FromTraffic &report) { std::visit([this](const auto &each) { take(each); }, report); });
    }))
    , m_self{settings.id, 0}
    , m_registry(registryTiming(settings))
    , m_coldTargets(settings.coldTargets)
    , m_roster(settings.id, bootTime(), rosterTiming(settings), settings.linkMbps)
    , m_ranking(settings.id)
    , m_quarantines(settings.id, std::random_device()())
    , m_permitTimer(m_worker.context())
{
    m_worker.onError([this](const std::string &detail) {
        m_events.record(Severity::Error, core::events::taskFailed, "duty=control detail=" + core::logValue(detail));
    });
    m_metrics.addGauge("sardinehinge_quarantined_requests", "Requests that no target is sent, by fingerprint", {},
                       [this] { return static_cast<double>(m_quarantineCount.load()); });
    m_metrics.addGauge("sardinehinge_evacuated_failure_domains", "Failure domains whose targets get no requests", {},
                       [this] { return static_cast<double>(m_evacuatedDomains.load()); });
}

GatewayControl::~GatewayControl()
{
    m_worker.stop();
}

core::Result<core::Done> GatewayControl::start()
{
    const auto endpoint = parseUdpAddress(m_settings.peerAddress);
    boost::system::error_code error;
    if (endpoint) {
        m_socket.open(endpoint->protocol(), error);
        if (!error)
            m_socket.bind(*endpoint, error);
    }
    if (!endpoint || error)
        return core::Error{core::ErrorCode::BadSetting, "listen", m_settings.peerAddress,
                           endpoint ? error.message() : "bad address"};
    m_socket.non_blocking(true, error);
    if (auto listening = m_metricsServer.listen(m_settings.metricsAddress); core::errorIn(listening) != nullptr)
        return listening;
    m_inbox.start();
    boost::asio::post(m_worker.context(), [this] {
        // The roster decides who keeps calls waiting at the store.
        m_configs.setWatching(false);
        m_targetFeed.setWatching(false);
        m_configs.start();
        m_targetFeed.start();
        startEvacuationFeed();
        enter();
        onTimer();
    });
    m_worker.start();
    return core::Done{};
}

void GatewayControl::resign()
{
    boost::asio::post(m_worker.context(), [this] {
        m_isResigning = true;
        for (const auto &[name, service] : m_services)
            run(name, core::ControlStop{});
    });
}

void GatewayControl::handle(std::uint64_t, http::Request request, std::shared_ptr<http::Responder> responder)
{
    if (auto response = m_relay.respond(request, bootTime())) {
        m_metrics.feedReadsServed.Increment();
        return responder->send(std::move(*response));
    }
    if (http::pathOf(request.target) != "/metrics")
        return responder->send({statusNotFound, {{"Content-Type", "text/plain"}}, "only /metrics is here\n"});
    responder->send({statusOk, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.text()});
}

http::Response GatewayControl::rejection(int status, const std::string &detail, const std::string &)
{
    return {status, {{"Content-Type", "text/plain"}}, detail + "\n"};
}

void GatewayControl::configChanged(const edges::FeedEntry<core::GatewayConfig> &entry)
{
    if (!entry.value) {
        m_events.record(Severity::Warning, core::events::gatewayConfigRefused,
                        "object=" + core::logValue(entry.name) + " reason=" + core::logValue(entry.fault)
                            + " in_force=" + std::to_string(m_configVersion));
        return;
    }
    if (entry.value->version <= m_configVersion)
        return;
    m_configVersion = entry.value->version;
    m_hasColdChanged = m_coldTargets.setServices(entry.value->services) || m_hasColdChanged;
    constexpr std::size_t maxLoggedFaults = 16; ///< Of one configuration, so that the log stays bounded.
    const auto &faults = entry.value->faults;
    for (std::size_t index = 0; index < std::min(faults.size(), maxLoggedFaults); ++index)
        m_events.record(Severity::Warning, core::events::gatewayConfigPartRefused,
                        "object=" + core::logValue(entry.name) + " version=" + std::to_string(m_configVersion)
                            + " faults=" + std::to_string(faults.size()) + " reason=" + core::logValue(faults[index]));
    for (const core::BackendService &service : entry.value->services) {
        if (service.isSharded)
            serviceOf(service.name).longestRequest = core::longestRequestTime(*entry.value, service.name);
    }
    reportConfigReceived();
    m_pendingConfig = *entry.value;
    handOver();
}

void GatewayControl::targetChanged(const edges::FeedEntry<core::RegisteredTarget> &entry)
{
    const core::Time now = bootTime();
    if (entry.value) {
        const core::RegisteredTarget *known = m_registry.find(entry.name);
        const bool isNews = known == nullptr || known->identity != entry.value->identity
            || known->isDraining != entry.value->isDraining;
        const std::string detail = "target=" + core::logValue(entry.name)
            + " service=" + core::logValue(entry.value->service) + " address=" + core::logValue(entry.value->address)
            + " born=" + std::to_string(entry.value->identity.incarnation);
        const bool isNewlyCold = entry.value->warmupLeft > core::Duration(0)
            && (known == nullptr || known->identity != entry.value->identity || known->warmupLeft == core::Duration(0));
        if (isNewlyCold && m_coldTargets.permitRate(entry.value->service) > 0)
            m_events.record(Severity::Info, core::events::targetCold,
                            "target=" + core::logValue(entry.name) + " service=" + core::logValue(entry.value->service)
                                + " left_ms=" + std::to_string(milliseconds(entry.value->warmupLeft))
                                + " rate=" + std::to_string(m_coldTargets.permitRate(entry.value->service)));
        if (!m_registry.put(*entry.value, now))
            m_events.record(Severity::Info, core::events::targetEntryOutdated,
                            detail + " sequence=" + std::to_string(entry.value->sequence));
        else if (isNews)
            m_events.record(Severity::Info,
                            entry.value->isDraining ? core::events::targetDraining : core::events::targetRegistered,
                            detail);
    } else {
        if (!entry.fault.empty())
            m_events.record(Severity::Warning, core::events::targetEntryRefused,
                            "target=" + core::logValue(entry.name) + " reason=" + core::logValue(entry.fault));
        const core::Time completeAt = m_targetFeed.completeAt();
        if (m_registry.remove(entry.name, now, completeAt))
            m_events.record(Severity::Info, core::events::targetVanished,
                            "target=" + core::logValue(entry.name)
                                + " complete_ago_ms=" + std::to_string(milliseconds(now - completeAt))
                                + " may_have_lapsed=" + (m_registry.mayLapse(now) ? "true" : "false"));
    }
    // Once for all entries of a response, and by the timer if others follow closely: each publication costs time for
    // every target.
    if (!hasLists() || now - m_publishedAt < core::controlStep || std::exchange(m_isPublicationScheduled, true))
        return;
    boost::asio::post(m_worker.context(), [this] {
        m_isPublicationScheduled = false;
        publishTargets();
    });
}

/// Takes in the end of a watch's call; true when the store is back after an outage, which the other watch should know.
bool GatewayControl::reached(bool isReachable, const std::string &detail)
{
    m_metrics.storeWatches.Increment();
    if (isReachable)
        m_registry.storeReconnected(bootTime());
    else
        m_registry.storeDisconnected();
    if (isReachable == m_isReachable)
        return false;
    m_isReachable = isReachable;
    m_events.record(isReachable ? Severity::Info : Severity::Warning,
                    isReachable ? core::events::platformReachable : core::events::platformUnreachable,
                    "detail=" + core::logValue(detail));
    return isReachable;
}

/// Takes in the store's era from wherever it was told, before anything else of that answer or message.
void GatewayControl::eraSeen(core::StoreEra era)
{
    if (era <= m_era)
        return;
    const core::StoreEra before = std::exchange(m_era, era);
    const bool isFirst = before == 0 && !m_hasTargets;
    m_events.record(isFirst ? Severity::Info : Severity::Warning, core::events::storeEraSeen,
                    "era=" + std::to_string(era) + " before=" + std::to_string(before));
    m_roster.eraSeen(era);
    if (!isFirst) {
        m_registry.eraChanged(bootTime());
        m_evacuations.eraChanged();
    }
    m_configs.eraSeen(era);
    m_targetFeed.eraSeen(era);
    if (m_evacuationFeed)
        m_evacuationFeed->eraSeen(era);
    for (const auto &[name, service] : m_services)
        run(name, core::StoreEraSeen{era});
    if (isFirst)
        return;
    const auto spread = [this] {
        return std::chrono::milliseconds(
            std::uniform_int_distribution<std::chrono::milliseconds::rep>(0, reenterSpread.count())(m_random));
    };
    if (m_hasEntered && bootTime() - m_enteredAt < core::maxCopyAge)
        callAfter(m_enterTimer, spread(), [this] { enter(); });
    callAfter(m_relistTimer, relistDelay + spread(), [this] {
        listPeers();
        if (m_registry.hasOutdatedRemovals())
            m_targetFeed.listAnew();
    });
}

GatewayControl::Service &GatewayControl::serviceOf(const std::string &name)
{
    Service &service = m_services[name];
    if (service.owners.service.empty())
        service.owners.service = name;
    return service;
}

void GatewayControl::onTimer()
{
    const core::Time begin = bootTime();
    reportLateness(begin, std::exchange(m_tickDue, begin + core::controlStep));
    reportControlWork(begin);
    m_timer.expires_after(core::controlStep);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            onTimer();
    });
    shareWatches();
    handOver();
    if (hasLists())
        publishTargets();
    const core::Time now = bootTime();
    tellLeaving(now);
    carryOut(m_quarantines.tick(now), m_self.id);
    for (auto &[name, service] : m_services) {
        if (!m_hasEntered || !hasLists() || (m_isResigning && service.control == nullptr))
            continue;
        if (service.control == nullptr) {
            service.control = std::make_unique<core::RangeControl>(
                name, m_self, now, core::timingForRequests(service.longestRequest), m_settings.isFirstStart);
            run(name, core::StoreEraSeen{m_era});
            std::vector<core::PeerDaemon> peers;
            for (const auto &[id, peer] : m_peers)
                peers.push_back(peer.daemon);
            run(name, core::ControlPeers{std::move(peers), m_settings.linkMbps});
            run(name, core::ControlTargets{m_leaving.markDraining(name, knownTargets(now))});
        }
        run(name, core::ControlTick{});
    }
    m_hasResigned.store(m_isResigning && std::all_of(m_services.begin(), m_services.end(), [](const auto &entry) {
                            return entry.second.control == nullptr || entry.second.control->isStopped();
                        }));
}

void GatewayControl::run(const std::string &service, const core::ControlEvent &event)
{
    Service &state = serviceOf(service);
    if (state.control == nullptr)
        return;
    countEvent(service, event);
    for (const core::ControlEffect &effect : state.control->handle(event, bootTime()))
        std::visit([this, &service](const auto &concrete) { act(service, concrete); }, effect);
}

void GatewayControl::act(const std::string &service, const core::ReadOwnership &)
{
    m_metrics.storeReads.Increment();
    m_platform->ownership().read(service, [this, service, asked = bootTime()](const edges::OwnershipReply &reply) {
        eraSeen(reply.era);
        if (reply.outcome == edges::StoreOutcome::Ok || reply.outcome == edges::StoreOutcome::Missing)
            run(service, core::OwnershipRead{reply.record, reply.revision, asked, reply.era});
        else
            run(service, core::OwnershipCallFailed{false});
    });
}

void GatewayControl::act(const std::string &service, const core::WriteOwnership &effect)
{
    m_metrics.storeWrites.Increment();
    m_platform->ownership().write(
        service, effect.record, effect.expectedRevision,
        [this, service, asked = bootTime(), write = effect.write](const edges::OwnershipReply &reply) {
            eraSeen(reply.era);
            if (reply.outcome == edges::StoreOutcome::Ok)
                run(service, core::OwnershipWritten{reply.revision, asked, reply.era, write});
            else if (reply.outcome == edges::StoreOutcome::Conflict && reply.record)
                run(service, core::OwnershipConflict{*reply.record, reply.revision, reply.era, write});
            else
                run(service, core::OwnershipCallFailed{true});
        });
}

void GatewayControl::act(const std::string &service, const core::RangeOrder &effect)
{
    const core::RegisteredTarget *known = m_registry.find(effect.target);
    const auto target = known == nullptr || known->address != effect.address ? core::TargetIdentity() : known->identity;
    m_platform->orders().send(effect,
                              [this, service, order = effect.order, target](core::OrderEndKind end,
                                                                            const std::string &handover,
                                                                            const core::TargetNotice &notice) {
                                  if (!target.id.empty() && !notice.isEmpty())
                                      m_tellTraffic(GatewayTargetNotice{service, target, notice});
                                  if (!target.id.empty() && notice.isLeaving)
                                      takeLeaving(service, target);
                                  run(service, core::OrderEnded{order, end, handover, notice.rateLimit});
                              });
}

void GatewayControl::act(const std::string &service, const core::ConnectTarget &effect)
{
    m_platform->orders().connect(effect.address, [this, service, address = effect.address](bool isOpen) {
        run(service, core::TargetConnected{address, isOpen});
    });
}

void GatewayControl::act(const std::string &, const core::AnnounceOwners &effect)
{
    const core::RangeOwners &before = serviceOf(effect.owners.service).owners;
    // Who missed the announcement before asks for the whole.
    if (!before.ranges.empty())
        sendToAll(core::changeBetween(before, effect.owners));
    else
        sendToAll(effect.owners);
    takeOwners(effect.owners, m_self.id);
}

void GatewayControl::act(const std::string &, const core::SendHeartbeat &effect)
{
    if (!m_hasEntered)
        return;
    core::ControllerHeartbeat beat = effect.heartbeat;
    const std::string plain = protocol::encode({m_self, beat});
    beat.wantsAck = true;
    const std::string acknowledged = protocol::encode({m_self, beat});
    for (const auto &[id, peer] : m_peers)
        sendDatagram(peer, effect.acknowledgers.contains(id) ? acknowledged : plain);
}

void GatewayControl::act(const std::string &, const core::SendHeartbeatAck &effect)
{
    send(effect.to, effect.ack);
}

void GatewayControl::act(const std::string &, const core::SendResignation &effect)
{
    send(effect.to, effect.message);
}

void GatewayControl::act(const std::string &, const core::ControlLogEntry &effect)
{
    m_events.record(Severity::Info, effect.event, effect.detail);
}

void GatewayControl::take(const ServiceKeyLoad &report)
{
    const Service &service = serviceOf(report.service);
    if (service.control != nullptr && service.control->isController())
        run(report.service, report.report);
    else if (!service.controller.empty())
        send(service.controller, protocol::LoadMessage{report.service, report.report.requests, report.report.slowness});
}

void GatewayControl::take(const core::OwnerRefused &report)
{
    const Service &service = serviceOf(report.service);
    if (service.control != nullptr && service.control->isController())
        run(report.service, core::KeyRefused{report.target, report.key});
    else if (!service.controller.empty())
        send(service.controller, protocol::RefusedMessage{report.service, report.target, report.key});
}

void GatewayControl::takeOwners(const core::RangeOwners &owners, const std::string &from)
{
    Service &service = serviceOf(owners.service);
    if (!owners.isNewerThan(service.owners))
        return;
    service.owners = owners;
    service.controller = from;
    m_events.record(Severity::Info, core::events::ownersAnnounced,
                    "service=" + core::logValue(owners.service) + " from=" + core::logValue(from)
                        + " term=" + std::to_string(owners.term) + " sequence=" + std::to_string(owners.sequence)
                        + " ranges=" + std::to_string(owners.ranges.size()));
    reportEvacuated(owners.service);
    service.areOwnersPending = true;
    handOver();
}

} // namespace sardinehinge::daemon
