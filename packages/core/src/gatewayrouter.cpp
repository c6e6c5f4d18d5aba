#include <sardinehinge/core/gatewayrouter.h>

#include <algorithm>
#include <utility>

namespace sardinehinge::core {

namespace {

/// Applies to requests whose caller sets no timeout.
constexpr Duration defaultCallerTimeout = std::chrono::seconds(60);
/// Number of samples over which the baseline latencies of services and routes are smoothed.
constexpr int baselineSamples = 20;
/// Keeps ratios to the baseline finite.
constexpr Duration minBaselineLatency = std::chrono::microseconds(100);

TargetObservation observationOf(AttemptEnd end, bool isServerError) noexcept
{
    if (end == AttemptEnd::Answered)
        return isServerError ? TargetObservation::Failed : TargetObservation::Served;
    if (end == AttemptEnd::Shed || end == AttemptEnd::Draining)
        return TargetObservation::Shed;
    return end == AttemptEnd::NothingSent ? TargetObservation::Unreachable : TargetObservation::Failed;
}

} // namespace

GatewayRouter::GatewayRouter(std::uint64_t seed, std::string failureDomain, GatewayLimits limits)
    : m_limits(limits)
    , m_failureDomain(std::move(failureDomain))
    , m_random(seed)
{
}

GatewayRouter::Effects GatewayRouter::takeEffects()
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
    const auto [found, isNew] = m_services.try_emplace(name);
    if (isNew)
        found->second.spill.setCrossingPrice(m_limits.crossingPrice);
    return found->second;
}

void GatewayRouter::setLimits(const GatewayLimits &limits)
{
    m_limits = limits;
    for (auto &[name, service] : m_services)
        service.spill.setCrossingPrice(limits.crossingPrice);
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

std::size_t GatewayRouter::queuedRequests() const noexcept
{
    std::size_t count = 0;
    for (const auto &[name, service] : m_services)
        count += service.queue.size();
    return count;
}

GatewayRouter::Effects GatewayRouter::setOwners(const RangeOwners &owners, Time now)
{
    Service &service = serviceOf(owners.service);
    if (!service.owners.ranges.empty() && !owners.isNewerThan(service.owners))
        return {};
    service.owners = owners;
    dispatchQueued(owners.service, now);
    return takeEffects();
}

GatewayRouter::Effects GatewayRouter::requestArrived(const GatewayRequest &head, Time now)
{
    Request &request = m_requests[head.id];
    request.head = head;
    request.arrived = now;
    if (m_lastAdmission && now >= *m_lastAdmission) {
        rejectStopping(request);
        return takeEffects();
    }
    if (!m_configVersion) {
        reject(request, GatewayError::NoConfiguration, "no configuration has been received yet",
               retryAfter(request, 500ms));
        return takeEffects();
    }
    const RouteRule *route = m_routes.find(head.host, head.path);
    if (route == nullptr) {
        reject(request, GatewayError::NoRoute, "no route matches in configuration " + std::to_string(*m_configVersion),
               0ms);
        return takeEffects();
    }
    request.route = std::make_shared<const RouteRule>(*route);
    if (route->isUnreadable) {
        reject(request, GatewayError::NoConfiguration,
               "this route cannot be read in configuration " + std::to_string(*m_configVersion),
               retryAfter(request, 500ms));
        return takeEffects();
    }
    if (const Time end = quarantineEnd(head.fingerprint, now); end != 0ms) {
        rejectQuarantined(request, end, now);
        return takeEffects();
    }
    Duration allowed = head.callerTimeout.value_or(defaultCallerTimeout);
    if (route->timeout > 0ms)
        allowed = std::min(allowed, route->timeout);
    if (allowed <= 0ms) {
        reject(request, GatewayError::TimedOut, "the caller's time has passed", 0ms);
        return takeEffects();
    }
    request.deadline = now + allowed;
    request.queueDeadline
        = now + std::chrono::duration_cast<Duration>(m_limits.queueTimeFraction * route->latencyObjective);
    request.service = route->services.at(m_splits[route->name].next(route->services)).service;
    Service &service = serviceOf(request.service);
    service.budget.addRequest(now);
    if (isSharded(request.service)) {
        if (!head.key || *head.key > lastKey) {
            reject(request, GatewayError::MissingKey, request.service + " is sharded and requires a valid key", 0ms);
            return takeEffects();
        }
        ++service.keyLoad[*head.key];
    }
    const std::string serviceName = request.service; // The request may end.
    dispatch(request, now);
    askPermits(serviceName, now);
    return takeEffects();
}

void GatewayRouter::dispatch(Request &request, Time now)
{
    Service &service = serviceOf(request.service);
    const TargetChoice choice = chooseTarget(request, service, now);
    if (choice.target != nullptr && now >= request.earliestSend && queuedAhead(service, request) == 0)
        return send(request, *choice.target, now);
    queueOrReject(request, choice.target != nullptr ? TargetChoice{nullptr, GatewayError::Overloaded, true} : choice,
                  now);
}

/// Returns the number of queued requests of at least this priority that precede the request: those for the same owner
/// if the service is sharded, else all of the service.
std::size_t GatewayRouter::queuedAhead(const Service &service, const Request &request) const
{
    std::size_t ahead = 0;
    for (const RequestId id : service.queue) {
        if (id == request.head.id)
            break;
        const Request &other = m_requests.at(id);
        if (other.route->priority > request.route->priority)
            break;
        if (isSharded(request.service)) {
            const RoutedRange *ownRange = service.owners.find(*request.head.key);
            const RoutedRange *otherRange = service.owners.find(*other.head.key);
            if (ownRange == nullptr || otherRange == nullptr || ownRange->owner != otherRange->owner)
                continue;
        }
        ++ahead;
    }
    return ahead;
}

void GatewayRouter::queueOrReject(Request &request, const TargetChoice &choice, Time now)
{
    Service &service = serviceOf(request.service);
    if (!choice.isTransient || queuedRequests() >= m_limits.maxQueuedRequests) {
        return reject(request, choice.error, "the request cannot be served now",
                      rejectionDelay(request, choice.error, now));
    }
    if (choice.error == GatewayError::NoOwner)
        request.queueDeadline = std::max(request.queueDeadline, request.arrived + m_limits.handoverWait);
    if (choice.error == GatewayError::Overloaded) {
        double capacity = 0;
        if (isSharded(request.service)) {
            const RoutedRange *range = service.owners.find(*request.head.key);
            const auto owner = range == nullptr ? service.targets.end() : service.targets.find(range->owner);
            capacity = owner == service.targets.end() ? 0 : owner->second.state.score().limit();
        } else {
            for (const auto &[id, target] : service.targets)
                capacity += target.state.isStaying() ? target.state.score().limit() : 0;
        }
        const double queuePosition = static_cast<double>(queuedAhead(service, request)) + 1;
        const double quietLeft = static_cast<double>(std::max(choice.availableAt - now, Duration(0)).count());
        const double wait = quietLeft
            + (queuePosition * static_cast<double>(service.baselineLatency.count()) / std::max(capacity, 1.0));
        if (wait > static_cast<double>((request.queueDeadline - now).count())) {
            return reject(request, GatewayError::Overloaded,
                          "the expected wait at queue position " + std::to_string(static_cast<int>(queuePosition))
                              + " is too long",
                          rejectionDelay(request, GatewayError::Overloaded, now));
        }
    }
    request.isQueued = true;
    const auto position = std::find_if(service.queue.begin(), service.queue.end(), [&](RequestId id) {
        return m_requests.at(id).route->priority > request.route->priority;
    });
    service.queue.insert(position, request.head.id);
}

void GatewayRouter::dequeue(Request &request)
{
    if (!request.isQueued)
        return;
    std::erase(serviceOf(request.service).queue, request.head.id);
    request.isQueued = false;
}

void GatewayRouter::send(Request &request, Target &target, Time now)
{
    request.target = target.entry.identity.id;
    request.incarnation = target.entry.identity.incarnation;
    request.sentAt = now;
    request.isSent = true;
    ++request.attempts;
    target.state.requestSent(now);
    target.nextProbe = now + m_limits.nonOwnerProbeInterval;
    m_effects.emplace_back(SendToTarget{request.head.id, request.attempts, target.entry.identity, request.service,
                                        target.entry.address, request.deadline - now, request.route->isIdempotent,
                                        target.locality});
}

void GatewayRouter::dispatchQueued(const std::string &serviceName, Time now)
{
    Service &service = serviceOf(serviceName);
    const std::vector<RequestId> queued = service.queue;
    for (const RequestId id : queued) {
        Request &request = m_requests.at(id);
        if (now < request.earliestSend)
            continue;
        const TargetChoice choice = chooseTarget(request, service, now);
        if (choice.target != nullptr) {
            dequeue(request);
            send(request, *choice.target, now);
        } else if (!choice.isTransient) {
            dequeue(request);
            reject(request, choice.error, "the request cannot be served now",
                   rejectionDelay(request, choice.error, now));
        }
    }
}

void GatewayRouter::recordResult(Request &request, const GatewayAttemptEnd &end, Time now)
{
    Service &service = serviceOf(request.service);
    const auto target = service.targets.find(request.target);
    const Duration taken = now - request.sentAt;
    Duration &routeBaseline = service.routeBaselines.try_emplace(request.route->name, taken).first->second;
    if (end.end == AttemptEnd::Answered && !end.isServerError) {
        service.baselineLatency += (taken - service.baselineLatency) / baselineSamples;
        routeBaseline
            = std::max<Duration>(routeBaseline + ((taken - routeBaseline) / baselineSamples), minBaselineLatency);
    }
    if (target == service.targets.end())
        return;
    if (end.end == AttemptEnd::Answered && !end.notice.rateLimit)
        reportBeliefs(request.service, target->second.entry.identity,
                      target->second.state.answeredWithoutLimit(request.sentAt, now));
    // The request may have been withdrawn, which says nothing about the target.
    const TargetState &state = target->second.state;
    if (end.end == AttemptEnd::NothingSent
        && (state.isQuiet(now) || (!isSharded(request.service) && !state.isStaying())))
        return target->second.state.score().attemptDiscarded();
    if (end.end == AttemptEnd::NotOwner && isSharded(request.service)) {
        target->second.state.score().attemptDiscarded();
        ++target->second.notOwnerCount;
        return;
    }
    target->second.notOwnerCount = 0;
    if (!isSharded(request.service))
        recordSpill(request, target->second, end, taken, now);
    target->second.state.score().attemptFinished(observationOf(end.end, end.isServerError), taken,
                                                 request.route->latencyObjective, routeBaseline, now);
    if (end.notice.load)
        target->second.state.loadReported(*end.notice.load, now);
}

bool GatewayRouter::tryClaimRetry(Request &request, AttemptEnd end, bool isServerError, Time now)
{
    const bool isNotRun = isCertainlyNotRun(end);
    if (end == AttemptEnd::Answered && !isServerError)
        return false;
    if (!isNotRun && !request.route->isIdempotent)
        return false;
    // A request whose response was lost twice in succession may be what ends its targets.
    if (!isNotRun && request.wasSuspect)
        return false;
    if (quarantineEnd(request.head.fingerprint, now) != 0ms)
        return false;
    if (request.attempts >= request.route->maxAttempts && end != AttemptEnd::NotOwner && end != AttemptEnd::NothingSent)
        return false;
    if (isSharded(request.service)) {
        // No other target may run the request. An owner that sheds because it is queueing remains overloaded, and one
        // that refuses all keys won't accept this one.
        const auto &targets = serviceOf(request.service).targets;
        const auto owner = targets.find(request.target);
        if (end == AttemptEnd::Shed && !wasShedWithoutQueue(request, end))
            return false;
        if (owner != targets.end() && isRejectingKeys(owner->second))
            return false;
    }
    if (admissionTime(request, serviceOf(request.service), now) > std::min(now + retryWait(request), request.deadline))
        return false;
    constexpr std::uint32_t maxSends = 4;
    if (request.attempts >= maxSends || request.deadline - now < request.route->latencyObjective / 8)
        return false;
    return end == AttemptEnd::NothingSent
        || serviceOf(request.service).budget.trySpend(retryAllowance(now), m_daemonCount, now);
}

bool GatewayRouter::wasShedWithoutQueue(const Request &request, AttemptEnd end)
{
    const auto &targets = serviceOf(request.service).targets;
    const auto target = targets.find(request.target);
    return end == AttemptEnd::Shed && target != targets.end() && !target->second.state.score().isQueueing();
}

/// Returns how long a request may be queued for its retry.
Duration GatewayRouter::retryWait(const Request &request) const
{
    if (isSharded(request.service))
        return m_limits.handoverWait;
    return std::chrono::duration_cast<Duration>(m_limits.queueTimeFraction * request.route->latencyObjective);
}

void GatewayRouter::retry(Request &request, AttemptEnd end, Time now)
{
    Service &service = serviceOf(request.service);
    request.queueDeadline = now + retryWait(request);
    if (isSharded(request.service)) {
        request.earliestSend = now + m_limits.notOwnerRetryDelay;
        if (end == AttemptEnd::NotOwner)
            m_effects.emplace_back(OwnerRefused{request.service, request.target, *request.head.key});
    }
    const TargetChoice choice = chooseTarget(request, service, now);
    if (choice.target != nullptr && now >= request.earliestSend)
        return send(request, *choice.target, now);
    queueOrReject(request, choice.target != nullptr ? TargetChoice{nullptr, GatewayError::NoOwner, true} : choice, now);
}

GatewayRouter::Effects GatewayRouter::attemptFinished(const GatewayAttemptEnd &end, Time now)
{
    const auto found = m_requests.find(end.id);
    if (found == m_requests.end() || !found->second.isSent || found->second.attempts != end.attempt) {
        abandonedAttemptEnded(end, now);
        return takeEffects();
    }
    Request &request = found->second;
    const std::string service = request.service;
    request.isSent = false;
    request.lastEnd = end.end;
    noteEnd(request, end, now);
    recordResult(request, end, now);
    if (!isCertainlyNotRun(end.end))
        request.mayHaveRun = true;
    if (tryClaimRetry(request, end.end, end.isServerError, now)) {
        retry(request, end.end, now);
    } else if (end.end == AttemptEnd::Answered) {
        m_effects.emplace_back(ForwardAnswer{end.id, end.attempt});
        removeRequest(end.id);
    } else if (request.mayHaveRun) {
        endUncertain(request, now >= request.deadline ? GatewayError::TimedOut : GatewayError::ResponseLost,
                     "no response from " + request.target);
    } else if (end.end == AttemptEnd::NotOwner) {
        if (isSharded(service))
            m_effects.emplace_back(OwnerRefused{service, request.target, request.head.key.value_or(0)});
        reject(request, GatewayError::NoOwner, request.target + " does not own the key", retryAfter(request, 200ms));
    } else if (end.end == AttemptEnd::NothingSent) {
        reject(request, GatewayError::NoTarget, request.target + " is unreachable", retryAfter(request, 200ms));
    } else {
        const bool isShedWithoutQueue = isSharded(service) && wasShedWithoutQueue(request, end.end);
        reject(request, GatewayError::Overloaded,
               request.target + (isShedWithoutQueue ? " shed the request without queueing" : " has no free slot"),
               isShedWithoutQueue && admissionTime(request, serviceOf(service), now) == 0ms
                   ? retryAfter(request, m_limits.shedRetryAfter)
                   : rejectionDelay(request, GatewayError::Overloaded, now));
    }
    dispatchQueued(service, now);
    askPermits(service, now);
    return takeEffects();
}

GatewayRouter::Effects GatewayRouter::callerLeft(RequestId id, Time now)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return {};
    Request &request = found->second;
    const std::string service = request.service;
    dequeue(request);
    if (request.isSent) {
        // A request that isn't idempotent continues: after a cancellation it would still be unknown whether it ran.
        m_effects.emplace_back(CancelSend{id, request.attempts, !request.route->isIdempotent});
        constexpr std::size_t maxAbandoned = 1024;
        if (!request.route->isIdempotent && m_abandoned.size() < maxAbandoned)
            m_abandoned[{id, request.attempts}]
                = {request.head.fingerprint, service, {request.target, request.incarnation}, request.sentAt};
        if (request.route->isIdempotent)
            stoppedWaiting(request, TargetLoss::SilentAtLeave, now);
        if (const auto target = serviceOf(service).targets.find(request.target);
            target != serviceOf(service).targets.end())
            target->second.state.score().attemptDiscarded();
    }
    removeRequest(id);
    dispatchQueued(service, now);
    return takeEffects();
}

GatewayRouter::Effects GatewayRouter::tick(Time now)
{
    std::vector<RequestId> expired;
    for (const auto &[id, request] : m_requests) {
        const bool isTimedOut = request.isSent && now >= request.deadline + m_limits.responseGracePeriod;
        if (isTimedOut || (request.isQueued && now >= std::min(request.queueDeadline, request.deadline)))
            expired.push_back(id);
    }
    std::sort(expired.begin(), expired.end());
    for (const RequestId id : expired) {
        Request &request = m_requests.at(id);
        if (request.isQueued) {
            dequeue(request);
            reject(request, isSharded(request.service) ? GatewayError::NoOwner : GatewayError::Overloaded,
                   "no target became available in time", rejectionDelay(request, GatewayError::Overloaded, now));
            continue;
        }
        if (const auto target = serviceOf(request.service).targets.find(request.target);
            target != serviceOf(request.service).targets.end())
            target->second.state.score().attemptFinished(TargetObservation::Failed, now - request.sentAt,
                                                         request.route->latencyObjective, minBaselineLatency, now);
        m_effects.emplace_back(CancelSend{id, request.attempts});
        stoppedWaiting(request, TargetLoss::SilentAtDeadline, now);
        endUncertain(request, GatewayError::TimedOut, request.target + " did not respond in time");
    }
    for (auto &[name, service] : m_services) {
        if (service.queue.empty())
            continue;
        dispatchQueued(name, now);
        askPermits(name, now);
    }
    return takeEffects();
}

Duration GatewayRouter::retryAfter(const Request &, Duration base)
{
    // Jitter keeps callers that were rejected together from retrying together.
    std::uniform_real_distribution<double> spread(0.6, 1.4);
    return std::chrono::duration_cast<Duration>(base * spread(m_random));
}

Duration GatewayRouter::rejectionDelay(const Request &request, GatewayError error, Time now)
{
    const Duration objective = request.route->latencyObjective;
    if (const Time end = admissionTime(request, serviceOf(request.service), now); end > now) {
        // Callers come back after that time, over a while in which the targets are let serve them.
        std::uniform_real_distribution<double> spread(0, 1);
        return end - now + std::chrono::duration_cast<Duration>(objective * spread(m_random));
    }
    return retryAfter(request, error == GatewayError::NoOwner ? m_limits.lostOwnerRetryAfter : objective);
}

void GatewayRouter::reject(Request &request, GatewayError error, const std::string &detail, Duration retryAfter)
{
    m_effects.emplace_back(EndWithError{request.head.id, error, request.mayHaveRun, retryAfter, detail});
    removeRequest(request.head.id);
}

void GatewayRouter::endUncertain(Request &request, GatewayError error, const std::string &detail)
{
    m_effects.emplace_back(EndWithError{request.head.id, error, true, 0ms, detail});
    removeRequest(request.head.id);
}

void GatewayRouter::removeRequest(RequestId id)
{
    m_requests.erase(id);
}

std::map<std::uint32_t, std::uint32_t> GatewayRouter::takeKeyLoad(const std::string &service)
{
    return std::exchange(serviceOf(service).keyLoad, {});
}

std::map<std::string, double> GatewayRouter::takeRelativeLatencies(const std::string &service)
{
    std::map<std::string, double> latencies;
    for (auto &[id, target] : serviceOf(service).targets) {
        if (const auto mean = target.state.score().takeMeanRelativeLatency())
            latencies[id] = *mean;
    }
    return latencies;
}

} // namespace sardinehinge::core
