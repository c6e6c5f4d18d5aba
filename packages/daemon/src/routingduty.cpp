#include "routingduty.h"

#include "errorresponse.h"

#include <sardinehinge/core/eventnumbers.h>
#include <sardinehinge/core/sharding.h>
#include <sardinehinge/edges/ownershipcodec.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <charconv>

namespace sardinehinge::daemon {

namespace {

constexpr std::size_t requestRing = 8192; ///< Full: the caller duty refuses as not run.
constexpr std::size_t updateRing = 4096; ///< Full: the control duty keeps the update and tries again.
constexpr std::size_t slotRing = 16'384; ///< Full: messages are dropped and counted; they are repeated.
constexpr std::chrono::milliseconds tickPeriod{1};
constexpr std::chrono::milliseconds idleTickPeriod{20};
constexpr core::Duration activeTime = std::chrono::milliseconds(300); ///< Counts of slots are reported this long after.
constexpr core::Duration loadPeriod = std::chrono::milliseconds(1000);

/// Header fields that concern one connection only (RFC 9110, 7.6.1) or that only a daemon may set.
bool isForwarded(const std::string &name)
{
    static const std::vector<std::string> dropped
        = {"connection",     "keep-alive",       "te",          "trailer", "upgrade", "transfer-encoding", "host",
           "content-length", "proxy-connection", "x-request-id"};
    std::string lower = name;
    for (char &c : lower)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return std::find(dropped.begin(), dropped.end(), lower) == dropped.end() && !lower.starts_with("sardinehinge-");
}

http::Headers forwardedHeaders(const http::Headers &headers)
{
    http::Headers forwarded;
    for (const auto &[name, value] : headers) {
        if (isForwarded(name))
            forwarded.emplace_back(name, value);
    }
    return forwarded;
}

std::string callerOf(const http::Request &message)
{
    if (auto named = http::headerValue(message.headers, "Sardinehinge-Caller"))
        return *named;
    return message.peer.substr(0, message.peer.rfind(':'));
}

} // namespace

RoutingDuty::RoutingDuty(core::DaemonIdentity self, std::uint64_t seed, EventLog &events, Metrics &metrics,
                         std::function<bool(CallerAnswer)> answer, std::function<bool(RoutingToControl)> tellControl,
                         std::function<bool(OutgoingSlotMessage)> tellPeers)
    : m_self(std::move(self))
    , m_events(events)
    , m_metrics(metrics)
    , m_answer(std::move(answer))
    , m_tellControl(std::move(tellControl))
    , m_tellPeers(std::move(tellPeers))
    , m_timer(m_worker.context())
    , m_client(m_worker.context())
    , m_traffic(m_client)
    , m_router(seed)
    , m_requests(requestRing, m_worker.waker([this] {
        m_requests.drain(
            [this](ToRouting message) { std::visit([this](auto &typed) { take(std::move(typed)); }, message); });
    }))
    , m_updates(updateRing, m_worker.waker([this] {
        m_updates.drain(
            [this](ControlToRouting message) { std::visit([this](auto &typed) { take(std::move(typed)); }, message); });
    }))
    , m_slotMessages(slotRing, m_worker.waker([this] {
        m_slotMessages.drain([this](const IncomingSlotMessage &message) { take(message); });
    }))
{
}

RoutingDuty::~RoutingDuty()
{
    m_worker.stop();
}

void RoutingDuty::start()
{
    armTimer();
    m_worker.start();
}

void RoutingDuty::armTimer()
{
    const core::Time now = bootTime();
    if (m_router.activeRequests() != 0)
        m_lastActive = now;
    const bool isActive = now - m_lastActive < activeTime;
    m_timer.expires_after(isActive ? tickPeriod : idleTickPeriod);
    m_timer.async_wait([this, isActive](const boost::system::error_code &error) {
        if (error)
            return;
        armTimer(); // First, so that a failing tick doesn't end the ticks.
        if (isActive || m_router.activeRequests() != 0)
            run(core::RouterTick{});
        reportLoad();
    });
}

void RoutingDuty::reportLoad()
{
    const core::Time now = bootTime();
    if (now - m_lastLoadReport < loadPeriod)
        return;
    m_lastLoadReport = now;
    for (const auto &[name, spec] : m_workspaces) {
        for (const core::ServiceSpec &service : spec.services) {
            const core::ServiceId id{name, service.name};
            if (auto load = m_router.takeLoad(id); !load.empty() && service.division != core::Division::None)
                m_tellControl(ServiceLoad{id, std::move(load)}); // A report that finds the ring full is dropped.
        }
    }
}

void RoutingDuty::take(CallerRequest request)
{
    core::RequestHead head;
    const auto fault = readHead(request.message, head);
    Exchange exchange;
    exchange.id = request.exchange;
    exchange.requestId = http::headerValue(request.message.headers, edges::requestIdHeader)
                             .value_or(m_self.id + "-" + std::to_string(m_nextPart));
    exchange.service = head.service;
    exchange.arrived = bootTime();
    exchange.message = std::make_shared<const http::Request>(std::move(request.message));
    Exchange &kept = m_exchanges.insert_or_assign(request.exchange, std::move(exchange)).first->second;
    if (m_lastAdmission && bootTime() >= *m_lastAdmission) {
        m_metrics.requestsNotRun.Increment();
        return finishExchange(kept, errorResponse(stopError(), FailureOutcome::NotRun, kept.requestId));
    }
    if (fault) {
        m_metrics.requestsNotRun.Increment();
        return finishExchange(kept, errorResponse(*fault, FailureOutcome::NotRun, kept.requestId));
    }
    std::vector<core::RequestHead> heads = split(head, *kept.message, kept.isRangeRead);
    for (core::RequestHead &part : heads) {
        part.id = m_nextPart++;
        kept.parts.push_back(part.id);
        m_parts.emplace(part.id, Part{kept.id, part.shard.value_or(0), {}, {}});
    }
    // A refusal of the first part may end the exchange, so `kept` must not be used from here on.
    for (const core::RequestHead &part : heads) {
        if (m_parts.contains(part.id))
            run(core::RequestArrived{part});
    }
}

std::optional<core::Error> RoutingDuty::readHead(const http::Request &message, core::RequestHead &head) const
{
    const auto fault = [&message](const char *detail) {
        return core::Error{core::ErrorCode::BadRequest, "route", message.peer, detail};
    };
    std::string_view path = http::pathOf(message.target);
    if (path.empty() || path.front() != '/')
        return fault("the path must be /WORKSPACE/SERVICE/...");
    path.remove_prefix(1);
    const auto workspaceEnd = path.find('/');
    if (workspaceEnd == std::string_view::npos)
        return fault("the path must be /WORKSPACE/SERVICE/...");
    const std::string_view rest = path.substr(workspaceEnd + 1);
    const auto serviceEnd = rest.find('/');
    head.service = {std::string(path.substr(0, workspaceEnd)), std::string(rest.substr(0, serviceEnd))};
    head.path = serviceEnd == std::string_view::npos ? "/" : std::string(rest.substr(serviceEnd));
    head.key = http::headerValue(message.headers, "Sardinehinge-Key");
    if (!head.key)
        head.key = http::queryValue(message.target, "key");
    if (head.key && head.key->empty())
        return core::Error{core::ErrorCode::MissingKey, "route", message.peer, "the key must not be empty"};
    head.caller = callerOf(message);
    if (const auto timeout = http::headerValue(message.headers, edges::deadlineHeader)) {
        std::int64_t milliseconds = 0;
        const char *end = timeout->data() + timeout->size();
        const auto [parsed, error] = std::from_chars(timeout->data(), end, milliseconds);
        if (error != std::errc() || parsed != end || milliseconds < 1 || milliseconds > 600'000)
            return fault("Sardinehinge-Deadline-Ms must be a whole number from 1 to 600000");
        head.timeout = std::chrono::milliseconds(milliseconds);
    }
    return std::nullopt;
}

/// A read with `from` and `to` of a service divided by ranges becomes one part for each shard in between.
std::vector<core::RequestHead> RoutingDuty::split(const core::RequestHead &head, const http::Request &message,
                                                  bool &isRangeRead) const
{
    const auto from = http::queryValue(message.target, "from");
    const auto to = http::queryValue(message.target, "to");
    const auto workspace = m_workspaces.find(head.service.workspace);
    const core::ServiceSpec *service
        = workspace == m_workspaces.end() ? nullptr : core::findService(workspace->second, head.service.service);
    isRangeRead = from && to && service != nullptr && service->division == core::Division::Ranges
        && message.method == "GET" && !head.key;
    if (!isRangeRead || *from > *to)
        return {head};
    std::vector<core::RequestHead> parts;
    const auto [first, last] = core::shardsBetween(*service, *from, *to);
    for (std::uint32_t shard = first; shard <= last; ++shard) {
        parts.push_back(head);
        parts.back().shard = shard;
    }
    return parts;
}

void RoutingDuty::take(const CallerGone &gone)
{
    const auto found = m_exchanges.find(gone.exchange);
    if (found == m_exchanges.end())
        return;
    m_metrics.requestsAbandoned.Increment();
    const std::vector<core::RequestId> parts = found->second.parts;
    m_exchanges.erase(found);
    endParts(parts);
}

void RoutingDuty::take(WorkspaceUpdate update)
{
    if (update.change.spec)
        m_workspaces[update.change.name] = *update.change.spec;
    else
        m_workspaces.erase(update.change.name);
    run(update.change);
    m_tellControl(WorkspaceInForce{update.change.name, update.revision});
}

void RoutingDuty::take(const core::OwnersChanged &change)
{
    run(change);
}

void RoutingDuty::take(const core::TargetsChanged &change)
{
    run(change);
}

void RoutingDuty::run(const core::RouterEvent &event)
{
    for (const core::RouterEffect &effect : m_router.handle(event, bootTime()))
        std::visit([this](const auto &typed) { act(typed); }, effect);
}

void RoutingDuty::act(const core::StartAttempt &effect)
{
    const auto part = m_parts.find(effect.id);
    const auto exchange = part == m_parts.end() ? m_exchanges.end() : m_exchanges.find(part->second.exchange);
    if (exchange == m_exchanges.end())
        return;
    const http::Request &original = *exchange->second.message;
    edges::TargetRequest request;
    request.address = effect.address;
    request.requestId = exchange->second.requestId;
    request.isKeyed = effect.isKeyed;
    request.group = toString(exchange->second.service);
    request.shard = effect.shard;
    request.timeout = std::max<core::Duration>(effect.deadline - bootTime(), std::chrono::milliseconds(1));
    request.message
        = http::Request{original.method, original.target, forwardedHeaders(original.headers), original.body, {}};
    part->second.traffic[effect.attempt] = m_traffic.send(request, [this, effect](edges::TargetAnswer answer) {
        if (const auto found = m_parts.find(effect.id); found != m_parts.end())
            found->second.answer = std::move(answer.response); // Passed on only if this attempt is the one that counts.
        run(core::AttemptFinished{effect.id, effect.attempt, answer.end});
    });
}

void RoutingDuty::act(const core::CancelAttempt &effect)
{
    const auto part = m_parts.find(effect.id);
    if (part == m_parts.end())
        return;
    if (const auto traffic = part->second.traffic.find(effect.attempt); traffic != part->second.traffic.end())
        m_traffic.cancel(traffic->second);
}

void RoutingDuty::act(const core::ForwardResponse &effect)
{
    const auto part = m_parts.find(effect.id);
    if (part != m_parts.end())
        finishPart(effect.id, std::move(part->second.answer));
}

void RoutingDuty::act(const core::FailRequest &effect)
{
    const auto part = m_parts.find(effect.id);
    if (part == m_parts.end())
        return;
    const auto found = m_exchanges.find(part->second.exchange);
    if (found == m_exchanges.end())
        return;
    (effect.notRun ? m_metrics.requestsNotRun : m_metrics.requestsUnknown).Increment();
    Exchange &exchange = found->second;
    if (!effect.notRun)
        m_events.record(Severity::Warning, core::events::requestOutcomeUnknown,
                        exchange.requestId + " at " + effect.error.peer + ": " + effect.error.detail);
    const auto outcome = effect.notRun ? FailureOutcome::NotRun : FailureOutcome::Unknown;
    // One missing part makes the whole range read fail: half an answer is never passed on.
    finishExchange(exchange, errorResponse(effect.error, outcome, exchange.requestId));
}

void RoutingDuty::act(const core::SendSlotDemand &effect)
{
    if (effect.to == m_self.id)
        allocate(m_self, effect.demand);
    else if (!effect.to.empty())
        m_tellPeers({effect.to, effect.demand});
}

void RoutingDuty::take(const IncomingSlotMessage &message)
{
    if (const auto *demand = std::get_if<core::SlotDemand>(&message.message))
        allocate(message.from, *demand);
    else
        run(core::SlotsGranted{std::get<core::SlotGrant>(message.message)});
}

void RoutingDuty::allocate(const core::DaemonIdentity &from, const core::SlotDemand &demand)
{
    for (const core::AddressedGrant &grant : m_allocator.handle(from, demand, bootTime())) {
        if (grant.to == m_self.id)
            run(core::SlotsGranted{grant.grant});
        else
            m_tellPeers({grant.to, grant.grant});
    }
}

void RoutingDuty::finishPart(core::RequestId part, http::Response answer)
{
    const auto found = m_exchanges.find(m_parts.at(part).exchange);
    if (found == m_exchanges.end())
        return;
    Exchange &exchange = found->second;
    exchange.answers[part] = std::move(answer);
    if (exchange.answers.size() < exchange.parts.size())
        return;
    m_metrics.requestsDone.Increment();
    m_metrics.requestSeconds.Observe(std::chrono::duration<double>(bootTime() - exchange.arrived).count());
    http::Response response = exchange.isRangeRead ? joinParts(exchange) : std::move(exchange.answers.begin()->second);
    response.headers = forwardedHeaders(response.headers);
    response.headers.emplace_back(edges::requestIdHeader, exchange.requestId);
    finishExchange(exchange, std::move(response));
}

http::Response RoutingDuty::joinParts(const Exchange &exchange) const
{
    QJsonArray parts;
    for (const auto &[part, answer] : exchange.answers) {
        parts.append(QJsonObject{{"shard", static_cast<qint64>(m_parts.at(part).shard)},
                                 {"status", answer.status},
                                 {"body", QString::fromStdString(answer.body)}});
    }
    const QByteArray body = QJsonDocument(QJsonObject{{"parts", parts}}).toJson(QJsonDocument::Compact);
    return {200, {{"Content-Type", "application/json"}}, body.toStdString()};
}

void RoutingDuty::finishExchange(Exchange &exchange, http::Response response)
{
    const std::uint64_t id = exchange.id;
    const std::vector<core::RequestId> parts = std::move(exchange.parts);
    m_exchanges.erase(id);
    m_answer(CallerAnswer{id, std::move(response)});
    endParts(parts); // The other parts of a range read that failed are of no use any more.
}

void RoutingDuty::setLastAdmission(core::Time time)
{
    boost::asio::post(m_worker.context(), [this, time] { m_lastAdmission = time; });
}

void RoutingDuty::endRequests()
{
    boost::asio::post(m_worker.context(), [this] { endAll(); });
}

void RoutingDuty::endAll()
{
    std::vector<std::uint64_t> ids;
    for (const auto &[id, exchange] : m_exchanges)
        ids.push_back(id);
    for (const std::uint64_t id : ids) {
        const auto found = m_exchanges.find(id);
        if (found == m_exchanges.end())
            continue;
        Exchange &exchange = found->second;
        const bool wasSent = std::any_of(exchange.parts.begin(), exchange.parts.end(), [this](core::RequestId part) {
            const auto sent = m_parts.find(part);
            return sent != m_parts.end() && !sent->second.traffic.empty();
        });
        (wasSent ? m_metrics.requestsUnknown : m_metrics.requestsNotRun).Increment();
        if (wasSent)
            m_events.record(Severity::Warning, core::events::requestOutcomeUnknown,
                            exchange.requestId + ": this daemon ends");
        finishExchange(
            exchange,
            errorResponse(stopError(), wasSent ? FailureOutcome::Unknown : FailureOutcome::NotRun, exchange.requestId));
    }
}

core::Error RoutingDuty::stopError() const
{
    return {core::ErrorCode::ShuttingDown, "stop", m_self.id, "this daemon stops"};
}

/// Forgets parts that nobody waits for; those under way at a target are cancelled there.
void RoutingDuty::endParts(const std::vector<core::RequestId> &parts)
{
    for (const core::RequestId part : parts) {
        run(core::CallerDisconnected{part});
        m_parts.erase(part);
    }
}

} // namespace sardinehinge::daemon
