#pragma once

#include <sardinehinge/core/target.h>
#include <sardinehinge/core/types.h>

#include <cstdint>
#include <optional>

namespace sardinehinge::core {

/// What one attempt showed about its target.
enum class TargetObservation {
    Served, ///< It responded, with the latency given alongside.
    Shed, ///< It refused for lack of capacity.
    Failed, ///< It failed the request, or the connection ended without a response.
    Unreachable, ///< No connection could be opened.
};

/// Parameters of TargetScore.
struct ScoreParameters
{
    double latencyGain = 0.2; ///< Weight of a new sample in the smoothed latency, as in TCP's estimators.
    double failureGain = 0.15; ///< Weight of a new sample in the failure rate, which shows intermittent failures.
    double failurePenalty = 12; ///< Added to the cost factor at a failure rate of 1.
    double remotePenalty = 2.0; ///< Cost factor of another failure domain: traffic between domains is expensive.
    double warmupPenalty = 2.0; ///< Cost factor of a target that started recently.
    Duration decayHalfLife = std::chrono::seconds(3); ///< Time without samples that halves a score's distance to the
                                                      ///< average.
    std::uint32_t minReportedSamples = 8; ///< Averaged before a latency is reported: a single sample says little, since
                                          ///< work varies by half and a few requests take many times longer.
    double maxReportedRatio = 3; ///< Cap on a reported sample, as a multiple of the baseline, for the same reason.
    double queueingThreshold = 2; ///< Relative latency above which a target is queueing: work alone varies by half.
    std::uint32_t ejectionThreshold = 3; ///< Consecutive failures that eject a target; two are enough if the
                                         ///< second one is Unreachable.
    Duration baseEjectionTime
        = std::chrono::milliseconds(700); ///< Doubles with each further failure, up to maxEjectionTime.
    Duration maxEjectionTime = std::chrono::seconds(4);
    Duration minLimitCutInterval = std::chrono::milliseconds(100); ///< Shortest time between two cuts of the limit.
    double minLimit = 1; ///< Keeps every daemon sampling the target.
    double maxLimit = 10; ///< Eleven daemons share the 130 connections of a target.

    bool operator==(const ScoreParameters &) const = default;
};

/// One daemon's view of one target: its latency, its failure rate, and how many requests this daemon may have in flight
/// to it. The limit uses additive increase and multiplicative decrease (Chiu and Jain, 1989), driven by refusals and by
/// latency above the objective, so that daemons share a target's slots without exchanging messages.
class TargetScore
{
public:
    explicit TargetScore(ScoreParameters parameters = {});

    void attemptStarted() noexcept { ++m_inFlight; }
    /// Records a finished attempt. `latencyObjective`: latency up to which the target counts as having capacity.
    /// `baselineLatency`: latency of this kind of request on an average target.
    void attemptFinished(TargetObservation observation, Duration latency, Duration latencyObjective,
                         Duration baselineLatency, Time now) noexcept;
    /// Ends an attempt that says nothing about the target, such as one whose caller disconnected.
    void attemptDiscarded() noexcept;

    bool hasRoom() const noexcept { return static_cast<double>(m_inFlight) < m_limit; }
    bool isEjected(Time now) const noexcept { return now < m_ejectedUntil; }
    std::uint32_t inFlight() const noexcept { return m_inFlight; }
    double limit() const noexcept { return m_limit; }
    /// Smoothed latency as a multiple of the baseline; 0 before the first response. Being relative, it doesn't depend
    /// on the mix of long and short requests that the target receives.
    double relativeLatency() const noexcept { return m_relativeLatency; }
    /// Whether the latency shows that the target is queueing; true while the latency is unknown. A target that sheds
    /// without queueing refuses part of its requests whatever its load, so its refusals don't lower the limit.
    bool isQueueing() const noexcept
    {
        return m_relativeLatency == 0 || m_relativeLatency > m_parameters.queueingThreshold;
    }
    /// Returns the mean relative latency since the last value returned; std::nullopt until `minReportedSamples`
    /// requests were served.
    std::optional<double> takeMeanRelativeLatency() noexcept;
    /// Expected cost of one more request, as a multiple of an average target's; lower is better.
    double cost(bool isRemote, bool isWarmingUp, Time now) const noexcept
    {
        return cost(isRemote, isWarmingUp, now, 1 + (static_cast<double>(m_inFlight) * inFlightPenalty));
    }
    /// As above, with a better estimate of the factor by which the target's current load lengthens the request.
    double cost(bool isRemote, bool isWarmingUp, Time now, double loadFactor) const noexcept;

private:
    static constexpr double inFlightPenalty = 0.5; ///< Added to the cost factor by each request in flight.

    ScoreParameters m_parameters;
    double m_relativeLatency = 0;
    double m_failureRate = 0; ///< Smoothed, 0 to 1; refusals count as failures.
    std::uint32_t m_inFlight = 0;
    double m_limit = 4;
    std::uint32_t m_consecutiveFailures = 0; ///< Neither counts refusals nor is reset by them.
    Duration m_ejectionTime = 0ms; ///< Length of the last ejection; 0: none since the last success.
    Time m_ejectedUntil = 0ms;
    Time m_lastSample = 0ms;
    Time m_lastCut = 0ms;
    std::uint32_t m_sampleCount = 0;
    double m_sampleSum = 0;
};

} // namespace sardinehinge::core
