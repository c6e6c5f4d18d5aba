#include <sardinehinge/core/witness.h>

#include <algorithm>

namespace sardinehinge::core {

Witness::Witness(const LeaseTiming &timing) noexcept
    : m_timing(timing)
{
}

PromiseReply Witness::handle(const DaemonIdentity &from, const PromiseRequest &request, Time now)
{
    const bool isPromisedSender = from == m_promisedTo;
    const bool isRepeated = isPromisedSender && request.term == m_promisedTerm;
    const bool isControllerAlive = m_lastHeard && now - *m_lastHeard < m_timing.suspicionTimeout;
    const bool isStale = request.baseTerm < m_baseTerm || (request.term <= m_promisedTerm && !isRepeated);
    const bool granted = !isStale && (isPromisedSender || !isControllerAlive);
    if (granted) {
        m_promisedTerm = request.term;
        m_promisedTo = from;
        m_baseTerm = request.baseTerm;
        m_lastHeard = now;
    }
    return {request.group, request.term, granted, m_promisedTerm, m_baseTerm};
}

std::variant<HeartbeatAck, PromiseReply> Witness::handle(const DaemonIdentity &from, const Heartbeat &heartbeat,
                                                         Time now)
{
    const bool isRival = heartbeat.term == m_promisedTerm && from != m_promisedTo;
    if (heartbeat.term < m_promisedTerm || heartbeat.baseTerm < m_baseTerm || isRival)
        return PromiseReply{heartbeat.group, heartbeat.term, false, m_promisedTerm, m_baseTerm};
    m_promisedTerm = heartbeat.term;
    m_promisedTo = from;
    m_baseTerm = heartbeat.baseTerm;
    m_lastHeard = now;
    return HeartbeatAck{heartbeat.group, heartbeat.term, heartbeat.baseTerm, heartbeat.sentAt};
}

} // namespace sardinehinge::core
