#include <sardinehinge/core/balancing/usualtime.h>

#include <algorithm>

namespace sardinehinge::core {

namespace {

constexpr std::uint32_t averagedSamples = 20; ///< At the start.
constexpr double riseGain = 1.0 / 200; ///< Weight of a later sample above the usual time.
constexpr double fallGain = 1.0 / 100; ///< Weight of a later sample below it.
constexpr double maxRatio = 4; ///< A few requests take many times longer.
constexpr double minNanoseconds = 100'000; ///< Keeps ratios finite.

} // namespace

double UsualTime::add(Duration time) noexcept
{
    const double sample = std::max(static_cast<double>(time.count()), minNanoseconds);
    if (m_samples == 0) {
        m_samples = 1;
        m_nanoseconds = sample;
        return 1;
    }
    const double ratio = sample / m_nanoseconds;
    const double change = m_nanoseconds * (std::min(ratio, maxRatio) - 1);
    if (m_samples < averagedSamples)
        m_nanoseconds += change / static_cast<double>(++m_samples);
    else
        m_nanoseconds += change * (change > 0 ? riseGain : fallGain);
    return ratio;
}

} // namespace sardinehinge::core
