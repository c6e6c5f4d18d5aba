#include "gatewaycontrol.h"

#include <sardinehinge/core/eventnumbers.h>
#include <sardinehinge/core/text.h>

#include <utility>

/// The part of GatewayControl that gets permits for rate-limited targets, and gives them to other daemons.
namespace sardinehinge::daemon {

namespace {

/// Between two looks at requests for permits that aren't answered.
constexpr std::chrono::milliseconds permitStep(30);

} // namespace

void GatewayControl::take(const core::AskPermits &request)
{
    carryOut(m_permits.wanted(request.request, m_ranking, bootTime()));
}

void GatewayControl::carryOut(const core::PermitBroker::Effects &effects)
{
    for (const core::BrokerEffect &effect : effects)
        std::visit([this](const auto &concrete) { act(concrete); }, effect);
}

void GatewayControl::act(const core::AskCoordinator &effect)
{
    send(effect.to, effect.request);
    watchPermits();
}

/// Looks after the requests for permits until all are answered.
void GatewayControl::watchPermits()
{
    if (std::exchange(m_isWatchingPermits, true))
        return;
    callAfter(m_permitTimer, permitStep, [this] {
        m_isWatchingPermits = false;
        carryOut(m_permits.tick(m_ranking, bootTime()));
        if (m_permits.isWaiting())
            watchPermits();
    });
}

void GatewayControl::act(const core::AnswerDaemon &effect)
{
    send(effect.to, effect.grant);
}

void GatewayControl::act(const core::DeliverPermits &effect)
{
    m_tellTraffic(effect.grant); // A full ring loses it: the router asks again later.
}

void GatewayControl::act(const core::CoordinatorSilent &effect)
{
    m_events.record(Severity::Warning, core::events::permitCoordinatorSilent,
                    "daemon=" + core::logValue(effect.daemon) + " target=" + core::logValue(effect.target.id));
}

void GatewayControl::heard(const std::string &from, const core::PermitRequest &message)
{
    carryOut(m_permits.requested(from, message, m_ranking, bootTime()));
}

void GatewayControl::heard(const std::string &, const core::PermitGrant &message)
{
    carryOut(m_permits.granted(message));
}

} // namespace sardinehinge::daemon
