#pragma once

#include <sardinehinge/core/types.h>

#include <map>
#include <string>

namespace sardinehinge::core {

/// How fast each target of a service works, from latencies that include waiting in its queue.
///
/// A queue only ever adds to a latency, so a target's speed shows in the lowest of its mean latencies (the minimum
/// filter of LEDBAT's base delay, RFC 6817). That minimum drifts upward, so that a target which turned slow is found
/// out. Meant for placing keys: a short queue must not pass for a slow target, or keys would move at each crest.
class TargetSpeeds
{
public:
    /// Takes in a mean latency as a multiple of an average target's, above 0.
    void add(const std::string &target, double slowness, Time now);
    /// Speed relative to an average target, within leastSpeed and mostSpeed; 1 while nothing is known.
    double speed(const std::string &target, Time now) const;

    static constexpr double leastSpeed = 0.1; ///< Slower ones get few keys all the same.
    static constexpr double mostSpeed = 2; ///< Of the median: a few quick answers don't draw all keys to a target.

private:
    struct Lowest
    {
        double slowness = 1;
        Time at = 0ms;
    };

    static double drifted(const Lowest &lowest, Time now);

    std::map<std::string, Lowest> m_lowest;
};

} // namespace sardinehinge::core
