#pragma once

#include <sardinehinge/core/target.h>
#include <sardinehinge/core/types.h>

#include <map>
#include <string>

namespace sardinehinge::core {

/// Estimates the relative speed of each target of a service from latencies that include queueing time.
///
/// Queueing only adds latency, so the minimum of the mean latencies reflects the target's speed (like the base delay of
/// LEDBAT, RFC 6817). The stored minimum grows over time, so that a target that becomes slower is detected. Used to
/// place keys: a short queue must not look like a slow target, or every load peak would move keys.
class TargetSpeeds
{
public:
    /// Adds a measurement. `slowness`: mean latency divided by that of an average target, above 0.
    void add(const std::string &target, double slowness, Time now);
    /// Forgets all targets but these, whose minima would grow for ever and raise the median.
    void keepOnly(const std::map<std::string, RegisteredTarget> &targets);
    /// Speed relative to the median target, between minSpeed and maxSpeed; 1 without measurements.
    double speed(const std::string &target, Time now) const;

    static constexpr double minSpeed = 0.1; ///< Slower targets still get a few keys.
    static constexpr double maxSpeed = 2; ///< Keeps a few quick answers from attracting all keys.

private:
    struct Minimum
    {
        double slowness = 1;
        Time updatedAt = 0ms;
    };

    static double grownMinimum(const Minimum &minimum, Time now);

    std::map<std::string, Minimum> m_minima;
};

} // namespace sardinehinge::core
