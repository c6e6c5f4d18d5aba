#include <sardinehinge/core/gatewayrouter.h>

#include <algorithm>
#include <limits>

/// The part of GatewayRouter that knows the targets' state and chooses among them.
namespace sardinehinge::core {

namespace {

double ratio(Duration part, Duration whole) noexcept
{
    return whole <= 0ms ? 0 : static_cast<double>(part.count()) / static_cast<double>(whole.count());
}

} // namespace

GatewayRouter::Effects GatewayRouter::setTargets(const std::vector<RegisteredTarget> &targets, Time now)
{
    std::map<std::string, ServiceEntries> byService;
    for (const RegisteredTarget &target : targets)
        byService[target.service].push_back(&target);
    for (auto &[name, entries] : byService) {
        serviceOf(name);
        const auto byId = [](const RegisteredTarget *left, const RegisteredTarget *right) {
            return left->identity.id < right->identity.id;
        };
        if (!std::is_sorted(entries.begin(), entries.end(), byId))
            std::sort(entries.begin(), entries.end(), byId);
    }
    for (auto &[name, service] : m_services) {
        const ServiceEntries &entries = byService[name];
        removeEndedTargets(name, service, entries, now);
        for (const DepartedTargets::Departed &departed : service.departed.expire(now))
            reportBeliefs(name, departed.target, departed.beliefs.drop(now));
        putTargets(name, service, entries, now);
        dispatchQueued(name, now);
    }
    return takeEffects();
}

/// Removes the known targets that `entries`, which are ordered by id, lack or list under another incarnation.
void GatewayRouter::removeEndedTargets(const std::string &name, Service &service, const ServiceEntries &entries,
                                       Time now)
{
    auto next = entries.begin();
    std::erase_if(service.targets, [&](const auto &known) {
        next = std::find_if(next, entries.end(),
                            [&known](const RegisteredTarget *entry) { return entry->identity.id >= known.first; });
        const RegisteredTarget *found = next != entries.end() && (*next)->identity.id == known.first ? *next : nullptr;
        const TargetIdentity &identity = known.second.entry.identity;
        if (found != nullptr && found->identity == identity)
            return false;
        const TargetBeliefs &beliefs = known.second.state.beliefs();
        const bool isLeaving = known.second.entry.isDraining || beliefs.isLeaving();
        targetEnded(name, identity,
                    found != nullptr ? LifeEnd::Replaced
                        : isLeaving  ? LifeEnd::VanishedLeaving
                                     : LifeEnd::Vanished,
                    now);
        if (found != nullptr && found->identity.incarnation > identity.incarnation)
            reportBeliefs(name, identity, beliefs.drop(now));
        else if (beliefs.isAny(now))
            service.departed.beliefs(identity, now) = beliefs;
        return true;
    });
}

/// Adds or updates the targets of `entries`, which are ordered by id.
void GatewayRouter::putTargets(const std::string &name, Service &service, const ServiceEntries &entries, Time now)
{
    auto next = service.targets.begin();
    for (const RegisteredTarget *entry : entries) {
        while (next != service.targets.end() && next->first < entry->identity.id)
            ++next;
        const bool isNew = next == service.targets.end() || next->first != entry->identity.id;
        if (isNew)
            next = service.targets.try_emplace(next, entry->identity.id);
        Target &target = next->second;
        const bool isUnchanged = !isNew && target.entry == *entry && entry->warmupLeft == 0ms;
        if (isUnchanged)
            continue;
        target.entry = *entry;
        target.locality = entry->failureDomain == m_failureDomain ? Locality::Home : Locality::Abroad;
        if (isNew) {
            target.state = TargetState(m_limits.targets);
            if (const auto beliefs = service.departed.take(entry->identity)) {
                target.state.restore(*beliefs);
                // The controller may have forgotten it meanwhile.
                reportBeliefs(name, entry->identity, beliefs->leaving());
            }
        }
        target.state.registered(*entry, now);
    }
}

GatewayRouter::Effects GatewayRouter::targetNoticed(const std::string &serviceName, const TargetIdentity &target,
                                                    const TargetNotice &notice, SignalSource source, Time now)
{
    if (notice.isEmpty())
        return {};
    Service &service = serviceOf(serviceName);
    const auto found = service.targets.find(target.id);
    if (found == service.targets.end() || found->second.entry.identity != target) {
        reportBeliefs(serviceName, target, service.departed.beliefs(target, now).take(notice, source, now));
        return takeEffects();
    }
    const std::vector<BeliefChange> changes = found->second.state.take(notice, source, now);
    reportBeliefs(serviceName, target, changes);
    // The keys of a leaving owner are still its own until they are handed over.
    if (!changes.empty() && (!isSharded(serviceName) || found->second.state.isQuiet(now)))
        withdrawUnsent(serviceName, target);
    dispatchQueued(serviceName, now);
    return takeEffects();
}

void GatewayRouter::reportBeliefs(const std::string &service, const TargetIdentity &target,
                                  const std::vector<BeliefChange> &changes)
{
    for (const BeliefChange &change : changes)
        m_effects.emplace_back(TargetBelief{service, target, change});
}

/// Withdraws the requests that are still waiting for a connection to the target.
void GatewayRouter::withdrawUnsent(const std::string &service, const TargetIdentity &target)
{
    std::vector<RequestId> ids;
    for (const auto &[id, request] : m_requests) {
        if (request.isSent && request.target == target.id && request.service == service)
            ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end());
    for (const RequestId id : ids)
        m_effects.emplace_back(CancelSend{id, m_requests.at(id).attempts, true});
}

GatewayRouter::Effects GatewayRouter::surveyTargets(Time now)
{
    m_targetCounts.fill(0);
    for (auto &[name, service] : m_services) {
        for (auto &[id, target] : service.targets) {
            ++m_targetCounts.at(static_cast<std::size_t>(target.state.condition(now)));
            reportBeliefs(name, target.entry.identity, target.state.beliefs().takeEnded(now));
        }
        if (const auto change = service.spill.takeChange(now); change && m_limits.adaptsSpill)
            m_effects.emplace_back(SpillReport{name, *change});
        for (const DepartedTargets::Departed &departed : service.departed.expire(now))
            reportBeliefs(name, departed.target, departed.beliefs.drop(now));
    }
    return takeEffects();
}

std::map<std::string, double> GatewayRouter::spillShares() const
{
    std::map<std::string, double> shares;
    for (const auto &[name, service] : m_services) {
        if (!isSharded(name))
            shares[name] = m_limits.adaptsSpill ? service.spill.share() : 0;
    }
    return shares;
}

Time GatewayRouter::admissionTime(const TargetState &state, Time now) noexcept
{
    if (state.isQuiet(now))
        return state.nextRequest();
    const Time denied = state.permits().deniedUntil();
    return state.isRateLimited(now) && now < denied ? denied : Time(0);
}

Time GatewayRouter::admissionTime(const Request &request, const Service &service, Time now) const
{
    if (isSharded(request.service)) {
        const RoutedRange *range = service.owners.find(*request.head.key);
        const auto owner = range == nullptr ? service.targets.end() : service.targets.find(range->owner);
        return owner == service.targets.end() ? Time(0) : admissionTime(owner->second.state, now);
    }
    Time first = Time::max();
    for (const auto &[id, target] : service.targets) {
        if (target.state.isStaying())
            first = std::min(first, admissionTime(target.state, now));
    }
    return first == Time::max() ? Time(0) : first;
}

/// A request waits only if it may still be queued then.
GatewayRouter::TargetChoice GatewayRouter::waitUntil(const Request &request, Time availableAt) const
{
    return {nullptr, GatewayError::Overloaded, availableAt < std::min(request.queueDeadline, request.deadline),
            availableAt};
}

GatewayRouter::TargetChoice GatewayRouter::waitForPermit(const Request &request, const Service &service, Target &owner,
                                                         Time now) const
{
    RatePermits &permits = owner.state.permits();
    const std::size_t position = queuedAhead(service, request);
    if (position < permits.count(now))
        return waitUntil(request, permits.usableFrom(position));
    if (now < permits.deniedUntil())
        return waitUntil(request, permits.deniedUntil());
    return {nullptr, GatewayError::Overloaded, true};
}

GatewayRouter::TargetChoice GatewayRouter::chooseTarget(const Request &request, Service &service, Time now)
{
    return isSharded(request.service) ? chooseOwner(request, service, now) : chooseCheapest(request, service, now);
}

GatewayRouter::TargetChoice GatewayRouter::chooseOwner(const Request &request, Service &service, Time now)
{
    const RoutedRange *range = service.owners.find(*request.head.key);
    if (range != nullptr && range->state == RangeState::Moving)
        return {nullptr, GatewayError::NoOwner, true};
    if (range == nullptr || range->owner.empty() || range->state == RangeState::OwnerLost)
        return {nullptr, GatewayError::NoOwner, false};
    const auto target = service.targets.find(range->owner);
    if (target == service.targets.end())
        return {nullptr, GatewayError::NoOwner, true};
    const TargetState &state = target->second.state;
    // The handover of a leaving owner's keys is overdue.
    if (const auto end = state.keyedEnd(); end && now >= *end)
        return {nullptr, GatewayError::NoOwner, true};
    if (state.isQuiet(now))
        return waitUntil(request, state.nextRequest());
    if (state.score().isEjected(now) && state.score().inFlight() != 0)
        return {nullptr, GatewayError::NoOwner, false};
    if (isRejectingKeys(target->second) && now < target->second.nextProbe)
        return {nullptr, GatewayError::NoOwner, false};
    if (!target->second.state.isPermitted(now))
        return waitForPermit(request, service, target->second, now);
    if (!state.score().hasRoom() || now < state.nextRequest())
        return {nullptr, GatewayError::Overloaded, true};
    return {&target->second, GatewayError::NoOwner, false};
}

std::array<double, localities> GatewayRouter::localityFactors(const SpillPolicy &spill)
{
    if (!m_limits.adaptsSpill)
        return {1, 1};
    std::uniform_real_distribution<double> draw(0, 1);
    return spill.factors(spill.share() == 0 ? 0 : draw(m_random));
}

void GatewayRouter::recordSpill(const Request &request, const Target &target, const GatewayAttemptEnd &end,
                                Duration taken, Time now)
{
    Service &service = serviceOf(request.service);
    if (end.end == AttemptEnd::Answered && !end.isServerError) {
        UsualTime &usual = service.usualTimes[request.route->name];
        const double relativeTime = usual.add(taken);
        // The wait for a target at home is part of what staying costs.
        const bool hasWaited = request.attempts == 1 && target.locality == Locality::Home;
        const Duration wait = hasWaited ? request.sentAt - request.arrived : Duration(0);
        service.spill.served(target.locality, relativeTime * (1 + ratio(wait, taken)), now);
    } else if (end.end == AttemptEnd::Shed)
        service.spill.refused(target.locality, now);
}

GatewayRouter::TargetChoice GatewayRouter::chooseCheapest(const Request &request, Service &service, Time now)
{
    Target *best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    double preferredCost = std::numeric_limits<double>::max();
    bool isAnyUsable = false;
    Time firstAdmission = Time::max();
    service.preferred.clear();
    std::uniform_real_distribution<double> jitter(1.0, 1.1);
    const auto factors = localityFactors(service.spill);
    const bool mayCross = !m_limits.adaptsSpill || service.spill.mayCross(now);
    UsableTargets usable{};
    for (auto &[id, target] : service.targets) {
        const TargetState &state = target.state;
        const TargetScore &score = state.score();
        if (request.attempts != 0 && id == request.target)
            continue;
        const bool isPermitted = target.state.isPermitted(now);
        if (!state.admits(now) || (!isPermitted && now < state.permits().deniedUntil())) {
            const Time admission = admissionTime(state, now);
            if (state.isStaying() && admission != 0ms)
                firstAdmission = std::min(firstAdmission, admission);
            else if (state.isStaying() && !score.isEjected(now))
                isAnyUsable = true; // Soon: it takes requests at a pace.
            continue;
        }
        if (score.isEjected(now))
            continue;
        isAnyUsable = true;
        // A target at home that is warming up relieves nobody yet.
        const auto locality = state.isWarmingUp(now) ? Locality::Abroad : target.locality;
        ++usable.at(static_cast<std::size_t>(locality));
        if (!score.hasRoom() || (locality == Locality::Abroad && !mayCross))
            continue;
        const bool isPenalized = !m_limits.adaptsSpill && target.locality == Locality::Abroad;
        const double cost = state.cost(isPenalized, service.baselineLatency, now)
            * factors.at(static_cast<std::size_t>(locality)) * jitter(m_random);
        if (isPermitted && cost < bestCost) {
            bestCost = cost;
            best = &target;
        } else if (!isPermitted && cost < preferredCost && state.permits().mayAsk(now)) {
            preferredCost = cost;
            service.preferred = id;
        }
    }
    service.spill.update(usable, now);
    if (preferredCost >= bestCost)
        service.preferred.clear();
    if (best == nullptr && !isAnyUsable) {
        // No target is usable: rather than reject the request, probe an ejected one that has no request in flight.
        for (auto &[id, target] : service.targets) {
            if (target.state.admits(now) && target.state.isPermitted(now) && target.state.score().inFlight() == 0
                && id != request.target)
                best = &target;
        }
    }
    if (best == nullptr && !isAnyUsable && firstAdmission != Time::max())
        return waitUntil(request, firstAdmission);
    return {best, isAnyUsable ? GatewayError::Overloaded : GatewayError::NoTarget, isAnyUsable};
}

} // namespace sardinehinge::core
