#pragma once

#include "dutymessages.h"

#include <sardinehinge/daemon/metrics.h>
#include <sardinehinge/daemon/ring.h>
#include <sardinehinge/daemon/worker.h>
#include <sardinehinge/edges/httpadapters.h>
#include <sardinehinge/http/client.h>

namespace sardinehinge::daemon {

/// Carries orders of ownership to targets and their reports back. Apart from the routing duty, so that a crest of
/// requests can't delay a renewal. A full ring drops the order, which then counts as unanswered.
class OrderDuty
{
public:
    OrderDuty(Metrics &metrics, core::Duration orderTimeout, std::function<bool(OrderOutcome)> report);
    ~OrderDuty();

    void start() { m_worker.start(); }
    void stop() { m_worker.stop(); }

    Ring<OutgoingOrder> &orders() noexcept { return m_orders; }
    Worker &worker() noexcept { return m_worker; }

private:
    void send(const OutgoingOrder &outgoing);

    Metrics &m_metrics;
    core::Duration m_orderTimeout;
    std::function<bool(OrderOutcome)> m_report;
    Worker m_worker{"orders"};
    http::Client m_client;
    edges::HttpTargetControl m_control;
    Ring<OutgoingOrder> m_orders;
};

} // namespace sardinehinge::daemon
