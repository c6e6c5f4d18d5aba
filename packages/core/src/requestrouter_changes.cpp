#include <sardinehinge/core/requestrouter.h>

#include <algorithm>

// Handles changes of workspaces, owners and targets while requests are in flight.
namespace sardinehinge::core {

void RequestRouter::onEvent(const WorkspaceChanged &event)
{
    for (auto &[id, service] : m_services) {
        if (id.workspace == event.name)
            service.spec.reset();
    }
    if (!event.spec) {
        m_workspaces.erase(event.name);
        return;
    }
    m_workspaces[event.name] = event.spec->state;
    for (const ServiceSpec &spec : event.spec->services) {
        Service &service = m_services[{event.name, spec.name}];
        service.spec = spec;
        service.isShuttingDown = event.spec->state == WorkspaceState::Shutdown;
    }
    m_drained[event.name] = {event.spec->drainedTargets.begin(), event.spec->drainedTargets.end()};
    for (auto &[id, service] : m_services) {
        updateTargets(id, service);
        for (const Instance &target : service.targets) {
            if (service.spec)
                queueOf(target.id, *service.spec)
                    .setSlots(service.spec->slotsPerTarget, service.spec->longSlotsPerTarget);
        }
    }
}

void RequestRouter::onEvent(const OwnersChanged &event)
{
    Service &service = m_services[event.service];
    expectBursts(service, event.assignment);
    service.assignment = event.assignment;
    abandonAttemptsAtLostOwners(event.service);
    reroutePending(event.service);
}

/// Prepares the queues of targets that gain shards for a burst of requests.
void RequestRouter::expectBursts(const Service &service, const Assignment &next)
{
    if (!service.spec)
        return;
    for (std::size_t shard = 0; shard < next.shards.size(); ++shard) {
        const bool isKnown = shard < service.assignment.shards.size();
        const std::string &target = next.shards[shard].target;
        if (isKnown && service.assignment.shards[shard].target != target)
            queueOf(target, *service.spec).expectBurst(m_now);
    }
}

/// Abandons idempotent requests in flight at a failed owner and retries them at the new owner. Non-idempotent requests
/// stay: their response may still arrive, and a retry could execute them twice.
void RequestRouter::abandonAttemptsAtLostOwners(const ServiceId &id)
{
    const Assignment &assignment = m_services[id].assignment;
    for (auto &[requestId, request] : m_requests) {
        const bool isKeyedInFlight = request.phase == Phase::InFlight && request.head.service == id && request.isKeyed;
        if (!isKeyedInFlight || !request.isIdempotent || request.hasCallerDisconnected
            || request.shard >= assignment.shards.size())
            continue;
        const ShardOwner &owner = assignment.shards[request.shard];
        if (!owner.isAfterLoss || owner.epoch <= request.epoch || owner.target == request.target)
            continue;
        m_effects.push_back(CancelAttempt{requestId, request.attempt});
        m_abandonedAttempts.emplace(std::pair(requestId, request.attempt),
                                    std::pair(request.target, request.workClass));
        request.phase = Phase::Waiting;
        request.mayHaveRun = true;
    }
}

/// Reroutes requests that wait for an owner or are queued at a former owner.
void RequestRouter::reroutePending(const ServiceId &service)
{
    const Assignment &assignment = m_services[service].assignment;
    std::vector<RequestId> affected;
    for (auto &[id, request] : m_requests) {
        if (request.head.service != service || request.phase == Phase::InFlight)
            continue;
        const bool isMoved = request.isKeyed && request.shard < assignment.shards.size()
            && assignment.shards[request.shard].target != request.target;
        if (request.phase == Phase::Waiting || isMoved)
            affected.push_back(id);
    }
    std::sort(affected.begin(), affected.end());
    for (const RequestId id : affected) {
        const auto found = m_requests.find(id);
        if (found == m_requests.end())
            continue;
        Request &request = found->second;
        if (request.phase == Phase::Queued) {
            m_queues.at(request.target).remove(id, request.head.caller, request.workClass);
            m_changedQueues.insert(request.target);
            request.phase = Phase::Waiting;
        }
        route(request);
    }
}

void RequestRouter::onEvent(const TargetsChanged &event)
{
    m_view = event.view;
    m_daemons.clear();
    for (const Instance &daemon : liveDaemons(m_view))
        m_daemons.push_back(daemon.id);
    for (auto &[id, service] : m_services)
        updateTargets(id, service);
}

void RequestRouter::updateTargets(const ServiceId &id, Service &service)
{
    service.targets = targetsOf(m_view, id);
    const auto drained = m_drained.find(id.workspace);
    for (Instance &target : service.targets)
        target.leaving = target.leaving || (drained != m_drained.end() && drained->second.contains(target.id));
}

} // namespace sardinehinge::core
