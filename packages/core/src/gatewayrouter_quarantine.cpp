#include <sardinehinge/core/gatewayrouter.h>

#include <algorithm>

/// The part of GatewayRouter that finds requests which crash targets, and sends no quarantined one.
namespace sardinehinge::core {

Time GatewayRouter::quarantineEnd(const RequestFingerprint &fingerprint, Time now) const noexcept
{
    const auto found = m_quarantines.find(fingerprint);
    return found == m_quarantines.end() || now >= found->second ? Time(0) : found->second;
}

void GatewayRouter::rejectQuarantined(Request &request, Time end, Time now)
{
    reject(request, GatewayError::Quarantined, "targets that ran equal requests crashed", end - now);
}

GatewayRouter::Effects GatewayRouter::quarantineChanged(const Quarantine &quarantine, Time now)
{
    std::erase_if(m_quarantines, [now](const auto &entry) { return now >= entry.second; });
    if (!quarantine.isInForce()) {
        m_quarantines.erase(quarantine.request);
        return {};
    }
    if (m_suspects.wasAnsweredSince(quarantine.request, now - quarantine.evidenceAge)) {
        m_effects.emplace_back(QuarantineRefuted{quarantine.request});
        return takeEffects();
    }
    m_quarantines[quarantine.request] = now + quarantine.timeLeft;
    std::vector<RequestId> queued;
    for (const auto &[id, request] : m_requests) {
        if (request.isQueued && request.head.fingerprint == quarantine.request)
            queued.push_back(id);
    }
    std::sort(queued.begin(), queued.end());
    for (const RequestId id : queued) {
        Request &request = m_requests.at(id);
        dequeue(request);
        rejectQuarantined(request, now + quarantine.timeLeft, now);
    }
    return takeEffects();
}

/// Takes in what the end of an attempt says of its request and its target's process.
void GatewayRouter::noteEnd(Request &request, const GatewayAttemptEnd &end, Time now)
{
    const RequestFingerprint &fingerprint = request.head.fingerprint;
    const TargetIdentity target{request.target, request.incarnation};
    if (end.end == AttemptEnd::Answered) {
        responseRead(fingerprint, target, request.sentAt, now);
    } else if (end.end == AttemptEnd::AnswerLost || end.end == AttemptEnd::AnswerTruncated) {
        request.wasSuspect = request.wasSuspect || m_suspects.isSuspect(fingerprint, now);
        responseLost(fingerprint, request.service, target, request.sentAt, now);
    } else if (end.isRefused) {
        targetEnded(request.service, target, LifeEnd::Refused, now);
    } else if (end.end == AttemptEnd::NotOwner && !isSharded(request.service)) {
        // Without keys, only another target at this address says so.
        targetEnded(request.service, target, LifeEnd::OtherLife, now);
    } else if (end.end == AttemptEnd::Shed || end.end == AttemptEnd::Draining) {
        m_suspects.targetAnswered(target, request.sentAt);
    }
}

void GatewayRouter::abandonedAttemptEnded(const GatewayAttemptEnd &end, Time now)
{
    const auto found = m_abandoned.find({end.id, end.attempt});
    if (found == m_abandoned.end())
        return;
    const AbandonedAttempt attempt = found->second;
    m_abandoned.erase(found);
    if (end.end == AttemptEnd::Answered)
        responseRead(attempt.fingerprint, attempt.target, attempt.sentAt, now);
    else if (end.end == AttemptEnd::AnswerLost || end.end == AttemptEnd::AnswerTruncated)
        responseLost(attempt.fingerprint, attempt.service, attempt.target, attempt.sentAt, now);
}

void GatewayRouter::responseLost(const RequestFingerprint &fingerprint, const std::string &serviceName,
                                 const TargetIdentity &target, Time sentAt, Time now)
{
    const Service &service = serviceOf(serviceName);
    const auto found = service.targets.find(target.id);
    // What happens after the end of the target's life is no evidence.
    if (found == service.targets.end() || found->second.entry.identity != target)
        return;
    if (m_suspects.lost(fingerprint, target, sentAt, now))
        m_effects.emplace_back(ProbeTarget{serviceName, target, found->second.entry.address});
}

/// The request ends while its target is silent.
void GatewayRouter::stoppedWaiting(const Request &request, TargetLoss loss, Time now)
{
    m_suspects.lost(request.head.fingerprint, {request.target, request.incarnation}, request.sentAt, now, loss);
}

/// A target survived the request.
void GatewayRouter::responseRead(const RequestFingerprint &fingerprint, const TargetIdentity &target, Time sentAt,
                                 Time now)
{
    m_suspects.targetAnswered(target, sentAt);
    m_suspects.answered(fingerprint, now);
    if (quarantineEnd(fingerprint, now) != 0ms)
        m_effects.emplace_back(QuarantineRefuted{fingerprint});
}

void GatewayRouter::targetEnded(const std::string &service, const TargetIdentity &target, LifeEnd end, Time now)
{
    if (end != LifeEnd::Refused) {
        for (const auto &[id, request] : m_requests) {
            if (request.isSent && request.service == service && request.target == target.id
                && request.incarnation == target.incarnation)
                m_suspects.lost(request.head.fingerprint, target, request.sentAt, now, TargetLoss::Waiting);
        }
        for (const auto &[attempt, abandoned] : m_abandoned) {
            if (abandoned.target == target)
                m_suspects.lost(abandoned.fingerprint, target, abandoned.sentAt, now, TargetLoss::Waiting);
        }
    }
    for (const CrashReport &report : m_suspects.targetEnded(target, end, now))
        m_effects.emplace_back(TargetCrashed{report});
}

GatewayRouter::Effects GatewayRouter::targetProbed(const std::string &serviceName, const TargetIdentity &target,
                                                   bool isRefused, Time now)
{
    const Service &service = serviceOf(serviceName);
    const auto found = service.targets.find(target.id);
    // The address may be that of another incarnation by now.
    if (isRefused && found != service.targets.end() && found->second.entry.identity == target)
        targetEnded(serviceName, target, LifeEnd::Refused, now);
    return takeEffects();
}

} // namespace sardinehinge::core
