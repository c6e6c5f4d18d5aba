#include "orderduty.h"

namespace sardinehinge::daemon {

namespace {

constexpr std::size_t orderRing = 8192;

} // namespace

OrderDuty::OrderDuty(Metrics &metrics, core::Duration orderTimeout, std::function<bool(OrderOutcome)> report)
    : m_metrics(metrics)
    , m_orderTimeout(orderTimeout)
    , m_report(std::move(report))
    , m_client(m_worker.context())
    , m_control(m_client)
    , m_orders(orderRing,
               m_worker.waker([this] { m_orders.drain([this](const OutgoingOrder &outgoing) { send(outgoing); }); }))
{
}

OrderDuty::~OrderDuty()
{
    m_worker.stop();
}

void OrderDuty::send(const OutgoingOrder &outgoing)
{
    const core::OrderTarget &order = outgoing.order;
    // The authority to send may have ended while the order waited in the ring or this thread was paused. What remains
    // is a pause between here and the kernel; the order's anchor bounds what it can do then.
    if (bootTime() >= order.validUntil) {
        m_report({outgoing.service, order.target, order.order.sequence, std::nullopt, false});
        return;
    }
    const auto done = [this, service = outgoing.service, target = order.target,
                       sequence = order.order.sequence](const edges::OrderEnd &end) {
        m_metrics.orderBytes.Increment(static_cast<double>(end.bytes));
        m_report({service, target, sequence, end.report, end.refused});
    };
    m_control.send(order.address, order.order, m_orderTimeout, done);
}

} // namespace sardinehinge::daemon
