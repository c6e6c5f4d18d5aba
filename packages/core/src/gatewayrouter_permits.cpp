#include <sardinehinge/core/gatewayrouter.h>

#include <algorithm>

/// The part of GatewayRouter that gets permits for rate-limited targets.
namespace sardinehinge::core {

GatewayRouter::Effects GatewayRouter::permitsGranted(const PermitGrant &grant, Time now)
{
    Service &service = serviceOf(grant.service);
    const auto found = service.targets.find(grant.target.id);
    if (found == service.targets.end() || found->second.entry.identity != grant.target)
        return {};
    found->second.state.permits().granted(grant, now);
    keepForPermits(service, found->second, now);
    dispatchQueued(grant.service, now);
    askPermits(grant.service, now);
    return takeEffects();
}

/// Lets the requests that have got a permit wait for it.
void GatewayRouter::keepForPermits(const Service &service, Target &owner, Time now)
{
    constexpr Duration dispatchMargin = std::chrono::milliseconds(50); ///< For a late timer.
    RatePermits &permits = owner.state.permits();
    std::size_t position = 0;
    for (const RequestId id : service.queue) {
        Request &request = m_requests.at(id);
        if (!isSharded(request.service) || position >= permits.count(now))
            return;
        const RoutedRange *range = service.owners.find(*request.head.key);
        if (range == nullptr || range->owner != owner.entry.identity.id)
            continue;
        request.queueDeadline = std::max(request.queueDeadline, permits.usableFrom(position) + dispatchMargin);
        ++position;
    }
}

/// Asks for permits for the requests that wait for them: one for each that waits for its key's owner, and one for the
/// target that would otherwise be chosen.
void GatewayRouter::askPermits(const std::string &serviceName, Time now)
{
    constexpr Duration preferenceWait = std::chrono::milliseconds(50); ///< A later permit finds other requests.
    constexpr Duration answerMargin = std::chrono::milliseconds(20); ///< For the coordinator's answer.
    Service &service = serviceOf(serviceName);
    if (!isSharded(serviceName)) {
        const auto preferred = service.targets.find(service.preferred);
        if (preferred != service.targets.end())
            askPermits(serviceName, preferred->second, std::max<std::size_t>(service.queue.size(), 1), preferenceWait,
                       now);
        return;
    }
    std::map<std::string, std::pair<std::size_t, Duration>> waiting; // Their number and longest wait, by owner.
    for (const RequestId id : service.queue) {
        const Request &request = m_requests.at(id);
        const RoutedRange *range = service.owners.find(*request.head.key);
        if (range == nullptr || range->state != RangeState::Held)
            continue;
        auto &[count, maxWait] = waiting[range->owner];
        ++count;
        maxWait = std::max(maxWait, std::min(request.queueDeadline, request.deadline) - now - answerMargin);
    }
    for (const auto &[owner, demand] : waiting) {
        if (const auto found = service.targets.find(owner); found != service.targets.end())
            askPermits(serviceName, found->second, demand.first, demand.second, now);
    }
}

void GatewayRouter::askPermits(const std::string &serviceName, Target &target, std::size_t wanted, Duration maxWait,
                               Time now)
{
    const std::optional<double> rate = target.state.rateLimit(now);
    RatePermits &permits = target.state.permits();
    if (!rate || !permits.mayAsk(now) || wanted <= permits.count(now) || target.state.isQuiet(now))
        return;
    const auto missing = static_cast<std::uint32_t>(wanted - permits.count(now));
    m_effects.emplace_back(AskPermits{{serviceName, target.entry.identity, std::max(*rate, minPermitRate), missing,
                                       std::max(maxWait, Duration(0)), permits.ask(now)}});
}

} // namespace sardinehinge::core
