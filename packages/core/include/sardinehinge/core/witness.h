#pragma once

#include <sardinehinge/core/leasetiming.h>
#include <sardinehinge/core/messages.h>

#include <optional>

namespace sardinehinge::core {

/// The voter of one daemon in the election of a group's controller.
///
/// A witness keeps no state on disk: control records name each witness with its incarnation, so a restarted daemon is a
/// different witness. Invariants: promisedTerm() and baseTerm() never decrease, and no heartbeat with a lower term or
/// base term is acknowledged.
class Witness
{
public:
    explicit Witness(const LeaseTiming &timing) noexcept;

    /// Grants or refuses a promise to a candidate. Refuses a stale term or base term, and refuses other candidates
    /// while the daemon with the current promise was heard from within LeaseTiming::suspicionTimeout.
    PromiseReply handle(const DaemonIdentity &from, const PromiseRequest &request, Time now);

    /// Acknowledges the heartbeat, or returns a refusal when a later term or another daemon has superseded the sender.
    std::variant<HeartbeatAck, PromiseReply> handle(const DaemonIdentity &from, const Heartbeat &heartbeat, Time now);

    /// When this witness last granted a promise or acknowledged a heartbeat; empty before the first time.
    std::optional<Time> lastHeard() const noexcept { return m_lastHeard; }
    /// Highest term that this witness has promised to or acknowledged; 0 before the first.
    std::uint64_t promisedTerm() const noexcept { return m_promisedTerm; }
    /// Highest record term known from granted promises and acknowledged heartbeats.
    std::uint64_t baseTerm() const noexcept { return m_baseTerm; }

private:
    LeaseTiming m_timing;
    std::uint64_t m_promisedTerm = 0;
    std::uint64_t m_baseTerm = 0;
    DaemonIdentity m_promisedTo;
    std::optional<Time> m_lastHeard;
};

} // namespace sardinehinge::core
