#include <sardinehinge/core/rangeplanner.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>

using namespace sardinehinge::core;

namespace {

/// Owners of all keys. Moves take effect immediately.
struct Placement
{
    std::vector<RoutedRange> ranges;
    std::vector<RangeCandidate> candidates;

    /// Divides the keys equally; `capacities` are assigned in rotation.
    Placement(std::uint32_t targets, const std::vector<double> &capacities)
    {
        const std::uint32_t keys = lastKey + 1;
        for (std::uint32_t index = 0; index < targets; ++index) {
            const std::string id = "t" + std::to_string(index);
            ranges.push_back({{keys * index / targets, (keys * (index + 1) / targets) - 1}, id, RangeState::Held});
            candidates.push_back({id, capacities[index % capacities.size()]});
        }
    }

    void apply(const RangeMove &move)
    {
        std::vector<RoutedRange> next;
        const auto add = [&next](const RoutedRange &range) {
            if (range.range.first > range.range.last)
                return;
            if (!next.empty() && next.back().owner == range.owner)
                next.back().range.last = range.range.last;
            else
                next.push_back(range);
        };
        for (const RoutedRange &range : ranges) {
            if (!range.range.contains(move.range.first)) {
                add(range);
                continue;
            }
            REQUIRE(range.owner == move.from);
            REQUIRE(range.range.contains(move.range.last));
            if (move.range.first > range.range.first)
                add({{range.range.first, move.range.first - 1}, range.owner, range.state});
            add({move.range, move.to, range.state});
            if (move.range.last < range.range.last)
                add({{move.range.last + 1, range.range.last}, range.owner, range.state});
        }
        ranges = next;
    }

    /// The busiest target's load as a multiple of its fair share.
    double worst(const KeyLoad &load) const
    {
        double capacity = 0;
        std::map<std::string, double> use;
        for (const RangeCandidate &candidate : candidates)
            capacity += candidate.capacity;
        for (const RoutedRange &range : ranges)
            use[range.owner] += load.of(range.range);
        double worst = 0;
        for (const RangeCandidate &candidate : candidates)
            worst = std::max(worst, use[candidate.id] * capacity / (candidate.capacity * load.total()));
        return worst;
    }
};

} // namespace

TEST_CASE("Keys move from busy to idle targets until loads are even")
{
    KeyLoad load;
    std::map<std::uint32_t, std::uint32_t> requests;
    for (std::uint32_t key = 100; key < 300; ++key)
        requests[key] = 5; // All in the first target's range.
    for (std::uint32_t key = 0; key <= lastKey; key += 512)
        requests[key] += 2;
    load.add(requests);
    Placement placement(8, {1, 1, 1, 1, 1, 1, 1, 2});
    REQUIRE(placement.worst(load) > 5);
    for (int round = 0; round < 4; ++round) {
        for (const RangeMove &move : planRangeMoves(placement.ranges, placement.candidates, load))
            placement.apply(move);
    }
    CHECK(placement.worst(load) < 1.35);
}

TEST_CASE("Loads become even after each change of the busy keys, with a bounded number of ranges")
{
    // Two busy regions of adjacent keys over a base load; both move with each change.
    const auto [targets, capacities] = GENERATE(table<std::uint32_t, std::vector<double>>({
        {17, {1.4, 1.4, 0.6}},
        {17, {1}},
        {168, {1.4, 1.4, 0.6}},
    }));
    Placement placement(targets, capacities);
    const PlanLimits limits;
    for (std::uint32_t change = 0; change < 8; ++change) {
        std::map<std::uint32_t, std::uint32_t> requests;
        const std::uint32_t middle = (change * 23'456 + 9000) % (lastKey - 3000);
        for (std::uint32_t key = 0; key <= lastKey; key += 16)
            requests[key] = targets / 17;
        for (std::uint32_t key = middle; key < middle + 1500; ++key)
            requests[key] += 2 * targets / 17;
        for (std::uint32_t key = middle + 2000; key < middle + 2060; ++key)
            requests[key] += 20 * targets / 17;
        KeyLoad load;
        load.add(requests);
        const double fair = load.total() / static_cast<double>(targets);
        const double bound = limits.overloadRatio + (limits.noiseDeviations / std::sqrt(fair * 0.5)) + 0.05;
        // 17 targets must be balanced within 8 steps (4 s of half-second steps) of at most 8 moves each.
        const std::uint32_t rounds = 8 * targets / 17;
        for (std::uint32_t round = 0; round < rounds; ++round) {
            for (const RangeMove &move : planRangeMoves(placement.ranges, placement.candidates, load))
                placement.apply(move);
        }
        INFO("change " << change << " ranges " << placement.ranges.size());
        CHECK(placement.worst(load) < bound);
        CHECK(placement.ranges.size() <= 3 * targets);
    }
}

TEST_CASE("A single hot key stays with its owner")
{
    KeyLoad load;
    load.add({{10, 1}, {11, 1000}, {12, 1}, {40000, 10}});
    const std::vector<RoutedRange> ranges
        = {{{0, 32767}, "a", RangeState::Held}, {{32768, lastKey}, "b", RangeState::Held}};
    const auto moves = planRangeMoves(ranges, {{"a", 1}, {"b", 1}}, load);
    for (const RangeMove &move : moves)
        CHECK_FALSE(move.range.contains(11));
}

TEST_CASE("Targets that limit their rate get no more than that as their fair load, and the others the rest")
{
    struct Case
    {
        const char *name;
        std::map<std::string, double> limits;
        double load;
        std::map<std::string, double> fair;
    };
    const auto [name, limits, load, fair] = GENERATE(values<Case>({
        {"no limit", {}, 60, {{"a", 10}, {"b", 20}, {"c", 30}}},
        {"limit above the fair load", {{"c", 31}}, 60, {{"a", 10}, {"b", 20}, {"c", 30}}},
        {"one limited", {{"c", 15}}, 60, {{"a", 15}, {"b", 30}, {"c", 15}}},
        {"a limit that binds after another", {{"b", 25}, {"c", 21}}, 60, {{"a", 14}, {"b", 25}, {"c", 21}}},
        {"the others grow by half", {{"b", 25}, {"c", 15}}, 60, {{"a", 16.4}, {"b", 27.3}, {"c", 16.4}}},
        {"all limited", {{"a", 2}, {"b", 4}, {"c", 4}}, 60, {{"a", 12}, {"b", 24}, {"c", 24}}},
        {"nothing accepted", {{"c", 0}}, 60, {{"a", 20}, {"b", 40}, {"c", 0}}},
    }));
    INFO(name);
    const auto candidates = limitCapacities({{"a", 1}, {"b", 2}, {"c", 3}}, limits, load);
    double capacity = 0;
    for (const RangeCandidate &candidate : candidates)
        capacity += candidate.capacity;
    for (const RangeCandidate &candidate : candidates)
        CHECK(candidate.capacity / capacity * load == Approx(fair.at(candidate.id)).margin(0.1));
}
