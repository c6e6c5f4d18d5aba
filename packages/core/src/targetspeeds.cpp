#include <sardinehinge/core/targetspeeds.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace sardinehinge::core {

namespace {

/// Growth of a minimum in a second. A target that turned five times slower shows most of it after 20 s, while the crest
/// of a load that swings within some ten seconds adds less than half.
constexpr double driftPerSecond = 1.06;

} // namespace

double TargetSpeeds::drifted(const Lowest &lowest, Time now)
{
    return lowest.slowness * std::pow(driftPerSecond, std::chrono::duration<double>(now - lowest.at).count());
}

void TargetSpeeds::add(const std::string &target, double slowness, Time now)
{
    const auto [found, isNew] = m_lowest.try_emplace(target, Lowest{slowness, now});
    if (!isNew)
        found->second = {std::min(drifted(found->second, now), slowness), now};
}

double TargetSpeeds::speed(const std::string &target, Time now) const
{
    const auto found = m_lowest.find(target);
    if (found == m_lowest.end())
        return 1;
    std::vector<double> all;
    all.reserve(m_lowest.size());
    for (const auto &[id, lowest] : m_lowest)
        all.push_back(drifted(lowest, now));
    const auto middle = all.begin() + static_cast<std::ptrdiff_t>(all.size() / 2);
    std::nth_element(all.begin(), middle, all.end());
    return std::clamp(*middle / drifted(found->second, now), leastSpeed, mostSpeed);
}

} // namespace sardinehinge::core
