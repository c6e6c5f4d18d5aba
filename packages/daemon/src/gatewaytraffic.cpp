#include "gatewaytraffic.h"

#include "gatewaytrafficnames.h"
#include "milliseconds.h"

#include <sardinehinge/core/admission/pipelining.h>
#include <sardinehinge/core/eventnumbers.h>
#include <sardinehinge/core/text.h>

#include <random>

namespace sardinehinge::daemon {

namespace {

/// Entries from the control duty: changes of configuration, targets and owners, which come a few a second.
constexpr std::size_t updateRing = 1024;
/// Timeouts are late by at most this much; finer steps cost wake-ups.
constexpr std::chrono::milliseconds timerStep(20);
/// How often targets are counted by condition.
constexpr std::chrono::milliseconds surveyPeriod(500);
/// Descriptors that aren't for callers: files, the store, peers and connections to targets.
constexpr std::size_t reservedDescriptors = 1200;
/// A caller that reads nothing of its answer for so long is given up.
constexpr std::chrono::seconds writeTime(20);

/// When a caller may come again that found no room for its request.
constexpr std::chrono::seconds noRoomRetryAfter(1);

constexpr int statusNotFound = 404;
constexpr int statusBadRequest = 400;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusTimeout = 504;

/// Ends with the last send that uses it, which may be later than its caller's request.
struct CountedBody
{
    CountedBody(std::string bodyText, std::shared_ptr<http::ByteShare> byteShare)
        : text(std::move(bodyText))
        , share(std::move(byteShare))
    {
    }

    std::string text;
    std::shared_ptr<http::ByteShare> share;
};

/// 503 promises that the request has not run and never will; the others promise nothing.
int statusOf(const core::EndWithError &end)
{
    if (end.error == core::GatewayError::NoRoute)
        return statusNotFound;
    if (end.error == core::GatewayError::MissingKey)
        return statusBadRequest;
    if (!end.mayHaveRun)
        return statusUnavailable;
    return end.error == core::GatewayError::TimedOut ? statusTimeout : statusBadGateway;
}

std::string secondsText(core::Duration duration)
{
    // Seconds with two decimals: callers take fractions.
    const std::int64_t hundredths = std::max<std::int64_t>(milliseconds(duration) / 10, 1);
    const std::string fraction = std::to_string(hundredths % 100);
    return std::to_string(hundredths / 100) + "." + (fraction.size() < 2 ? "0" + fraction : fraction);
}

core::GatewayLimits limitsOf(const edges::GatewaySettings &settings)
{
    core::GatewayLimits limits;
    limits.retries = settings.retries;
    limits.targets.drainBound = settings.drainBound;
    limits.adaptsSpill = settings.adaptsSpill;
    limits.crossingPrice = settings.crossingPrice;
    return limits;
}

} // namespace

void GatewayTraffic::ReadyHandler::handle(std::uint64_t, http::Request, std::shared_ptr<http::Responder> responder)
{
    const bool isReady = m_traffic.isReady();
    responder->send(
        {isReady ? 200 : statusUnavailable, {{"Content-Type", "text/plain"}}, isReady ? "ready\n" : "not ready\n"});
}

http::Response GatewayTraffic::ReadyHandler::rejection(int status, const std::string &detail, const std::string &)
{
    return {status, {{"Content-Type", "text/plain"}}, detail + "\n"};
}

GatewayTraffic::GatewayTraffic(const edges::GatewaySettings &settings, std::unique_ptr<edges::RequestDialect> dialect,
                               EventLog &events, Metrics &metrics, std::function<bool(FromTraffic)> tellControl)
    : m_settings(settings)
    , m_dialect(std::move(dialect))
    , m_events(events)
    , m_metrics(metrics)
    , m_tellControl(std::move(tellControl))
    , m_account(settings.heldBytes != 0 ? core::accountLimitsOf(settings.heldBytes)
                                        : core::accountLimitsFor(settings.memoryBytes))
    , m_timer(m_worker.context())
    , m_readyHandler(*this)
    , m_callers(m_worker.context(), *this, serverLimits(), &m_account)
    , m_readiness(m_worker.context(), m_readyHandler)
    , m_client(m_worker.context(), {}, &m_account)
    , m_router(std::random_device()(), settings.failureDomain, limitsOf(settings))
    , m_updates(updateRing, m_worker.waker([this] {
        m_updates.drain(
            [this](const ToTraffic &update) { std::visit([this](const auto &each) { take(each); }, update); });
    }))
{
    m_worker.onError([this](const std::string &detail) {
        m_events.record(Severity::Error, core::events::taskFailed, "duty=traffic detail=" + core::logValue(detail));
    });
    m_router.setDaemonCount(settings.daemons);
    if (!settings.isFirstStart)
        m_router.setRestarted(bootTime());
    m_account.onRefusal([this](core::HeldUse use, const std::string &peer, std::uint64_t bytes, std::uint64_t total) {
        if (const auto suppressed = m_refusalLines.take(bootTime()))
            m_events.record(Severity::Warning, core::events::heldBytesRefused,
                            std::string("use=") + core::heldUseNames.at(static_cast<std::size_t>(use)) + " peer=" + peer
                                + " bytes=" + std::to_string(bytes) + " held=" + std::to_string(total) + " limit="
                                + std::to_string(m_account.limit()) + " suppressed=" + std::to_string(*suppressed));
    });
    for (std::size_t index = 0; index < core::heldUses; ++index) {
        const auto use = static_cast<core::HeldUse>(index);
        m_metrics.addGauge("sardinehinge_held_bytes", "Bytes held for callers and targets by use",
                           {{"use", core::heldUseNames.at(index)}},
                           [this, use] { return static_cast<double>(m_account.bytes(use)); });
        m_metrics.addGauge("sardinehinge_held_refused", "Holders that found no room or lost theirs, since the start",
                           {{"use", core::heldUseNames.at(index)}},
                           [this, use] { return static_cast<double>(m_account.refusals(use)); });
    }
    for (std::size_t index = 0; index < core::targetConditions; ++index)
        m_metrics.addGauge("sardinehinge_targets", "Known targets by condition",
                           {{"condition", conditionNames.at(index)}},
                           [this, index] { return static_cast<double>(m_targetCounts.at(index).load()); });
}

GatewayTraffic::~GatewayTraffic()
{
    m_worker.stop();
}

http::ServerLimits GatewayTraffic::serverLimits() const
{
    http::ServerLimits limits;
    limits.headerBytes = m_bounds.headerBytes;
    limits.bodyBytes = m_bounds.bodyBytes;
    limits.readTimeout = std::max<core::Duration>(m_bounds.headerTimeout, std::chrono::seconds(10));
    limits.idleTimeout = m_bounds.idleTimeout;
    limits.writeTimeout = writeTime;
    limits.connections = m_settings.descriptors > 2 * reservedDescriptors ? m_settings.descriptors - reservedDescriptors
                                                                          : m_settings.descriptors / 2;
    return limits;
}

core::Result<core::Done> GatewayTraffic::start()
{
    if (auto listening = m_readiness.listen(m_settings.readyAddress); core::errorIn(listening) != nullptr)
        return listening;
    auto listening = m_callers.listen(m_settings.callerAddress);
    if (core::errorIn(listening) == nullptr)
        m_worker.start();
    return listening;
}

void GatewayTraffic::applySettings(const edges::GatewaySettings &settings)
{
    boost::asio::post(m_worker.context(), [this, settings] {
        m_settings.retries = settings.retries;
        m_settings.drainBound = settings.drainBound;
        m_router.setLimits(limitsOf(settings));
    });
}

void GatewayTraffic::announceDrain(core::Duration admits)
{
    m_isStopping.store(true);
    m_isReady.store(false);
    boost::asio::post(m_worker.context(), [this, lastAdmission = bootTime() + admits] {
        m_router.setLastAdmission(lastAdmission);
        m_callers.disableKeepAlive();
    });
}

void GatewayTraffic::endRequests()
{
    boost::asio::post(m_worker.context(), [this] { carryOut(m_router.endRequests()); });
}

void GatewayTraffic::drain()
{
    boost::asio::post(m_worker.context(), [this] { m_callers.drain(); });
}

void GatewayTraffic::take(const GatewayConfigUpdate &update)
{
    if (!m_router.setConfig(update.config))
        return;
    m_bounds = update.config.callerLimits;
    m_callers.setLimits(serverLimits());
    m_shardedServices.clear();
    for (const core::BackendService &service : update.config.services) {
        if (service.isSharded)
            m_shardedServices.insert(service.name);
    }
    m_events.record(Severity::Info, core::events::gatewayConfigInForce,
                    "version=" + std::to_string(update.config.version)
                        + " routes=" + std::to_string(update.config.routes.size())
                        + " waited_ms=" + std::to_string(milliseconds(bootTime() - update.sentAt)));
    m_isReady.store(m_hasTargets && !m_isStopping.load());
}

void GatewayTraffic::take(const GatewayTargetsUpdate &update)
{
    m_hasTargets = true;
    const core::Time begin = bootTime();
    reportWait(begin - update.sentAt, begin);
    carryOut(m_router.setTargets(update.targets, begin));
    surveyTargets(bootTime());
    m_isReady.store(m_router.hasConfig() && !m_isStopping.load());
}

void GatewayTraffic::take(const GatewayOwnersUpdate &update)
{
    carryOut(m_router.setOwners(update.owners, bootTime()));
}

void GatewayTraffic::take(const GatewayDaemonsUpdate &update)
{
    m_router.setDaemonCount(std::max(update.count, m_settings.daemons));
}

void GatewayTraffic::take(const GatewayTargetNotice &update)
{
    carryOut(
        m_router.targetNoticed(update.service, update.target, update.notice, core::SignalSource::Order, bootTime()));
}

void GatewayTraffic::take(const core::PermitGrant &grant)
{
    m_metrics.permitsGranted.Increment(grant.count);
    if (grant.retryIn > core::Duration(0))
        m_metrics.permitsDenied.Increment();
    carryOut(m_router.permitsGranted(grant, bootTime()));
}

void GatewayTraffic::take(const core::Quarantine &quarantine)
{
    carryOut(m_router.quarantineChanged(quarantine, bootTime()));
}

bool GatewayTraffic::mayRunBeside(const http::Request &request) const
{
    const std::string host = http::headerValue(request.headers, "Host").value_or(std::string());
    return core::mayRunBesideOthers(m_router.routeFor(host, http::pathOf(request.target)));
}

void GatewayTraffic::handle(std::uint64_t id, http::Request request, std::shared_ptr<http::Responder> responder)
{
    const core::Time now = bootTime();
    edges::CallerHead head = m_dialect->readHead(request);
    head.request.id = id;
    if (head.request.callerTimeout)
        head.request.callerTimeout = std::max(*head.request.callerTimeout - request.waited, core::Duration(0));
    Exchange &exchange = m_exchanges[id];
    if (!request.body.empty()) {
        const auto body = std::make_shared<CountedBody>(std::exchange(request.body, {}), std::move(request.share));
        exchange.body = std::shared_ptr<const std::string>(body, &body->text);
    }
    exchange.message = std::move(request);
    exchange.requestId = std::move(head.requestId);
    exchange.responder = std::move(responder);
    exchange.fingerprint = head.request.fingerprint;
    exchange.arrived = now;
    if (head.request.key)
        exchange.route = " key=" + std::to_string(*head.request.key);
    carryOut(m_router.requestArrived(head.request, now));
    armTimer();
}

void GatewayTraffic::callerDisconnected(std::uint64_t id)
{
    const auto found = m_exchanges.find(id);
    if (found == m_exchanges.end())
        return;
    m_metrics.requestsAbandoned.Increment();
    m_events.record(Severity::Info, core::events::gatewayRequestEnded,
                    "request=" + core::logValue(found->second.requestId) + " end=caller_left after_ms="
                        + std::to_string(milliseconds(bootTime() - found->second.arrived)) + found->second.route);
    carryOut(m_router.callerLeft(id, bootTime()));
    m_exchanges.erase(id);
}

http::Response GatewayTraffic::rejection(int status, const std::string &detail, const std::string &peer)
{
    m_events.record(Severity::Warning, core::events::gatewayRequestEnded,
                    "peer=" + peer + " end=rejected status=" + std::to_string(status)
                        + " reason=" + core::logValue(detail));
    http::Response response{status, {{"Content-Type", "text/plain"}}, detail + "\n"};
    if (status == statusUnavailable)
        response.headers.emplace_back("Retry-After", secondsText(noRoomRetryAfter));
    return response;
}

void GatewayTraffic::carryOut(const core::GatewayRouter::Effects &effects)
{
    for (const core::GatewayEffect &effect : effects)
        std::visit([this](const auto &concrete) { act(concrete); }, effect);
}

void GatewayTraffic::act(const core::SendToTarget &effect)
{
    const auto found = m_exchanges.find(effect.id);
    if (found == m_exchanges.end())
        return;
    Exchange &exchange = found->second;
    exchange.route += " try=" + core::logValue(effect.target.id) + "@"
        + std::to_string(milliseconds(bootTime() - exchange.arrived));
    const http::Request message = m_dialect->forTarget(exchange.message, effect);
    const http::ExchangeOptions options = m_dialect->options(exchange.message, effect);
    const auto id = m_client.send(
        effect.address, message, options,
        [this, request = effect.id, attempt = effect.attempt, service = effect.service, target = effect.target](
            http::ExchangeResult end) { attemptEnded(request, attempt, service, target, std::move(end)); },
        exchange.body);
    exchange.sends[effect.attempt] = id;
    (effect.locality == core::Locality::Home ? m_metrics.sendsHome : m_metrics.sendsAbroad).Increment();
}

void GatewayTraffic::attemptEnded(core::RequestId id, std::uint32_t attempt, const std::string &service,
                                  const core::TargetIdentity &target, http::ExchangeResult end)
{
    core::GatewayAttemptEnd read = m_dialect->readEnd(end);
    read.id = id;
    read.attempt = attempt;
    const auto found = m_exchanges.find(id);
    if (found != m_exchanges.end()) {
        Exchange &exchange = found->second;
        exchange.sends.erase(attempt);
        exchange.route += std::string(" ") + nameOf(read.end) + (read.isServerError ? "_error" : "") + "@"
            + std::to_string(milliseconds(bootTime() - exchange.arrived));
        if (end.outcome == http::ExchangeOutcome::Complete)
            exchange.answer = std::move(end.response);
        else
            exchange.route += " reason=" + core::logValue(end.detail);
    }
    // Also when the caller has left and its request is gone.
    carryOut(m_router.targetNoticed(service, target, read.notice, core::SignalSource::Request, bootTime()));
    carryOut(m_router.attemptFinished(read, bootTime()));
}

void GatewayTraffic::act(const core::CancelSend &effect)
{
    const auto found = m_exchanges.find(effect.id);
    if (found == m_exchanges.end())
        return;
    const auto send = found->second.sends.find(effect.attempt);
    if (send == found->second.sends.end())
        return;
    const auto exchange = send->second; // The callback of a cancelled exchange erases the entry.
    if (effect.isOnlyUnsent)
        m_client.cancelUnsent(exchange);
    else
        m_client.cancel(exchange);
}

void GatewayTraffic::act(const core::ForwardAnswer &effect)
{
    const auto found = m_exchanges.find(effect.id);
    if (found == m_exchanges.end())
        return;
    Exchange exchange = std::move(found->second);
    m_exchanges.erase(found);
    const core::Duration taken = bootTime() - exchange.arrived;
    m_metrics.requestsDone.Increment();
    m_metrics.requestSeconds.Observe(std::chrono::duration<double>(taken).count());
    m_events.record(Severity::Debug, core::events::gatewayRequestEnded,
                    "request=" + core::logValue(exchange.requestId)
                        + " end=answered status=" + std::to_string(exchange.answer.status)
                        + " after_ms=" + std::to_string(milliseconds(taken)) + exchange.route);
    exchange.responder->send(m_dialect->forCaller(std::move(exchange.answer), exchange.message));
}

void GatewayTraffic::act(const core::EndWithError &effect)
{
    const auto found = m_exchanges.find(effect.id);
    if (found == m_exchanges.end())
        return;
    Exchange exchange = std::move(found->second);
    m_exchanges.erase(found);
    const int status = statusOf(effect);
    if (effect.error == core::GatewayError::Quarantined)
        m_metrics.requestsQuarantined.Increment();
    (effect.mayHaveRun ? m_metrics.requestsUnknown : m_metrics.requestsNotRun).Increment();
    m_events.record(Severity::Info, core::events::gatewayRequestEnded,
                    "request=" + core::logValue(exchange.requestId) + " end=" + nameOf(effect.error)
                        + " status=" + std::to_string(status) + " config=" + std::to_string(m_router.configVersion())
                        + " after_ms=" + std::to_string(milliseconds(bootTime() - exchange.arrived))
                        + " retry_after_ms=" + std::to_string(milliseconds(effect.retryAfter)) + " detail=\""
                        + effect.detail + "\" fingerprint=" + toString(exchange.fingerprint) + exchange.route);
    http::Response response{status, {{"Content-Type", "text/plain"}}, std::string(nameOf(effect.error)) + "\n"};
    if (status == statusUnavailable && effect.retryAfter > core::Duration(0))
        response.headers.emplace_back("Retry-After", secondsText(effect.retryAfter));
    exchange.responder->send(m_dialect->ownAnswer(std::move(response), exchange.message));
}

void GatewayTraffic::act(const core::OwnerRefused &effect)
{
    m_tellControl(effect); // A full ring loses it: the next refusal tells again.
}

void GatewayTraffic::act(const core::TargetBelief &effect)
{
    const core::BeliefChange &change = effect.change;
    m_events.record(
        Severity::Info, change.hasBegun ? core::events::targetBeliefBegan : core::events::targetBeliefEnded,
        "target=" + core::logValue(effect.target.id) + " born=" + std::to_string(effect.target.incarnation)
            + " service=" + core::logValue(effect.service) + " signal=" + nameOf(change.signal)
            + " source=" + nameOf(change.source) + (change.hasBegun ? " for_ms=" : " age_ms=")
            + std::to_string(milliseconds(change.time))
            + (change.signal == core::TargetSignal::RateLimit ? " rate=" + std::to_string(change.rate) : ""));
    if (change.signal != core::TargetSignal::Leaving || !change.hasBegun || !m_shardedServices.contains(effect.service))
        return;
    if (!m_tellControl(effect))
        m_untold.push_back(effect);
}

void GatewayTraffic::act(const core::SpillReport &effect)
{
    const core::SpillChange &change = effect.change;
    m_events.record(Severity::Info, change.hasBegun ? core::events::spillBegan : core::events::spillEnded,
                    "service=" + core::logValue(effect.service) + " home_time=" + std::to_string(change.homeTime)
                        + " abroad_time=" + std::to_string(change.abroadTime)
                        + " abroad_age_ms=" + std::to_string(milliseconds(change.abroadAge))
                        + " home_targets=" + std::to_string(change.homeTargets)
                        + (change.hasBegun ? "" : " lasted_ms=" + std::to_string(milliseconds(change.lasted))));
}

void GatewayTraffic::act(const core::AskPermits &effect)
{
    m_tellControl(effect); // A full ring loses it: the router asks again later.
}

void GatewayTraffic::act(const core::ProbeTarget &effect)
{
    m_client.connect(effect.address, [this, effect](http::ConnectOutcome outcome) {
        const char *result = outcome == http::ConnectOutcome::Refused ? "refused"
            : outcome == http::ConnectOutcome::Open                   ? "open"
                                                                      : "failed";
        m_events.record(Severity::Info, core::events::targetProbed,
                        "target=" + core::logValue(effect.target.id)
                            + " born=" + std::to_string(effect.target.incarnation)
                            + " service=" + core::logValue(effect.service) + " connection=" + result);
        carryOut(
            m_router.targetProbed(effect.service, effect.target, outcome == http::ConnectOutcome::Refused, bootTime()));
    });
}

void GatewayTraffic::act(const core::TargetCrashed &effect)
{
    m_tellControl(effect); // A full ring loses it: the next crash counts again.
}

void GatewayTraffic::act(const core::QuarantineRefuted &effect)
{
    m_tellControl(effect); // A full ring loses it: so does the quarantine's end.
}

void GatewayTraffic::armTimer()
{
    if (m_isTimerArmed)
        return;
    m_isTimerArmed = true;
    m_timer.expires_after(timerStep);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        m_isTimerArmed = false;
        if (!error)
            onTimer();
    });
}

void GatewayTraffic::onTimer()
{
    const core::Time now = bootTime();
    if (m_router.activeRequests() != 0)
        armTimer();
    carryOut(m_router.tick(now));
    reportLoad(now);
    if (now - m_lastSurvey >= surveyPeriod)
        surveyTargets(now);
}

} // namespace sardinehinge::daemon
