#pragma once

#include "dutymessages.h"

#include <sardinehinge/core/requestrouter.h>
#include <sardinehinge/core/slotallocator.h>
#include <sardinehinge/daemon/eventlog.h>
#include <sardinehinge/daemon/metrics.h>
#include <sardinehinge/daemon/ring.h>
#include <sardinehinge/daemon/worker.h>
#include <sardinehinge/edges/httpadapters.h>
#include <sardinehinge/http/client.h>

#include <boost/asio/steady_timer.hpp>

#include <unordered_map>

namespace sardinehinge::daemon {

/// Runs core::RequestRouter: takes requests from the caller duty, carries them to targets, and sends answers back.
class RoutingDuty
{
public:
    RoutingDuty(core::DaemonIdentity self, std::uint64_t seed, EventLog &events, Metrics &metrics,
                std::function<bool(CallerAnswer)> answer, std::function<bool(RoutingToControl)> tellControl,
                std::function<bool(OutgoingSlotMessage)> tellPeers);
    ~RoutingDuty();

    void start();
    void stop() { m_worker.stop(); }
    /// Requests that arrive from `time` on are refused, since the daemon stops. Safe to call from every thread.
    void setLastAdmission(core::Time time);
    /// Answers all requests, since the process ends: as not run, or as unknown if they were sent. Safe to call from
    /// every thread.
    void endRequests();

    Ring<ToRouting> &requests() noexcept { return m_requests; }
    Ring<ControlToRouting> &updates() noexcept { return m_updates; }
    /// From the peer duty; a full ring drops messages, which are repeated.
    Ring<IncomingSlotMessage> &slotMessages() noexcept { return m_slotMessages; }
    Worker &worker() noexcept { return m_worker; }

private:
    /// A caller's request while it is under way.
    struct Exchange
    {
        std::uint64_t id = 0;
        std::string requestId;
        core::ServiceId service;
        std::shared_ptr<const http::Request> message;
        core::Time arrived{};
        std::vector<core::RequestId> parts; ///< One, or one for each shard of a range read.
        std::map<core::RequestId, http::Response> answers; ///< Of the parts that ended.
        bool isRangeRead = false;
    };

    /// One part of an exchange, as the router knows it.
    struct Part
    {
        std::uint64_t exchange = 0;
        std::uint32_t shard = 0;
        std::map<std::uint32_t, edges::TargetTraffic::AttemptId> traffic; ///< By attempt.
        http::Response answer; ///< Of the latest attempt.
    };

    void endAll();
    core::Error stopError() const;
    void take(CallerRequest request);
    void take(const CallerGone &gone);
    void take(WorkspaceUpdate update);
    void take(const core::OwnersChanged &change);
    void take(const core::TargetsChanged &change);
    std::optional<core::Error> readHead(const http::Request &message, core::RequestHead &head) const;
    std::vector<core::RequestHead> split(const core::RequestHead &head, const http::Request &message,
                                         bool &isRangeRead) const;
    void run(const core::RouterEvent &event);
    void act(const core::StartAttempt &effect);
    void act(const core::CancelAttempt &effect);
    void act(const core::ForwardResponse &effect);
    void act(const core::FailRequest &effect);
    void act(const core::SendSlotDemand &effect);
    void take(const IncomingSlotMessage &message);
    void allocate(const core::DaemonIdentity &from, const core::SlotDemand &demand);
    void finishPart(core::RequestId part, http::Response answer);
    void finishExchange(Exchange &exchange, http::Response response);
    void endParts(const std::vector<core::RequestId> &parts);
    http::Response joinParts(const Exchange &exchange) const;
    void armTimer();
    void reportLoad();

    core::DaemonIdentity m_self;
    EventLog &m_events;
    Metrics &m_metrics;
    std::function<bool(CallerAnswer)> m_answer;
    std::function<bool(RoutingToControl)> m_tellControl;
    std::function<bool(OutgoingSlotMessage)> m_tellPeers;
    Worker m_worker{"routing"};
    boost::asio::steady_timer m_timer;
    http::Client m_client;
    edges::HttpTargetTraffic m_traffic;
    core::RequestRouter m_router;
    core::SlotAllocator m_allocator;
    Ring<ToRouting> m_requests;
    Ring<ControlToRouting> m_updates;
    Ring<IncomingSlotMessage> m_slotMessages;
    std::map<std::string, core::WorkspaceSpec> m_workspaces;
    std::unordered_map<std::uint64_t, Exchange> m_exchanges;
    std::unordered_map<core::RequestId, Part> m_parts;
    core::RequestId m_nextPart = 1;
    std::optional<core::Time> m_lastAdmission; ///< Of a daemon that stops.
    core::Time m_lastLoadReport{};
    core::Time m_lastActive{};
};

} // namespace sardinehinge::daemon
