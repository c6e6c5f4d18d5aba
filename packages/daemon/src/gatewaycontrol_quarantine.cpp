#include "gatewaycontrol.h"

#include <sardinehinge/core/eventnumbers.h>
#include <sardinehinge/core/text.h>

/// The part of GatewayControl that takes part in the quarantine of requests that crash targets.
namespace sardinehinge::daemon {

namespace {

std::string milliseconds(core::Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

void GatewayControl::take(const core::TargetCrashed &report)
{
    carryOut(m_quarantines.crashed(report.report, m_ranking, bootTime()), m_self.id);
}

void GatewayControl::take(const core::QuarantineRefuted &report)
{
    carryOut(m_quarantines.refuted(report.request, bootTime()), m_self.id);
}

void GatewayControl::heard(const std::string &from, const core::CrashReport &message)
{
    carryOut(m_quarantines.reported(message, from, bootTime()), from);
}

void GatewayControl::heard(const std::string &from, const protocol::QuarantineMessage &message)
{
    carryOut(m_quarantines.received(message.entries, bootTime()), from);
}

void GatewayControl::heard(const std::string &from, const protocol::QuarantineDigest &message)
{
    carryOut(m_quarantines.compared(from, message.digest, message.isReply, bootTime()), from);
}

/// `from`: the daemon whose message, or own observation, the effects follow from.
void GatewayControl::carryOut(const core::QuarantineKeeper::Effects &effects, const std::string &from)
{
    for (const core::QuarantineEffect &effect : effects) {
        if (const auto *report = std::get_if<core::SendCrashReport>(&effect)) {
            send(report->to, report->report);
        } else if (const auto *quarantines = std::get_if<core::SendQuarantines>(&effect)) {
            send(quarantines->to, protocol::QuarantineMessage{quarantines->entries});
        } else if (const auto *digest = std::get_if<core::SendQuarantineDigest>(&effect)) {
            send(digest->to, protocol::QuarantineDigest{digest->digest, digest->isReply});
        } else if (const auto *counted = std::get_if<core::CrashCounted>(&effect)) {
            m_events.record(Severity::Warning, core::events::crashCounted,
                            "fingerprint=" + toString(counted->report.request)
                                + " target=" + core::logValue(counted->report.target.id)
                                + " born=" + std::to_string(counted->report.target.incarnation)
                                + " copies=" + std::to_string(counted->report.copies)
                                + " crashes=" + std::to_string(counted->crashes) + " ended_ms_ago="
                                + milliseconds(counted->report.endedAgo) + " from=" + core::logValue(from));
        } else if (const auto *changed = std::get_if<core::QuarantineChanged>(&effect)) {
            const core::Quarantine &quarantine = changed->quarantine;
            m_events.record(Severity::Warning,
                            quarantine.isInForce() ? core::events::requestQuarantined : core::events::quarantineEnded,
                            "fingerprint=" + toString(quarantine.request) + " generation="
                                + std::to_string(quarantine.generation) + " from=" + core::logValue(from)
                                + (quarantine.isInForce() ? " for_ms=" + milliseconds(quarantine.timeLeft)
                                                          : std::string(" reason=answered")));
            m_tellTraffic(quarantine);
        } else if (const auto *expired = std::get_if<core::QuarantineExpired>(&effect)) {
            m_events.record(Severity::Info, core::events::quarantineEnded,
                            "fingerprint=" + toString(expired->request) + " reason=expired");
        }
    }
    m_quarantineCount.store(m_quarantines.inForce());
}

} // namespace sardinehinge::daemon
