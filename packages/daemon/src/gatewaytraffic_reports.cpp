#include "gatewaytraffic.h"

#include "gatewaytrafficnames.h"
#include "milliseconds.h"

#include <sardinehinge/core/eventnumbers.h>

/// The part of GatewayTraffic that reports closed connections, the targets' conditions, the load and
/// its own lateness.
namespace sardinehinge::daemon {

namespace {

/// How often the controllers of sharded services learn of the load by key.
constexpr std::chrono::milliseconds loadReportPeriod(500);
/// A list of targets that has waited for so long is reported.
constexpr std::chrono::milliseconds noticeableDelay(100);

} // namespace

/// Reports a list of targets that waited for this duty.
void GatewayTraffic::reportWait(core::Duration wait, core::Time now)
{
    ++m_targetUpdates;
    if (wait < noticeableDelay)
        return;
    const core::Duration used = m_worker.cpuTime();
    if (const auto suppressed = m_lateLines.take(now))
        m_events.record(Severity::Warning, core::events::dutyLate,
                        "duty=traffic late_ms=" + std::to_string(milliseconds(wait))
                            + " target_lists=" + std::to_string(std::exchange(m_targetUpdates, 0))
                            + " cpu_ms=" + std::to_string(milliseconds(used - m_lateCpu))
                            + " suppressed=" + std::to_string(*suppressed));
    m_lateCpu = used;
}

void GatewayTraffic::connectionClosed(const http::ConnectionEnd &end)
{
    if (end.reason == http::CloseReason::Displaced) {
        if (const auto suppressed = m_displacedLines.take(bootTime()))
            m_events.record(Severity::Warning, core::events::callerDisplaced,
                            "peer=" + end.peer + " idle_ms=" + std::to_string(milliseconds(end.idleTime))
                                + " requests=" + std::to_string(end.requests)
                                + " connections=" + std::to_string(m_callers.connections())
                                + " suppressed=" + std::to_string(*suppressed));
        return;
    }
    const bool isUsual = end.reason == http::CloseReason::IdleTimeout || end.reason == http::CloseReason::Drain;
    m_events.record(isUsual && !end.hasInput ? Severity::Debug : Severity::Info, core::events::callerConnectionClosed,
                    "peer=" + end.peer + " reason=" + nameOf(end.reason)
                        + " idle_ms=" + std::to_string(milliseconds(end.idleTime))
                        + " requests=" + std::to_string(end.requests) + " input=" + (end.hasInput ? "yes" : "no"));
}

void GatewayTraffic::surveyTargets(core::Time now)
{
    m_lastSurvey = now;
    carryOut(m_router.surveyTargets(now));
    for (std::size_t index = 0; index < core::targetConditions; ++index)
        m_targetCounts.at(index).store(m_router.targetCounts().at(index));
    showSpill();
    std::erase_if(m_untold, [this](const core::TargetBelief &belief) { return m_tellControl(belief); });
}

void GatewayTraffic::showSpill()
{
    for (const auto &[service, share] : m_router.spillShares()) {
        auto &shown = m_spillShares[service];
        if (!shown) {
            shown = std::make_shared<std::atomic<double>>(0.0);
            m_metrics.addGauge("sardinehinge_spill_share",
                               "Share of a service's requests that may leave the failure domain",
                               {{"service", service}}, [shown] { return shown->load(); });
        }
        shown->store(share);
    }
}

void GatewayTraffic::reportLoad(core::Time now)
{
    if (now - m_lastLoadReport < loadReportPeriod)
        return;
    m_lastLoadReport = now;
    for (const std::string &service : m_shardedServices) {
        auto load = m_router.takeKeyLoad(service);
        if (!load.empty())
            m_tellControl(ServiceKeyLoad{service, {std::move(load), m_router.takeRelativeLatencies(service)}});
    }
}

} // namespace sardinehinge::daemon
