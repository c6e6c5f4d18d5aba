#include "gatewaycontrol.h"

#include <sardinehinge/core/eventnumbers.h>
#include <sardinehinge/core/text.h>

#include <utility>

/// The part of GatewayControl that hands the state to the traffic duty.
namespace sardinehinge::daemon {

void GatewayControl::publishTargets()
{
    const core::Time now = bootTime();
    for (const std::string &id : m_registry.expire(now))
        m_events.record(Severity::Info, core::events::targetRemoved, "target=" + core::logValue(id));
    const bool hasMarkChanged = takeEvacuationChanges(now) || std::exchange(m_hasColdChanged, false);
    if (!m_registry.takeChanged() && !hasMarkChanged && !m_areTargetsPending)
        return;
    m_publishedAt = now;
    auto targets = knownTargets(now);
    for (const auto &[name, service] : m_services) {
        run(name, core::ControlTargets{m_leaving.markDraining(name, targets)});
    }
    m_areTargetsPending = !m_tellTraffic(GatewayTargetsUpdate{std::move(targets), now});
}

/// Hands the configuration and owners that the traffic duty lacks to it. Its ring is bounded: what finds it full is
/// handed over by the timer, in its latest state.
void GatewayControl::handOver()
{
    if (m_pendingConfig && m_tellTraffic(GatewayConfigUpdate{*m_pendingConfig, bootTime()}))
        m_pendingConfig.reset();
    for (auto &[name, service] : m_services) {
        if (service.areOwnersPending)
            service.areOwnersPending = !m_tellTraffic(GatewayOwnersUpdate{service.owners});
    }
}

} // namespace sardinehinge::daemon
