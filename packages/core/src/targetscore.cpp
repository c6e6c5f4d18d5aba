#include <sardinehinge/core/targetscore.h>

#include <algorithm>
#include <cmath>

namespace sardinehinge::core {

TargetScore::TargetScore(ScoreTiming timing)
    : m_timing(timing)
{
}

void TargetScore::dropped() noexcept
{
    if (m_inFlight != 0)
        --m_inFlight;
}

std::optional<double> TargetScore::takeMeanSlowness() noexcept
{
    if (m_sampleCount < m_timing.latencySamples)
        return std::nullopt;
    const double mean = m_sampleSum / m_sampleCount;
    m_sampleSum = 0;
    m_sampleCount = 0;
    return mean;
}

void TargetScore::finished(TargetSign sign, Duration taken, Duration aim, Duration norm, Time now) noexcept
{
    const bool wasFull = !hasRoom() || m_inFlight + 1 >= static_cast<std::uint32_t>(m_limit);
    dropped();
    m_lastSample = now;
    const bool isFailure = sign != TargetSign::Served;
    m_failures += m_timing.failureGain * ((isFailure ? 1.0 : 0.0) - m_failures);
    const bool isSlow = (sign == TargetSign::Shed && isQueueing()) || (sign == TargetSign::Served && taken > aim);
    if (isSlow && now - m_lastCut >= m_timing.limitPause) {
        m_limit = std::max(m_timing.limitMin, m_limit * 0.75);
        m_lastCut = now;
    }
    if (sign == TargetSign::Served) {
        m_unanswered = 0;
        m_nextEjection = 0ms;
        m_ejectedUntil = 0ms;
        const double sample = static_cast<double>(taken.count()) / static_cast<double>(norm.count());
        m_slowness = m_slowness == 0 ? sample : m_slowness + (m_timing.gain * (sample - m_slowness));
        m_sampleSum += std::min(sample, m_timing.longestSample);
        ++m_sampleCount;
        if (!isSlow && wasFull)
            m_limit = std::min(m_timing.limitMax, m_limit + 1 / m_limit);
        return;
    }
    if (sign == TargetSign::Shed)
        return;
    ++m_unanswered;
    if (m_unanswered < m_timing.ejectAfter && !(sign == TargetSign::Unreachable && m_unanswered >= 2))
        return;
    m_nextEjection = m_nextEjection == 0ms ? m_timing.ejectTime : std::min(m_nextEjection * 2, m_timing.ejectTimeMax);
    m_ejectedUntil = now + m_nextEjection;
}

double TargetScore::cost(bool isRemote, bool isWarming, Time now) const noexcept
{
    const double age = static_cast<double>((now - m_lastSample).count()) / static_cast<double>(m_timing.forget.count());
    const double trust = m_slowness == 0 ? 0.0 : std::exp2(-age);
    double cost = 1 + (trust * (m_slowness - 1));
    cost *= 1 + m_timing.failureCost * m_failures * (m_slowness == 0 ? 1.0 : trust);
    cost *= 1 + static_cast<double>(m_inFlight) * 0.5;
    if (isRemote)
        cost *= m_timing.remoteCost;
    if (isWarming)
        cost *= m_timing.warmingCost;
    return cost;
}

} // namespace sardinehinge::core
