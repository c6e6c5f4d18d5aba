#include <sardinehinge/core/targetscore.h>

#include <algorithm>
#include <cmath>

namespace sardinehinge::core {

TargetScore::TargetScore(ScoreParameters parameters)
    : m_parameters(parameters)
{
}

void TargetScore::attemptDiscarded() noexcept
{
    if (m_inFlight != 0)
        --m_inFlight;
}

std::optional<double> TargetScore::takeMeanRelativeLatency() noexcept
{
    if (m_sampleCount < m_parameters.minReportedSamples)
        return std::nullopt;
    const double mean = m_sampleSum / m_sampleCount;
    m_sampleSum = 0;
    m_sampleCount = 0;
    return mean;
}

void TargetScore::attemptFinished(TargetObservation observation, Duration latency, Duration latencyObjective,
                                  Duration baselineLatency, Time now) noexcept
{
    const bool wasFull = !hasRoom() || m_inFlight + 1 >= static_cast<std::uint32_t>(m_limit);
    attemptDiscarded();
    m_lastSample = now;
    const bool isFailure = observation != TargetObservation::Served;
    m_failureRate += m_parameters.failureGain * ((isFailure ? 1.0 : 0.0) - m_failureRate);
    const bool isSlow = (observation == TargetObservation::Shed && isQueueing())
        || (observation == TargetObservation::Served && latency > latencyObjective);
    if (isSlow && now - m_lastCut >= m_parameters.minLimitCutInterval) {
        m_limit = std::max(m_parameters.minLimit, m_limit * 0.75);
        m_lastCut = now;
    }
    if (observation == TargetObservation::Served) {
        m_consecutiveFailures = 0;
        m_ejectionTime = 0ms;
        m_ejectedUntil = 0ms;
        const double sample = static_cast<double>(latency.count()) / static_cast<double>(baselineLatency.count());
        m_relativeLatency = m_relativeLatency == 0
            ? sample
            : m_relativeLatency + (m_parameters.latencyGain * (sample - m_relativeLatency));
        m_sampleSum += std::min(sample, m_parameters.maxReportedRatio);
        ++m_sampleCount;
        if (!isSlow && wasFull)
            m_limit = std::min(m_parameters.maxLimit, m_limit + 1 / m_limit);
        return;
    }
    if (observation == TargetObservation::Shed)
        return;
    ++m_consecutiveFailures;
    if (m_consecutiveFailures < m_parameters.ejectionThreshold
        && !(observation == TargetObservation::Unreachable && m_consecutiveFailures >= 2))
        return;
    m_ejectionTime = m_ejectionTime == 0ms ? m_parameters.baseEjectionTime
                                           : std::min(m_ejectionTime * 2, m_parameters.maxEjectionTime);
    m_ejectedUntil = now + m_ejectionTime;
}

double TargetScore::cost(bool isRemote, bool isWarmingUp, Time now, double loadFactor) const noexcept
{
    const double age
        = static_cast<double>((now - m_lastSample).count()) / static_cast<double>(m_parameters.decayHalfLife.count());
    const double trust = m_relativeLatency == 0 ? 0.0 : std::exp2(-age);
    double cost = 1 + (trust * (m_relativeLatency - 1));
    cost *= 1 + m_parameters.failurePenalty * m_failureRate * (m_relativeLatency == 0 ? 1.0 : trust);
    cost *= loadFactor;
    if (isRemote)
        cost *= m_parameters.remotePenalty;
    if (isWarmingUp)
        cost *= m_parameters.warmupPenalty;
    return cost;
}

} // namespace sardinehinge::core
