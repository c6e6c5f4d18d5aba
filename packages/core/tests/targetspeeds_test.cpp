#include <sardinehinge/core/targetspeeds.h>

#include <catch2/catch.hpp>

using namespace sardinehinge::core;

namespace {

/// A service of five targets; those not named have the latency of an average one, each second for `seconds`.
TargetSpeeds speedsAfter(const std::map<std::string, double> &slowness, int seconds, TargetSpeeds speeds = {},
                         Time from = 1s)
{
    for (int second = 0; second < seconds; ++second) {
        for (const std::string id : {"a", "b", "c", "d", "e"}) {
            const auto found = slowness.find(id);
            speeds.add(id, found == slowness.end() ? 1.0 : found->second, from + second * 1s);
        }
    }
    return speeds;
}

} // namespace

TEST_CASE("A target's speed is that of its lowest latency, within bounds")
{
    const auto [slowness, least, most] = GENERATE(table<double, double, double>({
        {1.0, 0.9, 1.1},
        {1.6, 0.55, 0.7},
        {0.7, 1.3, 1.5},
        {0.01, 2.0, 2.0}, // A few answers at once don't make a target a hundred times faster.
        {50.0, 0.1, 0.1},
    }));
    const TargetSpeeds speeds = speedsAfter({{"a", slowness}}, 10);
    CHECK(speeds.speed("a", 10s) >= least);
    CHECK(speeds.speed("a", 10s) <= most);
}

TEST_CASE("A queue of some seconds does not pass for a slow target, slow work does")
{
    const TargetSpeeds calm = speedsAfter({}, 10);
    CHECK(speedsAfter({{"a", 4.0}}, 3, calm, 11s).speed("a", 13s) > 0.75);
    CHECK(speedsAfter({{"a", 5.0}}, 20, calm, 11s).speed("a", 31s) < 0.4);
}

TEST_CASE("A target that nobody has used yet counts as an average one")
{
    CHECK(TargetSpeeds().speed("a", 1s) == 1);
}
