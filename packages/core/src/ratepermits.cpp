#include <sardinehinge/core/ratepermits.h>

#include <algorithm>

namespace sardinehinge::core {

namespace {

/// A lower rate that a daemon named counts for so long, since others may not have heard of a higher one yet.
constexpr Duration rateRetention = 1s;
/// After this time without a request for permits, a target's state says nothing any more.
constexpr Duration targetRetention = 10s;
/// Most permits in one answer.
constexpr std::uint32_t maxPermits = 256;

Duration intervalOf(double rate) noexcept
{
    constexpr double minSharedRate = 1e-6; ///< Keeps the interval within the range of Duration.
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / std::max(rate, minSharedRate)));
}

} // namespace

PermitAllocator::Target &PermitAllocator::targetFor(const TargetIdentity &identity, Time now, Duration firstWait)
{
    if (m_targets.size() >= maxTargets && !m_targets.contains(identity)) {
        std::erase_if(m_targets, [now](const auto &entry) { return now - entry.second.lastRequest > targetRetention; });
        if (m_targets.size() >= maxTargets)
            m_targets.erase(m_targets.begin());
    }
    const auto [found, isNew] = m_targets.try_emplace(identity);
    Target &target = found->second;
    if (isNew || now - target.lastRequest > targetRetention)
        target = {0, now, now + firstWait, now, now};
    target.lastRequest = now;
    return target;
}

void PermitAllocator::updateRate(Target &target, double rate, Time now)
{
    const bool isOutdated = target.rate == 0 || now - target.rateNamedAt > rateRetention;
    if (rate > target.rate && !isOutdated)
        return;
    target.rate = rate;
    target.rateNamedAt = now;
}

Duration PermitAllocator::retryTime(Target &target, Time nextPermit, Time now)
{
    constexpr Duration retryInterval = std::chrono::nanoseconds(1s) / maxRequestRate;
    target.nextRetry = std::max(target.nextRetry, now) + retryInterval;
    return std::clamp(std::max(nextPermit, target.nextRetry) - now, Duration(1), maxRetryTime);
}

PermitGrant PermitAllocator::handle(const PermitRequest &request, Time now, Duration firstWait)
{
    Target &target = targetFor(request.target, now, firstWait);
    updateRate(target, request.rate, now);
    PermitGrant grant{request.service, request.target, request.number, 0, 0ms, intervalOf(target.rate), 0ms};
    const Time first = std::max(target.next, now - burstTime);
    const Time last = now + request.maxWait;
    grant.startsIn = first - now;
    const std::uint32_t wanted = std::min(request.wanted, maxPermits);
    Time next = first;
    for (; grant.count < wanted && next <= last; next += grant.interval)
        ++grant.count;
    if (grant.count != 0)
        target.next = next;
    if (grant.count < request.wanted)
        grant.retryIn = retryTime(target, next, now);
    return grant;
}

BrokerEffect PermitBroker::ask(const PermitRequest &request, const DaemonRanking &ranking, Time now)
{
    const auto first = ranking.firstFor(request.target.id, 1, now);
    if (first.empty()) {
        // Others may have a coordinator that gives out the whole rate. Half of an equal share keeps the sum below one
        // and a half times the rate, whoever else is in the same position.
        PermitRequest share = request;
        share.rate = request.rate / (2 * static_cast<double>(ranking.size()));
        return DeliverPermits{m_ownShare.handle(share, now, intervalOf(share.rate))};
    }
    if (first.front() == ranking.self())
        return DeliverPermits{m_allocator.handle(request, now)};
    m_pending[request.target] = {request, first.front(), now, now, 1};
    return AskCoordinator{first.front(), request};
}

PermitBroker::Effects PermitBroker::wanted(const PermitRequest &request, const DaemonRanking &ranking, Time now)
{
    m_pending.erase(request.target);
    return {ask(request, ranking, now)};
}

PermitBroker::Effects PermitBroker::requested(const std::string &from, const PermitRequest &request,
                                              const DaemonRanking &ranking, Time now)
{
    const auto first = ranking.firstFor(request.target.id, 1, now);
    if (request.wanted == 0)
        return {AnswerDaemon{from, {request.service, request.target, request.number, 0, 0ms, 0ms, 0ms}}};
    if (!first.empty() && first.front() == ranking.self())
        return {AnswerDaemon{from, m_allocator.handle(request, now)}};
    PermitRequest share = request;
    share.rate *= standInShare;
    Effects effects{AnswerDaemon{from, m_standIn.handle(share, now)}};
    if (!first.empty() && !m_pending.contains(request.target)) {
        PermitRequest check = request;
        check.wanted = 0;
        check.number = 0;
        effects.push_back(ask(check, ranking, now));
    }
    return effects;
}

PermitBroker::Effects PermitBroker::granted(const PermitGrant &grant)
{
    const auto found = m_pending.find(grant.target);
    if (found == m_pending.end() || found->second.request.number != grant.number)
        return {}; // It comes too late: the request was sent to another coordinator, or a newer one was made.
    const bool isCheck = found->second.request.wanted == 0;
    m_pending.erase(found);
    return isCheck ? Effects() : Effects{DeliverPermits{grant}};
}

PermitBroker::Effects PermitBroker::tick(DaemonRanking &ranking, Time now)
{
    Effects effects;
    std::vector<Pending> unanswered;
    for (auto &[target, pending] : m_pending) {
        if (now - pending.sentAt < answerTime)
            continue;
        if (pending.sends < maxSends) {
            ++pending.sends;
            pending.sentAt = now;
            effects.emplace_back(AskCoordinator{pending.to, pending.request});
        } else {
            unanswered.push_back(pending);
        }
    }
    for (const Pending &pending : unanswered) {
        m_pending.erase(pending.request.target);
        if (ranking.notAnswered(pending.to, pending.askedAt, now))
            effects.emplace_back(CoordinatorSilent{pending.to, pending.request.target});
        if (pending.request.wanted != 0)
            effects.push_back(ask(pending.request, ranking, now));
    }
    return effects;
}

void RatePermits::dropExpired(Time now) noexcept
{
    while (!m_usableFrom.empty() && now > m_usableFrom.front() + permitLifetime)
        m_usableFrom.pop_front();
}

bool RatePermits::isUsable(Time now) noexcept
{
    dropExpired(now);
    return !m_usableFrom.empty() && now >= m_usableFrom.front();
}

void RatePermits::take(Time now) noexcept
{
    dropExpired(now);
    if (!m_usableFrom.empty())
        m_usableFrom.pop_front();
}

std::size_t RatePermits::count(Time now) noexcept
{
    dropExpired(now);
    return m_usableFrom.size();
}

bool RatePermits::mayAsk(Time now) const noexcept
{
    return !isAsking(now) && now >= m_deniedUntil;
}

std::uint64_t RatePermits::ask(Time now) noexcept
{
    m_isAsking = true;
    m_askedAt = now;
    return ++m_number;
}

void RatePermits::granted(const PermitGrant &grant, Time now)
{
    if (!m_isAsking || grant.number != m_number)
        return;
    m_isAsking = false;
    m_deniedUntil = grant.retryIn > 0ms ? now + grant.retryIn : Time(0);
    for (std::uint32_t index = 0; index < grant.count; ++index)
        m_usableFrom.push_back(std::max(now + grant.startsIn + (grant.interval * index), now));
    std::sort(m_usableFrom.begin(), m_usableFrom.end());
}

} // namespace sardinehinge::core
