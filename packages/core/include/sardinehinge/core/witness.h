#pragma once

#include <sardinehinge/core/leasetiming.h>
#include <sardinehinge/core/messages.h>

#include <optional>

namespace sardinehinge::core {

/// One daemon's part in confirming who controls a group.
///
/// A witness keeps nothing on disk: a restarted daemon is another incarnation, and records name witnesses with their
/// incarnation. Invariants: `promisedTerm` and `baseTerm` never fall, and no heartbeat below either is acknowledged.
class Witness
{
public:
    explicit Witness(const LeaseTiming &timing) noexcept;

    /// Decides on a candidate's request. Refuses while the present controller was heard from within the suspicion
    /// time, unless the candidate is that controller.
    PromiseReply handle(const DaemonIdentity &from, const PromiseRequest &request, Time now);

    /// Acknowledges, or returns the refusal when the sender has been superseded.
    std::variant<HeartbeatAck, PromiseReply> handle(const DaemonIdentity &from, const Heartbeat &heartbeat, Time now);

    /// When the present controller was last heard from; nothing before the first time.
    std::optional<Time> lastHeard() const noexcept { return m_lastHeard; }
    std::uint64_t promisedTerm() const noexcept { return m_promisedTerm; }
    std::uint64_t baseTerm() const noexcept { return m_baseTerm; }

private:
    LeaseTiming m_timing;
    std::uint64_t m_promisedTerm = 0;
    std::uint64_t m_baseTerm = 0;
    DaemonIdentity m_promisedTo;
    std::optional<Time> m_lastHeard;
};

} // namespace sardinehinge::core
