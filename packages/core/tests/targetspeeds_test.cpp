#include <sardinehinge/core/targetspeeds.h>

#include <catch2/catch.hpp>

using namespace sardinehinge::core;

namespace {

/// Adds a measurement for each of five targets per second; targets not in `slowness` have average latency.
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

TEST_CASE("A target's speed follows its lowest latency, within bounds")
{
    const auto [slowness, least, most] = GENERATE(table<double, double, double>({
        {1.0, 0.9, 1.1},
        {1.6, 0.55, 0.7},
        {0.7, 1.3, 1.5},
        {0.01, 2.0, 2.0}, // A few immediate answers don't make a target a hundred times faster.
        {50.0, 0.1, 0.1},
    }));
    const TargetSpeeds speeds = speedsAfter({{"a", slowness}}, 10);
    CHECK(speeds.speed("a", 10s) >= least);
    CHECK(speeds.speed("a", 10s) <= most);
}

TEST_CASE("A queue of a few seconds does not look like a slow target, lasting slowness does")
{
    const TargetSpeeds calm = speedsAfter({}, 10);
    CHECK(speedsAfter({{"a", 4.0}}, 3, calm, 11s).speed("a", 13s) > 0.75);
    CHECK(speedsAfter({{"a", 5.0}}, 20, calm, 11s).speed("a", 31s) < 0.4);
}

TEST_CASE("A target without measurements has average speed")
{
    CHECK(TargetSpeeds().speed("a", 1s) == 1);
}

TEST_CASE("Targets that have left don't count for the speed of the others")
{
    const int departed = GENERATE(0, 4, 5, 500);
    const Duration since = GENERATE(0s, 60s, 3600s, 36'000s);
    TargetSpeeds speeds;
    std::map<std::string, RegisteredTarget> targets;
    for (int index = 0; index < departed; ++index)
        speeds.add("gone" + std::to_string(index), 1, 1s);
    const Time now = 1s + since;
    for (const auto &[id, slowness] : std::map<std::string, double>{{"a", 1}, {"b", 1}, {"c", 1}, {"slow", 4}}) {
        speeds.add(id, slowness, now);
        targets[id].identity = {id, 1};
    }
    speeds.keepOnly(targets);
    CHECK(speeds.speed("a", now) == 1);
    CHECK(speeds.speed("slow", now) == 0.25);
    CHECK(speeds.speed("gone0", now) == 1);
}
