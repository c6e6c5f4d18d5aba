#include <sardinehinge/core/balancing/loadreport.h>

#include <algorithm>
#include <cmath>
#include <numbers>

namespace sardinehinge::core {

namespace {

constexpr double meanGain = 0.2; ///< Weight of a new report in the means.
constexpr Duration factorHalfLife = std::chrono::milliseconds(50); ///< The work factor changes many times a second.

constexpr double ownShare = 0.75; ///< Added to the relative time by own requests that take all slots.

/// Weight of a value of this age, which halves with each half-life.
double weightOf(Duration age, Duration halfLife) noexcept
{
    if (halfLife <= Duration(0))
        return 0;
    return std::exp2(-static_cast<double>(std::max(age, Duration(0)).count()) / static_cast<double>(halfLife.count()));
}

/// Mean of the positive part of a normally distributed value.
double meanExcess(double mean, double deviation) noexcept
{
    if (deviation < 1e-6)
        return std::max(mean, 0.0);
    const double ratio = mean / deviation;
    const double density = std::exp(-ratio * ratio / 2) / std::sqrt(2 * std::numbers::pi);
    return (deviation * density) + (mean * std::erfc(-ratio / std::numbers::sqrt2) / 2);
}

} // namespace

void ReportedLoad::take(const LoadReport &report, std::uint32_t ownInFlight, Time now) noexcept
{
    const double held = static_cast<double>(report.running) + static_cast<double>(report.waiting);
    m_others = std::max(held - static_cast<double>(ownInFlight), 0.0);
    m_latest = report;
    m_latest.slots = std::max(report.slots, 1U);
    const double gain = m_takenAt ? meanGain : 1;
    m_meanOthers += gain * (m_others - m_meanOthers);
    m_meanFactor += gain * (report.workFactor - m_meanFactor);
    m_takenAt = now;
}

std::optional<Duration> ReportedLoad::age(Time now) const noexcept
{
    if (!m_takenAt)
        return std::nullopt;
    return now - *m_takenAt;
}

double ReportedLoad::expectedOthers(Duration usualTime, Time now) const noexcept
{
    if (!m_takenAt)
        return 0;
    return m_meanOthers + ((m_others - m_meanOthers) * weightOf(now - *m_takenAt, usualTime));
}

double ReportedLoad::relativeTime(std::uint32_t ownInFlight, Duration usualTime, Time now) const noexcept
{
    if (!m_takenAt)
        return 1;
    const Duration age = now - *m_takenAt;
    const double slots = m_latest.slots;
    const double others = expectedOthers(usualTime, now);
    const double unseen = others * (1 - weightOf(age, usualTime)); // Their variance is their mean, as for any arrivals.
    const double excess = meanExcess(others + ownInFlight + 1 - slots, std::sqrt(std::max(unseen, 0.0)));
    const double change = (m_latest.workFactor / std::max(m_meanFactor, 0.01)) - 1;
    // Own requests that still run there lengthen this one more surely than a mean of others does.
    const double own = 1 + (ownShare * ownInFlight / slots);
    return own * (1 + (excess / slots)) * (1 + (change * weightOf(age, factorHalfLife)));
}

} // namespace sardinehinge::core
