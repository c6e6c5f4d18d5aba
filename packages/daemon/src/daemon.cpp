#include <sardinehinge/daemon/daemon.h>

#include "callerduty.h"
#include "controlduty.h"
#include "operatorserver.h"
#include "orderduty.h"
#include "peerduty.h"
#include "platformduty.h"
#include "routingduty.h"

#include <sardinehinge/core/admission/stopschedule.h>
#include <sardinehinge/core/eventnumbers.h>
#include <sardinehinge/daemon/eventlog.h>
#include <sardinehinge/daemon/metrics.h>

#include <QCoreApplication>
#include <QTimer>

#include <mutex>
#include <random>

namespace sardinehinge::daemon {

namespace {

constexpr int drainPollMs = 20;

/// A number that no earlier process with this id had. Wall time, so that it rises from life to life; below 2^53, so
/// that it passes through JSON.
std::uint64_t newIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

} // namespace

/// The duties and the rings between them. Each ring has one producer: see the makers below.
class Daemon::Duties
{
public:
    explicit Duties(Settings given)
        : settings(std::move(given))
        , self{settings.id, newIncarnation()}
        , peers(
              self, events, metrics,
              [this](IncomingMessage message) { return control.fromPeers().push(std::move(message)); },
              [this](IncomingSlotMessage message) { return routing.slotMessages().push(std::move(message)); })
        , orders(metrics, core::LeaseTiming{}.orderTimeout,
                 [this](OrderOutcome outcome) { return control.fromOrders().push(std::move(outcome)); })
        , platform(QUrl(QString::fromStdString(settings.platformUrl)), seed(), events, metrics,
                   [this](FromPlatform message) { return control.fromPlatform().push(std::move(message)); })
        , callers(settings, [this](ToRouting message) { return routing.requests().push(std::move(message)); })
        , routing(
              self, seed(), events, metrics,
              [this](CallerAnswer answer) { return callers.answers().push(std::move(answer)); },
              [this](RoutingToControl message) { return control.fromRouting().push(std::move(message)); },
              [this](OutgoingSlotMessage message) { return peers.outgoingSlots().push(std::move(message)); })
        , control(self, seed(), events, makeOutlets())
        , operators(control, events, metrics,
                    [this](ToControl message) { return control.fromOperators().push(std::move(message)); })
    {
        addGauges();
        logFailedTasks();
    }

    core::Result<core::Done> start()
    {
        if (auto result = operators.listen(settings.operatorAddress); core::errorIn(result) != nullptr)
            return result;
        control.start();
        routing.start();
        orders.start();
        platform.start();
        if (auto result = peers.start(settings.peerAddress); core::errorIn(result) != nullptr)
            return result;
        if (auto result = callers.start(); core::errorIn(result) != nullptr)
            return result;
        events.record(Severity::Info, core::events::daemonStarted,
                      settings.id + " in " + settings.failureDomain + ", callers at " + settings.callerAddress);
        return core::Done{};
    }

    void drain()
    {
        if (std::exchange(m_isDraining, true))
            return;
        events.record(Severity::Info, core::events::drainStarted, settings.id);
        control.fromOperators().push(Resign{});
        callers.announceDrain();
        const auto notice = static_cast<int>(settings.drainNotice / std::chrono::milliseconds(1));
        QTimer::singleShot(notice, QCoreApplication::instance(), [this] {
            callers.drain();
            const core::StopSchedule schedule = core::stopScheduleFor(settings.drainLimit);
            routing.setLastAdmission(bootTime() + schedule.lastAdmission);
            m_finalAnswers = bootTime() + schedule.finalAnswers;
            m_drainEnds = bootTime() + settings.drainLimit;
            awaitLastRequest();
        });
    }

    /// Stops every duty before any is destroyed, since each may still hand something to another.
    void stop()
    {
        callers.stop();
        routing.stop();
        orders.stop();
        peers.stop();
        platform.stop();
        control.stop();
        events.record(Severity::Info, core::events::daemonStopped, settings.id);
    }

    Settings settings;
    core::DaemonIdentity self;
    EventLog events;
    Metrics metrics;
    PeerDuty peers;
    OrderDuty orders;
    PlatformDuty platform;
    CallerDuty callers;
    RoutingDuty routing;
    ControlDuty control;
    OperatorServer operators;

private:
    void logFailedTasks()
    {
        for (Worker *worker :
             {&callers.worker(), &routing.worker(), &orders.worker(), &peers.worker(), &control.worker()})
            worker->onError([this, worker](const std::string &detail) {
                events.record(Severity::Error, core::events::taskFailed,
                              "duty=" + worker->name() + " detail=\"" + detail + "\"");
            });
    }

    std::uint64_t seed() const { return std::hash<std::string>{}(self.id) ^ self.incarnation; }

    ControlOutlets makeOutlets()
    {
        ControlOutlets outlets;
        outlets.toRouting = [this](ControlToRouting message) { return routing.updates().push(std::move(message)); };
        outlets.toPeers = [this](ToPeers message) { return peers.outgoing().push(std::move(message)); };
        outlets.toPlatform = [this](ToPlatform message) { return platform.requests().push(std::move(message)); };
        outlets.toOrders = [this](OutgoingOrder order) { return orders.orders().push(std::move(order)); };
        outlets.setReady = [this](bool isReady) { callers.setReady(isReady); };
        return outlets;
    }

    void awaitLastRequest()
    {
        if (callers.connections() == 0 || bootTime() >= m_drainEnds) {
            QCoreApplication::quit();
            return;
        }
        if (!m_hasEndedRequests && bootTime() >= m_finalAnswers) {
            m_hasEndedRequests = true;
            routing.endRequests();
        }
        QTimer::singleShot(drainPollMs, QCoreApplication::instance(), [this] { awaitLastRequest(); });
    }

    void addGauges()
    {
        const auto addCpu = [this](const std::string &duty, std::function<double()> read) {
            metrics.addGauge("sardinehinge_duty_cpu_seconds", "Processor time of a duty's thread", {{"duty", duty}},
                             std::move(read));
        };
        addCpu("callers", [this] { return callers.worker().cpuSeconds(); });
        addCpu("routing", [this] { return routing.worker().cpuSeconds(); });
        addCpu("orders", [this] { return orders.worker().cpuSeconds(); });
        addCpu("peers", [this] { return peers.worker().cpuSeconds(); });
        addCpu("control", [this] { return control.worker().cpuSeconds(); });
        addCpu("platform", [this] { return platform.cpuSeconds(); });
        const auto addRefused = [this](const std::string &ring, std::function<double()> read) {
            metrics.addGauge("sardinehinge_ring_refused", "Values that found a ring full", {{"ring", ring}},
                             std::move(read));
        };
        addRefused("requests", [this] { return static_cast<double>(routing.requests().refused()); });
        addRefused("peers-in", [this] { return static_cast<double>(control.fromPeers().refused()); });
        addRefused("peers-out", [this] { return static_cast<double>(peers.outgoing().refused()); });
        addRefused("orders", [this] { return static_cast<double>(orders.orders().refused()); });
        metrics.addGauge("sardinehinge_requests_pending", "Callers' requests under way", {},
                         [this] { return static_cast<double>(callers.pending()); });
    }

    bool m_isDraining = false;
    core::Time m_finalAnswers{};
    bool m_hasEndedRequests = false;
    core::Time m_drainEnds{};
};

Daemon::Daemon(Settings settings)
    : m_duties(std::make_unique<Duties>(std::move(settings)))
{
}

Daemon::~Daemon()
{
    m_duties->stop();
}

core::Result<core::Done> Daemon::start()
{
    return m_duties->start();
}

void Daemon::drain()
{
    m_duties->drain();
}

} // namespace sardinehinge::daemon
