#include <sardinehinge/core/balancing/spillpolicy.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace sardinehinge::core {

namespace {

double seconds(Duration time) noexcept
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

double SpillPolicy::relativeTime(Locality side, Time now) const noexcept
{
    const Side &known = sideOf(side);
    const double halfLives = seconds(now - known.sampledAt) / seconds(m_parameters.sampleHalfLife);
    return 1 + ((known.time - 1) * std::exp2(-std::max(halfLives, 0.0)));
}

void SpillPolicy::served(Locality side, double relativeTime, Time now) noexcept
{
    const double known = this->relativeTime(side, now);
    const double sample = std::clamp(relativeTime, 0.0, m_parameters.maxSample);
    sideOf(side) = {known + (m_parameters.sampleGain * (sample - known)), now};
}

void SpillPolicy::move(double change) noexcept
{
    m_share = std::clamp(m_share + change, 0.0, 1.0);
    if (change < 0 && m_share < m_parameters.stoppedShare)
        m_share = 0;
}

void SpillPolicy::update(const UsableTargets &usable, Time now) noexcept
{
    const Duration step
        = std::clamp<Duration>(m_updatedAt ? now - *m_updatedAt : Duration(0), Duration(0), m_parameters.maxStep);
    m_updatedAt = now;
    const auto [home, abroad] = usable;
    m_homeTargets = home;
    if (abroad == 0) {
        m_share = 0;
        return;
    }
    if (home == 0) {
        m_share = 1;
        return;
    }
    const double saved = relativeTime(Locality::Home, now) - relativeTime(Locality::Abroad, now);
    const double price = m_parameters.crossingPrice * (m_share == 0 ? m_parameters.startMargin : 1.0);
    const double rate = std::clamp(m_parameters.gain * (saved - price), -m_parameters.maxFall, m_parameters.maxRise);
    move(rate * seconds(step));
}

bool SpillPolicy::leaves(double draw, double relativeSize) const noexcept
{
    constexpr double minSize = 0.25; // Small requests make up for large ones, within limits.
    return draw * std::max(relativeSize, minSize) < m_share;
}

std::array<double, localities> SpillPolicy::factors(double draw, double relativeSize) const noexcept
{
    const double otherSide = 1 + (4 * m_parameters.crossingPrice);
    return leaves(draw, relativeSize) ? std::array<double, localities>{otherSide, 1}
                                      : std::array<double, localities>{1, otherSide};
}

bool SpillPolicy::mayCross(Time now) const noexcept
{
    if (m_homeTargets == 0 || now - sideOf(Locality::Abroad).sampledAt >= m_parameters.sampleHalfLife)
        return true;
    const double abroad = relativeTime(Locality::Abroad, now);
    return abroad < 1 + m_parameters.crossingPrice
        || relativeTime(Locality::Home, now) - abroad > m_parameters.crossingPrice / 2;
}

std::optional<SpillChange> SpillPolicy::takeChange(Time now) noexcept
{
    const bool leaves = m_share > 0;
    if (leaves == m_isReported)
        return std::nullopt;
    m_isReported = leaves;
    const SpillChange change{
        leaves,        relativeTime(Locality::Home, now),      relativeTime(Locality::Abroad, now),
        m_homeTargets, leaves ? Duration(0) : now - m_begunAt, now - sideOf(Locality::Abroad).sampledAt};
    if (leaves)
        m_begunAt = now;
    return change;
}

} // namespace sardinehinge::core
