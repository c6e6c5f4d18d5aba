#pragma once

#include <sardinehinge/core/target.h>
#include <sardinehinge/core/types.h>

#include <cstdint>
#include <optional>

namespace sardinehinge::core {

/// What one attempt showed of its target.
enum class TargetSign {
    Served, ///< It answered, in the time given beside.
    Shed, ///< It refused for want of room.
    Failed, ///< It failed the request, or the connection ended without an answer.
    Unreachable, ///< No connection could be opened.
};

/// Weights by which a daemon judges a target from its own requests. Each targets the loads named beside it.
struct ScoreTiming
{
    double gain = 0.2; ///< Weight of a new sample in the smoothed latency (as TCP's estimators use).
    double failureGain = 0.15; ///< The same for the share of failures: part-time failures.
    double failureCost = 12; ///< Latency factor of a target that fails every request.
    double remoteCost = 2.0; ///< Latency factor of another failure domain: bytes between domains are dear.
    double warmingCost = 2.0; ///< Latency factor of a target that was started a moment ago.
    Duration forget = std::chrono::seconds(3); ///< Without samples, a judgement halves its distance to the norm.
    std::uint32_t latencySamples = 8; ///< Averaged before a latency is reported: one sample says little, since work
                                      ///< varies by half and a few requests run many times longer.
    double longestSample = 3; ///< Multiple of the norm that a reported sample counts as at most, for the same reason.
    double queueingSlowness = 2; ///< Above this multiple of the norm a target has a queue: work itself varies by half.
    std::uint32_t ejectAfter = 3; ///< Attempts in a row without an answer that take a target out.
    Duration ejectTime = std::chrono::milliseconds(700); ///< First time out; doubles up to ejectTimeMax.
    Duration ejectTimeMax = std::chrono::seconds(4);
    Duration limitPause = std::chrono::milliseconds(100); ///< Least time between two cuts of the limit.
    double limitMin = 1; ///< So that every daemon goes on seeing the target.
    double limitMax = 10; ///< Eleven daemons share the 130 connections of a target.

    bool operator==(const ScoreTiming &) const = default;
};

/// One daemon's view of one target: how fast it answers, how often it fails, and how many requests it should get from
/// here at once. The limit follows additive increase and multiplicative decrease (Chiu and Jain, 1989), with latency
/// beyond the aim and refusals as the signal: daemons share a target's slots without messages.
class TargetScore
{
public:
    explicit TargetScore(ScoreTiming timing = {});

    void started() noexcept { ++m_inFlight; }
    /// An attempt ended. `aim`: the latency up to which the target counts as having room. `norm`: latency that a
    /// request of its kind has on an average target.
    void finished(TargetSign sign, Duration taken, Duration aim, Duration norm, Time now) noexcept;
    /// An attempt ended that says nothing of the target, such as one whose caller left.
    void dropped() noexcept;

    bool hasRoom() const noexcept { return static_cast<double>(m_inFlight) < m_limit; }
    bool isEjected(Time now) const noexcept { return now < m_ejectedUntil; }
    std::uint32_t inFlight() const noexcept { return m_inFlight; }
    double limit() const noexcept { return m_limit; }
    /// Smoothed latency as a multiple of the norm, so that a mix of long and short kinds of requests doesn't pass for a
    /// slow or a fast target; 0 before the first answer.
    double slowness() const noexcept { return m_slowness; }
    /// Whether its answers come so late that it must have a queue. A target that sheds without one refuses part of its
    /// requests whatever its load.
    bool isQueueing() const noexcept { return m_slowness == 0 || m_slowness > m_timing.queueingSlowness; }
    /// Mean slowness since the last one taken, once enough requests were served for it to mean something.
    std::optional<double> takeMeanSlowness() noexcept;
    /// Expected cost of one more request, as a multiple of an average target's; lower is better.
    double cost(bool isRemote, bool isWarming, Time now) const noexcept;

private:
    ScoreTiming m_timing;
    double m_slowness = 0;
    double m_failures = 0; ///< Smoothed share of failed attempts, 0 to 1.
    std::uint32_t m_inFlight = 0;
    double m_limit = 4;
    std::uint32_t m_unanswered = 0; ///< In a row.
    Duration m_nextEjection = 0ms;
    Time m_ejectedUntil = 0ms;
    Time m_lastSample = 0ms;
    Time m_lastCut = 0ms;
    std::uint32_t m_sampleCount = 0;
    double m_sampleSum = 0;
};

} // namespace sardinehinge::core
