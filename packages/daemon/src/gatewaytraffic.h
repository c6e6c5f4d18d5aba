#pragma once

#include "gatewaymessages.h"

#include <sardinehinge/core/admission/linebudget.h>
#include <sardinehinge/daemon/eventlog.h>
#include <sardinehinge/daemon/metrics.h>
#include <sardinehinge/daemon/ring.h>
#include <sardinehinge/daemon/worker.h>
#include <sardinehinge/edges/gatewayedges.h>
#include <sardinehinge/http/client.h>
#include <sardinehinge/http/resourceaccount.h>
#include <sardinehinge/http/server.h>

#include <boost/asio/steady_timer.hpp>

#include <array>
#include <atomic>
#include <set>
#include <unordered_map>

namespace sardinehinge::daemon {

/// Serves callers: reads requests, carries out what core::GatewayRouter decides, and writes answers. One thread does
/// all of it, since a request would otherwise pay two changes of thread on instances with a fifth of a core.
class GatewayTraffic : private http::RequestHandler
{
public:
    GatewayTraffic(const edges::GatewaySettings &settings, std::unique_ptr<edges::RequestDialect> dialect,
                   EventLog &events, Metrics &metrics, std::function<bool(FromTraffic)> tellControl);
    ~GatewayTraffic() override;

    core::Result<core::Done> start();
    void stop() { m_worker.stop(); }

    /// From the control duty.
    Ring<ToTraffic> &updates() noexcept { return m_updates; }
    /// Changed bounds. Safe to call from every thread.
    void applySettings(const edges::GatewaySettings &settings);
    /// Not ready any more; each answer closes its connection, and requests that come later than `admits` from now are
    /// refused. Safe to call from every thread.
    void announceDrain(core::Duration admits);
    /// Closes the listener and idle connections. Safe to call from every thread.
    void drain();
    /// Answers what is still in work, since the process ends. Safe to call from every thread.
    void endRequests();
    /// Open connections of callers. Safe to call from every thread.
    std::size_t connections() const noexcept { return m_callers.connections(); }

private:
    /// Of each kind of line on callers that are refused or closed at a limit.
    static constexpr std::uint32_t limitLinesPerSecond = 5;

    /// Answers whether the balancer may send callers here.
    class ReadyHandler : public http::RequestHandler
    {
    public:
        explicit ReadyHandler(const GatewayTraffic &traffic)
            : m_traffic(traffic)
        {
        }
        void handle(std::uint64_t exchange, http::Request request, std::shared_ptr<http::Responder> responder) override;
        void callerDisconnected(std::uint64_t) override { }
        http::Response rejection(int status, const std::string &detail, const std::string &peer) override;

    private:
        const GatewayTraffic &m_traffic;
    };

    /// A caller's request while it is under way.
    struct Exchange
    {
        http::Request message; ///< Without its body.
        std::shared_ptr<const std::string> body; ///< Shared with the sends; null if empty.
        std::string requestId;
        std::shared_ptr<http::Responder> responder;
        core::RequestFingerprint fingerprint;
        core::Time arrived{};
        std::string route; ///< The key, and the targets and ends of the attempts, for the log.
        std::map<std::uint32_t, http::Client::ExchangeId> sends; ///< By attempt.
        http::Response answer; ///< Of the latest attempt that was answered.
    };

    bool mayRunBeside(const http::Request &request) const override;
    void handle(std::uint64_t exchange, http::Request request, std::shared_ptr<http::Responder> responder) override;
    void callerDisconnected(std::uint64_t exchange) override;
    http::Response rejection(int status, const std::string &detail, const std::string &peer) override;
    void connectionClosed(const http::ConnectionEnd &end) override;

    void take(const GatewayConfigUpdate &update);
    void take(const GatewayTargetsUpdate &update);
    void take(const GatewayOwnersUpdate &update);
    void take(const GatewayDaemonsUpdate &update);
    void take(const GatewayTargetNotice &update);
    void take(const core::PermitGrant &grant);
    void take(const core::Quarantine &quarantine);
    void carryOut(const core::GatewayRouter::Effects &effects);
    void act(const core::SendToTarget &effect);
    void act(const core::CancelSend &effect);
    void act(const core::ForwardAnswer &effect);
    void act(const core::EndWithError &effect);
    void act(const core::OwnerRefused &effect);
    void act(const core::TargetBelief &effect);
    void act(const core::AskPermits &effect);
    void act(const core::ProbeTarget &effect);
    void act(const core::TargetCrashed &effect);
    void act(const core::QuarantineRefuted &effect);
    void act(const core::SpillReport &effect);
    void attemptEnded(core::RequestId id, std::uint32_t attempt, const std::string &service,
                      const core::TargetIdentity &target, http::ExchangeResult end);
    // In gatewaytraffic_reports.cpp.
    void reportWait(core::Duration wait, core::Time now);
    void surveyTargets(core::Time now);
    void showSpill();
    void armTimer();
    void onTimer();
    void reportLoad(core::Time now);
    bool isReady() const noexcept { return m_isReady.load(); }
    http::ServerLimits serverLimits() const;

    edges::GatewaySettings m_settings;
    core::CallerLimits m_bounds; ///< Of the configuration in force; the servers below are made with the defaults.
    std::unique_ptr<edges::RequestDialect> m_dialect;
    EventLog &m_events;
    Metrics &m_metrics;
    std::function<bool(FromTraffic)> m_tellControl;
    http::ResourceAccount m_account; ///< Outlives the worker, whose tasks hold shares of it.
    Worker m_worker{"traffic"};
    boost::asio::steady_timer m_timer;
    bool m_isTimerArmed = false;
    ReadyHandler m_readyHandler;
    http::Server m_callers;
    http::Server m_readiness;
    http::Client m_client;
    core::GatewayRouter m_router;
    core::LineBudget m_refusalLines{limitLinesPerSecond};
    core::LineBudget m_displacedLines{limitLinesPerSecond};
    core::LineBudget m_lateLines{limitLinesPerSecond};
    std::size_t m_targetUpdates = 0; ///< Since the last line on a late one.
    core::Duration m_lateCpu{}; ///< Processor time at that line.
    Ring<ToTraffic> m_updates;
    std::unordered_map<std::uint64_t, Exchange> m_exchanges;
    std::set<std::string> m_shardedServices;
    core::Time m_lastLoadReport{};
    core::Time m_lastSurvey{};
    std::vector<core::TargetBelief> m_untold; ///< Didn't fit into the control duty's ring.
    std::array<std::atomic<std::size_t>, core::targetConditions> m_targetCounts{}; ///< For the metrics.
    std::map<std::string, std::shared_ptr<std::atomic<double>>> m_spillShares; ///< For the metrics.
    bool m_hasTargets = false;
    std::atomic<bool> m_isReady = false;
    std::atomic<bool> m_isStopping = false;
};

} // namespace sardinehinge::daemon
