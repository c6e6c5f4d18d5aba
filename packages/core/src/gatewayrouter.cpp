#include <sardinehinge/core/gatewayrouter.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace sardinehinge::core {

namespace {

/// A request without any time bound of its own is given up after this long.
constexpr Duration longestTimeout = std::chrono::seconds(60);
/// Samples over which the usual latency of a service and of a route is smoothed.
constexpr int normSamples = 20;
/// Lower bound of the usual latency, so that ratios to it exist.
constexpr Duration shortestNorm = std::chrono::microseconds(100);

TargetSign signOf(AttemptEnd end, bool isServerError) noexcept
{
    if (end == AttemptEnd::Answered)
        return isServerError ? TargetSign::Failed : TargetSign::Served;
    if (end == AttemptEnd::Shed || end == AttemptEnd::Draining)
        return TargetSign::Shed;
    return end == AttemptEnd::NothingSent ? TargetSign::Unreachable : TargetSign::Failed;
}

} // namespace

GatewayRouter::GatewayRouter(std::uint64_t seed, std::string failureDomain, GatewayLimits limits)
    : m_limits(limits)
    , m_failureDomain(std::move(failureDomain))
    , m_random(seed)
{
}

GatewayRouter::Effects GatewayRouter::take()
{
    return std::exchange(m_effects, {});
}

bool GatewayRouter::setConfig(const GatewayConfig &config)
{
    if (m_configVersion && config.version <= *m_configVersion)
        return false;
    m_configVersion = config.version;
    m_routes = RouteTable(config);
    m_sharded.clear();
    for (const BackendService &service : config.services) {
        m_sharded[service.name] = service.isSharded;
        serviceOf(service.name).isSharded = service.isSharded;
    }
    return true;
}

GatewayRouter::Service &GatewayRouter::serviceOf(const std::string &name)
{
    return m_services[name];
}

bool GatewayRouter::isSharded(const std::string &service) const
{
    const auto found = m_sharded.find(service);
    return found != m_sharded.end() && found->second;
}

const RangeOwners *GatewayRouter::owners(const std::string &service) const noexcept
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second.owners;
}

std::size_t GatewayRouter::waitingRequests() const noexcept
{
    std::size_t count = 0;
    for (const auto &[name, service] : m_services)
        count += service.waiting.size();
    return count;
}

GatewayRouter::Effects GatewayRouter::setTargets(const std::vector<RegisteredTarget> &targets, Time now)
{
    std::map<std::string, std::map<std::string, const RegisteredTarget *>> byService;
    for (const RegisteredTarget &target : targets)
        byService[target.service][target.identity.id] = &target;
    for (const auto &[name, entries] : byService)
        serviceOf(name);
    for (auto &[name, service] : m_services) {
        const auto &entries = byService[name];
        std::erase_if(service.targets, [&entries = entries](const auto &known) {
            const auto found = entries.find(known.first);
            return found == entries.end() || found->second->identity != known.second.entry.identity;
        });
        for (const auto &[id, entry] : entries) {
            Target &target = service.targets[id];
            target.entry = *entry;
            target.warmUntil = now + entry->warmupLeft;
        }
        dispatchWaiting(name, now);
    }
    return take();
}

GatewayRouter::Effects GatewayRouter::setOwners(const RangeOwners &owners, Time now)
{
    Service &service = serviceOf(owners.service);
    if (!service.owners.ranges.empty() && !owners.isNewerThan(service.owners))
        return {};
    service.owners = owners;
    dispatchWaiting(owners.service, now);
    return take();
}

GatewayRouter::Effects GatewayRouter::arrive(const GatewayRequest &head, Time now)
{
    Request &request = m_requests[head.id];
    request.head = head;
    request.arrived = now;
    if (!m_configVersion) {
        refuse(request, GatewayFault::NoConfiguration, "no configuration is known yet", retryAfter(request, 500ms));
        return take();
    }
    const RouteRule *route = m_routes.find(head.host, head.path);
    if (route == nullptr) {
        refuse(request, GatewayFault::NoRoute, "no route of configuration " + std::to_string(*m_configVersion), 0ms);
        return take();
    }
    request.route = std::make_shared<const RouteRule>(*route);
    Duration allowed = head.callerTimeout.value_or(longestTimeout);
    if (route->timeout > 0ms)
        allowed = std::min(allowed, route->timeout);
    request.deadline = now + allowed;
    request.waitUntil = now + std::chrono::duration_cast<Duration>(m_limits.waitShare * route->aim);
    request.service = route->parts.at(m_splits[route->name].next(route->parts)).service;
    Service &service = serviceOf(request.service);
    service.budget.addRequest(now);
    if (isSharded(request.service)) {
        if (!head.key || *head.key > lastKey) {
            refuse(request, GatewayFault::MissingKey, request.service + " is divided by key", 0ms);
            return take();
        }
        ++service.keyLoad[*head.key];
    }
    dispatch(request, now);
    return take();
}

GatewayRouter::Placement GatewayRouter::place(const Request &request, Service &service, Time now)
{
    return isSharded(request.service) ? placeByKey(request, service, now) : placeByCost(request, service, now);
}

GatewayRouter::Placement GatewayRouter::placeByKey(const Request &request, Service &service, Time now)
{
    const RoutedRange *range = service.owners.find(*request.head.key);
    if (range != nullptr && range->state == RangeState::Moving)
        return {nullptr, GatewayFault::NoOwner, true};
    if (range == nullptr || range->owner.empty() || range->state == RangeState::OwnerLost)
        return {nullptr, GatewayFault::NoOwner, false};
    const auto target = service.targets.find(range->owner);
    if (target == service.targets.end())
        return {nullptr, GatewayFault::NoOwner, true};
    if (target->second.score.isEjected(now) && target->second.score.inFlight() != 0)
        return {nullptr, GatewayFault::NoOwner, false};
    if (isDisowned(target->second) && now < target->second.nextTry)
        return {nullptr, GatewayFault::NoOwner, false};
    if (!target->second.score.hasRoom())
        return {nullptr, GatewayFault::Overloaded, true};
    return {&target->second, GatewayFault::NoOwner, false};
}

GatewayRouter::Placement GatewayRouter::placeByCost(const Request &request, Service &service, Time now)
{
    Target *best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    bool isAnyUsable = false;
    std::uniform_real_distribution<double> jitter(1.0, 1.1);
    for (auto &[id, target] : service.targets) {
        if (target.entry.isDraining || (request.attempts != 0 && id == request.target))
            continue;
        const TargetScore &score = target.score;
        if (score.isEjected(now))
            continue;
        isAnyUsable = true;
        if (!score.hasRoom())
            continue;
        const bool isRemote = target.entry.failureDomain != m_failureDomain;
        const double cost = score.cost(isRemote, now < target.warmUntil, now) * jitter(m_random);
        if (cost < bestCost) {
            bestCost = cost;
            best = &target;
        }
    }
    if (best == nullptr && !isAnyUsable) {
        // All are out: the one whose turn comes first gets the request rather than nobody.
        for (auto &[id, target] : service.targets) {
            if (!target.entry.isDraining && target.score.inFlight() == 0 && id != request.target)
                best = &target;
        }
    }
    return {best, isAnyUsable ? GatewayFault::Overloaded : GatewayFault::NoTarget, isAnyUsable};
}

void GatewayRouter::dispatch(Request &request, Time now)
{
    Service &service = serviceOf(request.service);
    const Placement placement = place(request, service, now);
    if (placement.target != nullptr && now >= request.notBefore && waitingAhead(service, request) == 0)
        return send(request, *placement.target, now);
    waitOrRefuse(request, placement.target != nullptr ? Placement{nullptr, GatewayFault::Overloaded, true} : placement,
                 now);
}

/// Requests that wait already, at least as urgent, for the same target or for any target of the service.
std::size_t GatewayRouter::waitingAhead(const Service &service, const Request &request) const
{
    std::size_t ahead = 0;
    for (const RequestId id : service.waiting) {
        if (id == request.head.id)
            break;
        const Request &other = m_requests.at(id);
        if (other.route->priority > request.route->priority)
            break;
        if (isSharded(request.service)) {
            const RoutedRange *mine = service.owners.find(*request.head.key);
            const RoutedRange *theirs = service.owners.find(*other.head.key);
            if (mine == nullptr || theirs == nullptr || mine->owner != theirs->owner)
                continue;
        }
        ++ahead;
    }
    return ahead;
}

void GatewayRouter::waitOrRefuse(Request &request, const Placement &placement, Time now)
{
    Service &service = serviceOf(request.service);
    const Duration aim = request.route->aim;
    if (!placement.mayPass || waitingRequests() >= m_limits.waiting) {
        const Duration base = placement.fault == GatewayFault::NoOwner ? m_limits.awayRetry : aim;
        return refuse(request, placement.fault, "not served now", retryAfter(request, base));
    }
    if (placement.fault == GatewayFault::NoOwner)
        request.waitUntil = std::max(request.waitUntil, request.arrived + m_limits.ownerWait);
    if (placement.fault == GatewayFault::Overloaded) {
        double room = 0;
        if (isSharded(request.service)) {
            const RoutedRange *range = service.owners.find(*request.head.key);
            const auto owner = range == nullptr ? service.targets.end() : service.targets.find(range->owner);
            room = owner == service.targets.end() ? 0 : owner->second.score.limit();
        } else {
            for (const auto &[id, target] : service.targets)
                room += target.entry.isDraining ? 0 : target.score.limit();
        }
        const double ahead = static_cast<double>(waitingAhead(service, request)) + 1;
        const double wait = ahead * static_cast<double>(service.norm.count()) / std::max(room, 1.0);
        if (wait > static_cast<double>((request.waitUntil - now).count())) {
            return refuse(request, GatewayFault::Overloaded, std::to_string(static_cast<int>(ahead)) + " wait ahead",
                          retryAfter(request, aim));
        }
    }
    request.isWaiting = true;
    const auto position = std::find_if(service.waiting.begin(), service.waiting.end(), [&](RequestId id) {
        return m_requests.at(id).route->priority > request.route->priority;
    });
    service.waiting.insert(position, request.head.id);
}

void GatewayRouter::unqueue(Request &request)
{
    if (!request.isWaiting)
        return;
    std::erase(serviceOf(request.service).waiting, request.head.id);
    request.isWaiting = false;
}

void GatewayRouter::send(Request &request, Target &target, Time now)
{
    request.target = target.entry.identity.id;
    request.sentAt = now;
    request.isSent = true;
    ++request.attempts;
    target.score.started();
    target.nextTry = now + m_limits.disownedPause;
    m_effects.emplace_back(SendToTarget{request.head.id, request.attempts, target.entry.identity, request.service,
                                        target.entry.address, request.deadline - now, request.route->isIdempotent});
}

void GatewayRouter::dispatchWaiting(const std::string &serviceName, Time now)
{
    Service &service = serviceOf(serviceName);
    const std::vector<RequestId> waiting = service.waiting;
    for (const RequestId id : waiting) {
        Request &request = m_requests.at(id);
        if (now < request.notBefore)
            continue;
        const Placement placement = place(request, service, now);
        if (placement.target != nullptr) {
            unqueue(request);
            send(request, *placement.target, now);
        } else if (!placement.mayPass) {
            unqueue(request);
            refuse(request, placement.fault, "not served now",
                   retryAfter(request,
                              placement.fault == GatewayFault::NoOwner ? m_limits.awayRetry : request.route->aim));
        }
    }
}

void GatewayRouter::learn(Request &request, const GatewayAttemptEnd &end, Time now)
{
    Service &service = serviceOf(request.service);
    const auto target = service.targets.find(request.target);
    const Duration taken = now - request.sentAt;
    Duration &routeNorm = service.routeNorms.try_emplace(request.route->name, taken).first->second;
    if (end.end == AttemptEnd::Answered && !end.isServerError) {
        service.norm += (taken - service.norm) / normSamples;
        routeNorm = std::max<Duration>(routeNorm + ((taken - routeNorm) / normSamples), shortestNorm);
    }
    if (target == service.targets.end())
        return;
    if (end.end == AttemptEnd::NotOwner && isSharded(request.service)) {
        target->second.score.dropped();
        ++target->second.keyRefusals;
        return;
    }
    target->second.keyRefusals = 0;
    target->second.score.finished(signOf(end.end, end.isServerError), taken, request.route->aim, routeNorm, now);
}

bool GatewayRouter::mayRepeat(Request &request, AttemptEnd end, bool isServerError, Time now)
{
    const bool isNotRun = isCertainlyNotRun(end);
    if (end == AttemptEnd::Answered && !isServerError)
        return false;
    if (!isNotRun && !request.route->isIdempotent)
        return false;
    if (request.attempts >= request.route->maxAttempts && end != AttemptEnd::NotOwner && end != AttemptEnd::NothingSent)
        return false;
    if (isSharded(request.service)) {
        // A full owner stays full, and one that refuses all keys is no owner: nobody else may run the request.
        const auto &targets = serviceOf(request.service).targets;
        const auto owner = targets.find(request.target);
        if (end == AttemptEnd::Shed && !wasShedWithoutQueue(request, end))
            return false;
        if (owner != targets.end() && isDisowned(owner->second))
            return false;
    }
    constexpr std::uint32_t mostSends = 4;
    if (request.attempts >= mostSends || request.deadline - now < request.route->aim / 8)
        return false;
    return end == AttemptEnd::NothingSent || serviceOf(request.service).budget.spend(m_limits.retries, m_daemons, now);
}

bool GatewayRouter::wasShedWithoutQueue(const Request &request, AttemptEnd end)
{
    const auto &targets = serviceOf(request.service).targets;
    const auto target = targets.find(request.target);
    return end == AttemptEnd::Shed && target != targets.end() && !target->second.score.isQueueing();
}

void GatewayRouter::repeat(Request &request, AttemptEnd end, Time now)
{
    Service &service = serviceOf(request.service);
    const bool isKeyed = isSharded(request.service);
    request.waitUntil = now + std::chrono::duration_cast<Duration>(m_limits.waitShare * request.route->aim);
    if (isKeyed) {
        request.notBefore = now + m_limits.refusedOwnerWait;
        request.waitUntil = now + m_limits.ownerWait;
        if (end == AttemptEnd::NotOwner)
            m_effects.emplace_back(OwnerRefused{request.service, request.target, *request.head.key});
    }
    const Placement placement = place(request, service, now);
    if (placement.target != nullptr && now >= request.notBefore)
        return send(request, *placement.target, now);
    waitOrRefuse(request, placement.target != nullptr ? Placement{nullptr, GatewayFault::NoOwner, true} : placement,
                 now);
}

GatewayRouter::Effects GatewayRouter::finish(const GatewayAttemptEnd &end, Time now)
{
    const auto found = m_requests.find(end.id);
    if (found == m_requests.end() || !found->second.isSent || found->second.attempts != end.attempt)
        return {};
    Request &request = found->second;
    const std::string service = request.service;
    request.isSent = false;
    request.lastEnd = end.end;
    learn(request, end, now);
    if (!isCertainlyNotRun(end.end))
        request.mayHaveRun = true;
    if (mayRepeat(request, end.end, end.isServerError, now)) {
        repeat(request, end.end, now);
    } else if (end.end == AttemptEnd::Answered) {
        m_effects.emplace_back(ForwardAnswer{end.id, end.attempt});
        forget(end.id);
    } else if (request.mayHaveRun) {
        endSent(request, now >= request.deadline ? GatewayFault::TimedOut : GatewayFault::AnswerLost,
                "no answer from " + request.target);
    } else if (end.end == AttemptEnd::NotOwner) {
        if (isSharded(service))
            m_effects.emplace_back(OwnerRefused{service, request.target, request.head.key.value_or(0)});
        refuse(request, GatewayFault::NoOwner, request.target + " does not own the key", retryAfter(request, 200ms));
    } else if (end.end == AttemptEnd::NothingSent) {
        refuse(request, GatewayFault::NoTarget, request.target + " is unreachable", retryAfter(request, 200ms));
    } else {
        const bool isPartial = isSharded(service) && wasShedWithoutQueue(request, end.end);
        refuse(request, GatewayFault::Overloaded, request.target + (isPartial ? " sheds without a queue" : " is full"),
               retryAfter(request, isPartial ? m_limits.shedRetry : request.route->aim));
    }
    dispatchWaiting(service, now);
    return take();
}

GatewayRouter::Effects GatewayRouter::callerLeft(RequestId id, Time now)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return {};
    Request &request = found->second;
    const std::string service = request.service;
    unqueue(request);
    if (request.isSent) {
        // Work that may not run twice goes on: its caller can't know whether it ran, and stopping it settles nothing.
        if (request.route->isIdempotent)
            m_effects.emplace_back(CancelSend{id, request.attempts});
        if (const auto target = serviceOf(service).targets.find(request.target);
            target != serviceOf(service).targets.end())
            target->second.score.dropped();
    }
    forget(id);
    dispatchWaiting(service, now);
    return take();
}

GatewayRouter::Effects GatewayRouter::tick(Time now)
{
    std::vector<RequestId> late;
    for (const auto &[id, request] : m_requests) {
        const bool isTimedOut = request.isSent && now >= request.deadline + m_limits.timeoutGrace;
        if (isTimedOut || (request.isWaiting && now >= std::min(request.waitUntil, request.deadline)))
            late.push_back(id);
    }
    std::sort(late.begin(), late.end());
    for (const RequestId id : late) {
        Request &request = m_requests.at(id);
        if (request.isWaiting) {
            unqueue(request);
            refuse(request,
                   request.attempts != 0 || isSharded(request.service) ? GatewayFault::NoOwner
                                                                       : GatewayFault::Overloaded,
                   "waited in vain", retryAfter(request, request.route->aim));
            continue;
        }
        if (const auto target = serviceOf(request.service).targets.find(request.target);
            target != serviceOf(request.service).targets.end())
            target->second.score.finished(TargetSign::Failed, now - request.sentAt, request.route->aim, shortestNorm,
                                          now);
        m_effects.emplace_back(CancelSend{id, request.attempts});
        endSent(request, GatewayFault::TimedOut, request.target + " did not answer in time");
    }
    for (auto &[name, service] : m_services) {
        if (!service.waiting.empty())
            dispatchWaiting(name, now);
    }
    return take();
}

Duration GatewayRouter::retryAfter(const Request &, Duration base)
{
    // Spread, so that those refused together don't come back together.
    std::uniform_real_distribution<double> spread(0.6, 1.4);
    return std::chrono::duration_cast<Duration>(base * spread(m_random));
}

void GatewayRouter::refuse(Request &request, GatewayFault fault, const std::string &detail, Duration retryAfter)
{
    m_effects.emplace_back(EndRequest{request.head.id, fault, request.mayHaveRun, retryAfter, detail});
    forget(request.head.id);
}

void GatewayRouter::endSent(Request &request, GatewayFault fault, const std::string &detail)
{
    m_effects.emplace_back(EndRequest{request.head.id, fault, true, 0ms, detail});
    forget(request.head.id);
}

void GatewayRouter::forget(RequestId id)
{
    m_requests.erase(id);
}

std::map<std::uint32_t, std::uint32_t> GatewayRouter::takeKeyLoad(const std::string &service)
{
    return std::exchange(serviceOf(service).keyLoad, {});
}

std::map<std::string, double> GatewayRouter::takeSlowness(const std::string &service)
{
    std::map<std::string, double> slowness;
    for (auto &[id, target] : serviceOf(service).targets) {
        if (const auto mean = target.score.takeMeanSlowness())
            slowness[id] = *mean;
    }
    return slowness;
}

} // namespace sardinehinge::core
