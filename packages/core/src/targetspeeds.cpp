#include <sardinehinge/core/targetspeeds.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace sardinehinge::core {

namespace {

/// Growth of a minimum per second. A fivefold slowdown is mostly visible after 20 s, while the peak of a load that
/// varies over about ten seconds raises the minimum by less than half.
constexpr double growthPerSecond = 1.06;

} // namespace

double TargetSpeeds::grownMinimum(const Minimum &minimum, Time now)
{
    return minimum.slowness * std::pow(growthPerSecond, std::chrono::duration<double>(now - minimum.updatedAt).count());
}

void TargetSpeeds::add(const std::string &target, double slowness, Time now)
{
    const auto [found, isNew] = m_minima.try_emplace(target, Minimum{slowness, now});
    if (!isNew)
        found->second = {std::min(grownMinimum(found->second, now), slowness), now};
}

void TargetSpeeds::keepOnly(const std::map<std::string, RegisteredTarget> &targets)
{
    std::erase_if(m_minima, [&targets](const auto &minimum) { return !targets.contains(minimum.first); });
}

double TargetSpeeds::speed(const std::string &target, Time now) const
{
    const auto found = m_minima.find(target);
    if (found == m_minima.end())
        return 1;
    std::vector<double> all;
    all.reserve(m_minima.size());
    for (const auto &[id, minimum] : m_minima)
        all.push_back(grownMinimum(minimum, now));
    const auto middle = all.begin() + static_cast<std::ptrdiff_t>(all.size() / 2);
    std::nth_element(all.begin(), middle, all.end());
    return std::clamp(*middle / grownMinimum(found->second, now), minSpeed, maxSpeed);
}

} // namespace sardinehinge::core
