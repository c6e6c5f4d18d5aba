#include <sardinehinge/core/requestrouter.h>

#include <sardinehinge/core/sharding.h>

#include <algorithm>
#include <utility>

namespace sardinehinge::core {

namespace {

constexpr std::size_t allocatorCandidates = 3; ///< Daemons that can act as a target's slot allocator.
constexpr Duration fallbackAllocatorDuration = 5s;
constexpr int durationSmoothingFactor = 16; ///< A new sample has the weight 1/16.

const char *describe(AttemptEnd end) noexcept
{
    switch (end) {
    case AttemptEnd::Answered:
        return "answered";
    case AttemptEnd::Shed:
        return "the target has no free slot";
    case AttemptEnd::NotOwner:
        return "the target doesn't hold the key's shard";
    case AttemptEnd::Draining:
        return "the target is draining";
    case AttemptEnd::NothingSent:
        return "could not connect to the target";
    case AttemptEnd::AnswerLost:
        return "no response from the target";
    case AttemptEnd::AnswerTruncated:
        return "the response from the target was truncated";
    case AttemptEnd::LeaseLost:
        return "the target lost the lease of the key's shard during the request";
    }
    return "unknown";
}

ErrorCode codeOf(AttemptEnd end) noexcept
{
    switch (end) {
    case AttemptEnd::Shed:
        return ErrorCode::Overloaded;
    case AttemptEnd::NotOwner:
        return ErrorCode::NoOwner;
    case AttemptEnd::Draining:
    case AttemptEnd::NothingSent:
        return ErrorCode::TargetUnreachable;
    case AttemptEnd::AnswerTruncated:
        return ErrorCode::AnswerTruncated;
    case AttemptEnd::LeaseLost:
        return ErrorCode::LeaseLost;
    case AttemptEnd::Answered:
    case AttemptEnd::AnswerLost:
        break;
    }
    return ErrorCode::AnswerLost;
}

} // namespace

RequestRouter::RequestRouter(std::uint64_t seed, RouterLimits limits)
    : m_limits(limits)
    , m_random(seed)
{
}

RequestRouter::Effects RequestRouter::handle(const RouterEvent &event, Time now)
{
    m_now = std::max(m_now, now);
    m_effects.clear();
    std::visit([this](const auto &typed) { onEvent(typed); }, event);
    for (const std::string &target : std::exchange(m_changedQueues, {}))
        sendSlotDemand(m_queues.at(target), target);
    return std::exchange(m_effects, {});
}

std::uint32_t RequestRouter::inFlightAt(const std::string &target) const noexcept
{
    const auto found = m_queues.find(target);
    return found == m_queues.end() ? 0 : found->second.running();
}

std::map<std::uint32_t, double> RequestRouter::takeLoad(const ServiceId &service)
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? std::map<std::uint32_t, double>{} : std::exchange(found->second.load, {});
}

void RequestRouter::onEvent(const RequestArrived &event)
{
    const RequestHead &head = event.head;
    if (auto error = routingError(head))
        return rejectAsNotRun(head.id, std::move(*error));
    Service &service = m_services[head.service];
    Request request = makeRequest(head, service);
    service.load[request.shard] += 1;
    service.retryTokens = std::min(m_limits.maxRetryTokens, service.retryTokens + m_limits.retryTokensPerRequest);
    route(m_requests.insert_or_assign(head.id, std::move(request)).first->second);
}

std::optional<Error> RequestRouter::routingError(const RequestHead &head) const
{
    const std::string step = "route";
    if (!m_workspaces.contains(head.service.workspace))
        return Error{ErrorCode::UnknownWorkspace, step, {}, "no workspace " + head.service.workspace};
    const auto found = m_services.find(head.service);
    if (found == m_services.end() || !found->second.spec)
        return Error{ErrorCode::UnknownService, step, {}, "no service " + toString(head.service)};
    if (found->second.isShuttingDown)
        return Error{ErrorCode::ShuttingDown, step, {}, "workspace " + head.service.workspace + " is shutting down"};
    const bool isKeyed = found->second.spec->division != Division::None;
    if (isKeyed && !head.key && !head.shard)
        return Error{ErrorCode::MissingKey, step, {}, "service " + toString(head.service) + " requires a key"};
    return std::nullopt;
}

RequestRouter::Request RequestRouter::makeRequest(const RequestHead &head, Service &service)
{
    const ServiceSpec &spec = *service.spec;
    const EndpointRule &rule = ruleFor(spec, head.path);
    Request request;
    request.head = head;
    request.isKeyed = spec.division != Division::None;
    request.shard = head.shard ? *head.shard : shardOf(spec, head.key.value_or(std::string()));
    request.isIdempotent = rule.idempotent;
    // The default rule isn't in the list and gets the index after the last rule.
    const auto begin = spec.endpoints.data();
    const bool isListed = &rule >= begin && &rule < begin + spec.endpoints.size();
    request.ruleIndex = isListed ? static_cast<std::size_t>(&rule - begin) : spec.endpoints.size();
    const bool isMeasuredLong = service.meanDurations[request.ruleIndex] > m_limits.longWorkThreshold;
    request.workClass = isMeasuredLong ? WorkClass::Long : rule.workClass;
    request.arrived = m_now;
    request.deadline = m_now + std::min(rule.deadline, head.timeout.value_or(rule.deadline));
    return request;
}

RequestRouter::Service *RequestRouter::serviceOf(const ServiceId &id)
{
    const auto found = m_services.find(id);
    return found == m_services.end() || !found->second.spec ? nullptr : &found->second;
}

TargetQueue &RequestRouter::queueOf(const std::string &target, const ServiceSpec &spec)
{
    return m_queues.try_emplace(target, target, spec.slotsPerTarget, spec.longSlotsPerTarget, m_limits.queue)
        .first->second;
}

/// Returns the target for the next attempt of a request, or nullptr if none is known.
const Instance *RequestRouter::chooseTarget(const Request &request, Service &service, std::uint64_t &epoch)
{
    if (request.isKeyed) {
        if (request.shard >= service.assignment.shards.size())
            return nullptr;
        const ShardOwner &owner = service.assignment.shards[request.shard];
        epoch = owner.epoch;
        return findTarget(service, owner.target);
    }
    // The better of two random choices (Mitzenmacher, 2001): it avoids sending all requests to the same idle target.
    std::vector<const Instance *> usable;
    for (const Instance &target : service.targets) {
        if (!target.leaving && target.id != request.target)
            usable.push_back(&target);
    }
    if (usable.empty())
        return findTarget(service, request.target);
    std::uniform_int_distribution<std::size_t> pick(0, usable.size() - 1);
    const Instance *first = usable[pick(m_random)];
    const Instance *second = usable[pick(m_random)];
    const auto relativeLoad = [&](const Instance *target) {
        const TargetQueue &queue = queueOf(target->id, *service.spec);
        return static_cast<double>(queue.waiting() + queue.running()) / queue.limit();
    };
    return relativeLoad(second) < relativeLoad(first) ? second : first;
}

void RequestRouter::route(Request &request)
{
    Service *service = serviceOf(request.head.service);
    if (service == nullptr)
        return failRequest(request, {ErrorCode::UnknownService, "route", {}, "the service was removed"});
    std::uint64_t epoch = 0;
    const Instance *target = chooseTarget(request, *service, epoch);
    if (target == nullptr) {
        request.lastError = {ErrorCode::NoOwner, "route", {}, "the key's shard has no known owner"};
        return scheduleRetry(request, m_limits.ownerRetryDelay);
    }
    enqueue(request, target->id);
}

void RequestRouter::enqueue(Request &request, const std::string &target)
{
    TargetQueue &queue = queueOf(target, *m_services[request.head.service].spec);
    const bool isTooLate = m_now + queue.expectedWait() + queue.meanDuration() >= request.deadline;
    // Short bursts may queue. During sustained overload, queueing more requests would only lengthen every wait.
    const bool isOverloaded = request.workClass == WorkClass::Short && queue.isOverloaded(m_now);
    if (queue.waiting() >= m_limits.maxQueuedPerTarget || isTooLate || isOverloaded)
        return failRequest(request,
                           {ErrorCode::Overloaded, "queue", target, "the request queue of the target is overloaded"});
    request.phase = Phase::Queued;
    request.target = target;
    queue.push(request.head.id, request.head.caller, request.workClass, m_now);
    m_changedQueues.insert(target);
    startQueued(target);
}

void RequestRouter::startQueued(const std::string &target)
{
    const auto found = m_queues.find(target);
    if (found == m_queues.end())
        return;
    while (const auto id = found->second.takeNext(m_now)) {
        m_changedQueues.insert(target);
        Request &request = m_requests.at(*id);
        // A request that can't finish before its deadline would occupy a slot and end with an unknown outcome.
        if (m_now + found->second.meanDuration() / 2 >= request.deadline) {
            found->second.finished(request.workClass, false, m_now);
            failExpired(request);
            continue;
        }
        Service *service = serviceOf(request.head.service);
        std::uint64_t epoch = 0;
        const Instance *chosen = service == nullptr ? nullptr : findTarget(*service, target);
        if (chosen != nullptr && request.isKeyed) {
            const ShardOwner &owner = service->assignment.shards.at(request.shard);
            epoch = owner.epoch;
            if (owner.target != target)
                chosen = nullptr;
        }
        if (chosen != nullptr) {
            start(request, *chosen, epoch);
            continue;
        }
        // The owner changed while the request waited.
        found->second.finished(request.workClass, false, m_now);
        scheduleRetry(request, 0ms);
    }
}

void RequestRouter::start(Request &request, const Instance &target, std::uint64_t epoch)
{
    request.phase = Phase::InFlight;
    request.sentAt = m_now;
    request.epoch = epoch;
    ++request.attempt;
    m_effects.push_back(StartAttempt{request.head.id,
                                     request.attempt,
                                     target.id,
                                     target.address,
                                     {request.shard, epoch},
                                     request.isKeyed,
                                     request.deadline});
}

const Instance *RequestRouter::findTarget(const Service &service, const std::string &id) noexcept
{
    const auto found = std::find_if(service.targets.begin(), service.targets.end(),
                                    [&id](const Instance &target) { return target.id == id; });
    return found == service.targets.end() ? nullptr : &*found;
}

void RequestRouter::onEvent(const AttemptFinished &event)
{
    if (const auto abandoned = m_abandonedAttempts.find({event.id, event.attempt});
        abandoned != m_abandonedAttempts.end()) {
        const auto [target, workClass] = abandoned->second;
        m_abandonedAttempts.erase(abandoned);
        releaseSlot(target, workClass, false);
        return startQueued(target);
    }
    const auto found = m_requests.find(event.id);
    if (found == m_requests.end() || found->second.attempt != event.attempt || found->second.phase != Phase::InFlight)
        return;
    Request &request = found->second;
    const std::string target = request.target;
    releaseSlot(target, request.workClass, event.end == AttemptEnd::Shed);
    if (event.end == AttemptEnd::Answered)
        completeRequest(request);
    else
        handleFailedAttempt(request, event.end);
    startQueued(target);
}

void RequestRouter::completeRequest(Request &request)
{
    if (Service *service = serviceOf(request.head.service))
        recordDuration(*service, request, m_now - request.sentAt);
    if (!request.hasCallerDisconnected)
        m_effects.push_back(ForwardResponse{request.head.id, request.attempt});
    removeRequest(request.head.id);
}

void RequestRouter::handleFailedAttempt(Request &request, AttemptEnd end)
{
    if (request.hasCallerDisconnected)
        return removeRequest(request.head.id);
    request.phase = Phase::Waiting;
    request.lastError = Error{codeOf(end), "target", request.target, describe(end)};
    request.mayHaveRun = request.mayHaveRun || !isCertainlyNotRun(end);
    if (!isCertainlyNotRun(end) && !request.isIdempotent)
        return failRequest(request, request.lastError);
    Service *service = serviceOf(request.head.service);
    // The target has released its shards permanently, so a retry would only delay the caller.
    if (isCertainlyNotRun(end) && service != nullptr && service->isShuttingDown)
        return failRequest(request,
                           {ErrorCode::ShuttingDown, "target", request.target, "the workspace is shutting down"});
    // The retry budget limits retry amplification under overload. Requests to an unreachable owner or refused before
    // they started add no load, so they wait for an owner or a slot until the deadline.
    const bool isNotOwner = end == AttemptEnd::NotOwner;
    const bool isShed = end == AttemptEnd::Shed;
    const bool isOwnerUnreachable = end == AttemptEnd::NothingSent && request.isKeyed;
    const bool isExemptFromBudget = isNotOwner || isShed || isOwnerUnreachable;
    if (!isExemptFromBudget && (service == nullptr || !consumeRetryToken(*service)))
        return failRequest(request, request.lastError);
    if (isShed && request.isKeyed) {
        request.phase = Phase::Queued;
        m_queues.at(request.target).pushFront(request.head.id, request.head.caller, request.workClass, m_now);
        m_changedQueues.insert(request.target);
        return;
    }
    scheduleRetry(request, isNotOwner ? m_limits.ownerRetryDelay : m_limits.connectRetryDelay);
}

void RequestRouter::recordDuration(Service &service, const Request &request, Duration taken)
{
    Duration &mean = service.meanDurations[request.ruleIndex];
    mean = mean == 0ms ? taken : mean + (taken - mean) / durationSmoothingFactor;
    if (request.workClass == WorkClass::Short)
        queueOf(request.target, *service.spec).recordDuration(taken);
}

void RequestRouter::onEvent(const CallerDisconnected &event)
{
    const auto found = m_requests.find(event.id);
    if (found == m_requests.end())
        return;
    Request &request = found->second;
    if (request.phase != Phase::InFlight) {
        if (request.phase == Phase::Queued) {
            m_queues.at(request.target).remove(event.id, request.head.caller, request.workClass);
            m_changedQueues.insert(request.target);
        }
        return removeRequest(event.id);
    }
    request.hasCallerDisconnected = true;
    m_effects.push_back(CancelAttempt{event.id, request.attempt});
}

void RequestRouter::onEvent(const RouterTick &)
{
    std::vector<RequestId> due;
    std::vector<RequestId> expired;
    for (auto &[id, request] : m_requests) {
        if (request.phase == Phase::InFlight)
            continue; // The adapter ends attempts at their deadline.
        if (m_now >= request.deadline)
            expired.push_back(id);
        else if (request.phase == Phase::Waiting && m_now >= request.retryAt)
            due.push_back(id);
    }
    // Request ids increase with arrival; sorting gives a deterministic order.
    std::sort(due.begin(), due.end());
    std::sort(expired.begin(), expired.end());
    for (const RequestId id : expired)
        expireRequest(m_requests.at(id));
    for (const RequestId id : due) {
        if (const auto found = m_requests.find(id); found != m_requests.end())
            route(found->second);
    }
    std::vector<std::string> targets;
    for (const auto &[target, queue] : m_queues) {
        if (queue.waiting() != 0)
            targets.push_back(target);
    }
    std::sort(targets.begin(), targets.end());
    for (const std::string &target : targets)
        startQueued(target);
    for (auto &[target, queue] : m_queues) {
        if (queue.needsReporting())
            m_changedQueues.insert(target);
    }
}

void RequestRouter::onEvent(const SlotsGranted &event)
{
    const auto found = m_queues.find(event.grant.target);
    if (found == m_queues.end())
        return;
    found->second.take(event.grant, m_now);
    startQueued(event.grant.target);
}

void RequestRouter::sendSlotDemand(TargetQueue &queue, const std::string &target)
{
    if (auto demand = queue.takeDueDemand(m_now))
        m_effects.push_back(SendSlotDemand{allocatorFor(target, queue), std::move(*demand)});
}

/// Returns the daemon that allocates the target's slots: the first by rendezvous rank. If the allocator is silent, the
/// next candidate replaces it for fallbackAllocatorDuration, or until that candidate is silent for allocatorTimeout.
std::string RequestRouter::allocatorFor(const std::string &target, const TargetQueue &queue)
{
    if (m_daemons.empty())
        return {};
    auto &[index, until] = m_fallbackAllocators[target];
    if (m_now >= until)
        index = 0;
    if (queue.isAllocatorSilent(m_now) && m_now + fallbackAllocatorDuration - until > m_limits.queue.allocatorTimeout) {
        index = (index + 1) % std::min(allocatorCandidates, m_daemons.size());
        until = m_now + fallbackAllocatorDuration;
    }
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (const std::string &daemon : m_daemons)
        ranked.emplace_back(rendezvousRank(target, daemon), daemon);
    std::nth_element(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(index), ranked.end());
    return ranked[index].second;
}

void RequestRouter::expireRequest(Request &request)
{
    if (request.phase == Phase::Queued) {
        m_queues.at(request.target).remove(request.head.id, request.head.caller, request.workClass);
        m_changedQueues.insert(request.target);
    }
    failExpired(request);
}

void RequestRouter::failExpired(Request &request)
{
    // The last error, if any, explains the wait better than a generic deadline error.
    const bool hasCause = !request.lastError.detail.empty();
    failRequest(request,
                hasCause ? request.lastError
                         : Error{ErrorCode::DeadlineExceeded, "queue", request.target,
                                 "deadline exceeded while waiting for a slot"});
}

void RequestRouter::releaseSlot(const std::string &target, WorkClass workClass, bool wasShed)
{
    const auto queue = m_queues.find(target);
    if (queue == m_queues.end())
        return;
    queue->second.finished(workClass, wasShed, m_now);
    m_changedQueues.insert(target);
}

void RequestRouter::scheduleRetry(Request &request, Duration wait)
{
    request.phase = Phase::Waiting;
    request.retryAt = m_now + wait;
    if (request.retryAt >= request.deadline)
        request.retryAt = request.deadline;
}

bool RequestRouter::consumeRetryToken(Service &service) noexcept
{
    if (service.retryTokens < 1)
        return false;
    service.retryTokens -= 1;
    return true;
}

/// Ends a request without a response; reports it as not run only if no attempt may have been executed.
void RequestRouter::failRequest(Request &request, const Error &error)
{
    const RequestId id = request.head.id;
    m_effects.push_back(FailRequest{id, !request.mayHaveRun, error});
    removeRequest(id);
}

void RequestRouter::rejectAsNotRun(RequestId id, Error error)
{
    m_effects.push_back(FailRequest{id, true, std::move(error)});
}

void RequestRouter::removeRequest(RequestId id)
{
    m_requests.erase(id);
}

} // namespace sardinehinge::core
