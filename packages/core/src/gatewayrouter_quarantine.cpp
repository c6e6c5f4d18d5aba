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
    if (end.end == AttemptEnd::Answered) {
        responseRead(fingerprint, now);
    } else if (end.end == AttemptEnd::AnswerLost || end.end == AttemptEnd::AnswerTruncated) {
        request.wasSuspect = request.wasSuspect || m_suspects.isSuspect(fingerprint, now);
        responseLost(fingerprint, request.service, request.target, request.sentAt, now);
    } else if (end.isRefused) {
        const Service &service = serviceOf(request.service);
        if (const auto found = service.targets.find(request.target); found != service.targets.end())
            targetEnded(found->second.entry.identity, now);
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
        responseRead(attempt.fingerprint, now);
    else if (end.end == AttemptEnd::AnswerLost || end.end == AttemptEnd::AnswerTruncated)
        responseLost(attempt.fingerprint, attempt.service, attempt.target, attempt.sentAt, now);
}

void GatewayRouter::responseLost(const RequestFingerprint &fingerprint, const std::string &serviceName,
                                 const std::string &target, Time sentAt, Time now)
{
    const Service &service = serviceOf(serviceName);
    const auto found = service.targets.find(target);
    if (found == service.targets.end())
        return;
    const RegisteredTarget &entry = found->second.entry;
    if (m_suspects.lost(fingerprint, entry.identity, sentAt, now))
        m_effects.emplace_back(ProbeTarget{serviceName, entry.identity, entry.address});
}

/// A target survived the request.
void GatewayRouter::responseRead(const RequestFingerprint &fingerprint, Time now)
{
    m_suspects.answered(fingerprint, now);
    if (quarantineEnd(fingerprint, now) != 0ms)
        m_effects.emplace_back(QuarantineRefuted{fingerprint});
}

void GatewayRouter::targetEnded(const TargetIdentity &target, Time now)
{
    for (const CrashReport &report : m_suspects.targetEnded(target, now))
        m_effects.emplace_back(TargetCrashed{report});
}

GatewayRouter::Effects GatewayRouter::targetProbed(const std::string &serviceName, const TargetIdentity &target,
                                                   bool isRefused, Time now)
{
    const Service &service = serviceOf(serviceName);
    const auto found = service.targets.find(target.id);
    // The address may be that of another incarnation by now.
    if (isRefused && found != service.targets.end() && found->second.entry.identity == target)
        targetEnded(target, now);
    return takeEffects();
}

} // namespace sardinehinge::core
