#include "gatewaycontrol.h"
#include "milliseconds.h"
#include "watchmodename.h"

#include <sardinehinge/core/eventnumbers.h>
#include <sardinehinge/core/text.h>

/// The part of GatewayControl that logs where its time goes.
namespace sardinehinge::daemon {

namespace {

constexpr std::chrono::milliseconds noticeableDelay(100); ///< Of a timer.
constexpr std::chrono::milliseconds workPeriod(1000); ///< Between two lines of a controller.

/// By the order of core::ControlEvent.
constexpr std::array<const char *, std::variant_size_v<core::ControlEvent>> eventNames
    = {"tick",    "read",  "failed", "written", "conflict", "beat",    "ack", "resigned",
       "targets", "peers", "ended",  "opened",  "load",     "refused", "era", "stop"};

const char *nameOf(FeedArrival::Way way)
{
    switch (way) {
    case FeedArrival::Way::List:
        return "list";
    case FeedArrival::Way::Watch:
        return "watch";
    case FeedArrival::Way::Call:
        return "call";
    case FeedArrival::Way::Peer:
        return "peer";
    case FeedArrival::Way::Datagram:
        return "datagram";
    }
    return "unknown";
}

} // namespace

void GatewayControl::reportConfigReceived()
{
    const core::Time now = bootTime();
    const FeedArrival &arrival = m_configs.arrival();
    const std::int64_t newsAge = arrival.newsAt ? milliseconds(now - *arrival.newsAt) : -1;
    m_events.record(Severity::Info, core::events::gatewayConfigReceived,
                    "version=" + std::to_string(m_configVersion) + " way=" + nameOf(arrival.way)
                        + " mode=" + nameOf(m_roster.mode()) + " news_ms=" + std::to_string(newsAge)
                        + " called_ms=" + std::to_string(milliseconds(now - arrival.calledAt)));
}

void GatewayControl::reportFeedReadFailed(const char *kind, const std::string &from, int status, core::Duration taken)
{
    m_events.record(Severity::Info, core::events::feedReadFailed,
                    std::string("kind=") + kind + " from=" + core::logValue(from) + " status=" + std::to_string(status)
                        + " taken_ms=" + std::to_string(milliseconds(taken)));
}

void GatewayControl::countEvent(const std::string &service, const core::ControlEvent &event)
{
    ++m_services[service].events.at(event.index());
    ++m_eventsSinceTick;
}

/// Reports a timer that fired late: until then nothing else was done here either.
void GatewayControl::reportLateness(core::Time now, core::Time due)
{
    const core::Duration used = m_worker.cpuTime();
    if (due != core::Time{} && now - due >= noticeableDelay) {
        if (const auto suppressed = m_lateLines.take(now))
            m_events.record(Severity::Warning, core::events::dutyLate,
                            "duty=control late_ms=" + std::to_string(milliseconds(now - due))
                                + " events=" + std::to_string(m_eventsSinceTick)
                                + " cpu_ms=" + std::to_string(milliseconds(used - m_tickCpu))
                                + " suppressed=" + std::to_string(*suppressed));
    }
    m_tickCpu = used;
    m_eventsSinceTick = 0;
}

void GatewayControl::reportControlWork(core::Time now)
{
    if (now - m_workReportedAt < workPeriod)
        return;
    const core::Duration span = now - std::exchange(m_workReportedAt, now);
    const core::Duration used = m_worker.cpuTime();
    const core::Duration spent = used - std::exchange(m_workCpu, used);
    for (auto &[name, service] : m_services) {
        const auto events = std::exchange(service.events, {});
        if (service.control == nullptr || !service.control->isController())
            continue;
        const core::ControlWork work = service.control->takeWork();
        std::string detail = "service=" + core::logValue(name) + " span_ms=" + std::to_string(milliseconds(span))
            + " cpu_ms=" + std::to_string(milliseconds(spent)) + " ranges=" + std::to_string(work.ranges)
            + " checks=" + std::to_string(work.rangeChecks) + " grants=" + std::to_string(work.grants)
            + " latest_ms=" + std::to_string(milliseconds(work.latestRenewal));
        for (std::size_t index = 0; index < events.size(); ++index) {
            if (events.at(index) != 0)
                detail += std::string(" ") + eventNames.at(index) + "=" + std::to_string(events.at(index));
        }
        m_events.record(Severity::Info, core::events::rangeControlLoad, detail);
    }
}

} // namespace sardinehinge::daemon
