#include "domainfleet.h"

#include <cstdio>

namespace sardinehinge::core::tests {
namespace {

FleetSettings fleetOf(bool adaptsSpill, std::size_t daemons, double load, double otherLoad)
{
    FleetSettings settings;
    settings.daemons = daemons;
    settings.load = {load, otherLoad};
    settings.limits.adaptsSpill = adaptsSpill;
    return settings;
}

struct Outcome
{
    DomainFleet::Counts counts;
    double largestChange = 0; ///< Of the crossing share, from one second to the next.
};

/// Runs a fleet until it has settled, then for 20 s.
Outcome settledRun(const FleetSettings &settings)
{
    DomainFleet fleet(settings);
    fleet.run(20s);
    fleet.takeCounts();
    Outcome outcome;
    double before = -1;
    for (int second = 0; second < 20; ++second) {
        fleet.run(1s);
        const auto counts = fleet.takeCounts();
        const double share = counts.crossedShare(0);
        if (before >= 0)
            outcome.largestChange = std::max(outcome.largestChange, std::abs(share - before));
        before = share;
        for (std::size_t domain = 0; domain < 2; ++domain) {
            outcome.counts.arrived.at(domain) += counts.arrived.at(domain);
            outcome.counts.served.at(domain) += counts.served.at(domain);
            outcome.counts.rejected.at(domain) += counts.rejected.at(domain);
            outcome.counts.crossed.at(domain) += counts.crossed.at(domain);
            outcome.counts.time.at(domain) += counts.time.at(domain);
        }
    }
    return outcome;
}

void print(const char *load, std::size_t daemons, const char *decision, const Outcome &outcome)
{
    const DomainFleet::Counts &counts = outcome.counts;
    std::printf("%-22s %2zu daemons  %-8s  crossing %.3f %.3f  served %.3f %.3f  mean ms %4.0f %4.0f  change %.3f\n",
                load, daemons, decision, counts.crossedShare(0), counts.crossedShare(1), counts.servedShare(0),
                counts.servedShare(1), counts.meanMs(0), counts.meanMs(1), outcome.largestChange);
}

/// 66 daemons and 40 targets whose instances slow down and recover several times a second.
FleetSettings sharedInstances(double load, bool reportsLoad, Duration reportAge, std::uint64_t seed)
{
    FleetSettings settings = fleetOf(true, 33, load, load);
    settings.targets = 20;
    settings.slots = 3;
    settings.waiting = 9;
    settings.work = 80ms;
    settings.slowest = 2;
    settings.reportsLoad = reportsLoad;
    settings.reportAge = reportAge;
    settings.seed = seed;
    return settings;
}

} // namespace

TEST_CASE("Load reports lower the peaks and the waits of many daemons, and old ones don't gather them")
{
    const std::uint64_t seed = GENERATE(1, 2, 3);
    const Duration age = GENERATE(0ms, 50ms);
    INFO("seed " << seed << ", age " << age.count() << " ns");
    DomainFleet without(sharedInstances(0.6, false, age, seed));
    DomainFleet with(sharedInstances(0.6, true, age, seed));
    without.run(30s);
    with.run(30s);
    const auto before = without.takeCounts();
    const auto after = with.takeCounts();
    CHECK(with.meanPeak() < without.meanPeak());
    CHECK(after.meanMs(0) + after.meanMs(1) < before.meanMs(0) + before.meanMs(1));
}

TEST_CASE("Nothing leaves a failure domain whose targets have room")
{
    const std::size_t daemons = GENERATE(1, 20);
    const Outcome fixed = settledRun(fleetOf(false, daemons, 0.5, 0.5));
    const Outcome adaptive = settledRun(fleetOf(true, daemons, 0.5, 0.5));
    for (const std::size_t domain : {0, 1}) {
        CHECK(adaptive.counts.crossedShare(domain) < 0.002);
        CHECK(adaptive.counts.meanMs(domain) < 1.02 * fixed.counts.meanMs(domain));
    }
}

TEST_CASE("Of an overloaded failure domain the excess leaves, and steadily")
{
    const std::size_t daemons = GENERATE(1, 20);
    constexpr double load = 1.3;
    constexpr double excess = (load - 1) / load;
    const Outcome adaptive = settledRun(fleetOf(true, daemons, load, 0.4));
    INFO(daemons << " daemons");
    CHECK(adaptive.counts.crossedShare(0) > excess - 0.03);
    CHECK(adaptive.counts.crossedShare(0) < excess + 0.06);
    CHECK(adaptive.counts.crossedShare(1) < 0.005);
    CHECK(adaptive.counts.servedShare(0) > 0.98);
    CHECK(adaptive.largestChange < 0.2);
    const Outcome fixed = settledRun(fleetOf(false, daemons, load, 0.4));
    // A single daemon that sees all of the demand pays the price of crossing in time.
    CHECK(adaptive.counts.meanMs(0) < (daemons == 1 ? 1.25 : 1.0) * fixed.counts.meanMs(0));
}

TEST_CASE("Two full failure domains exchange little, and what they exchange doesn't swing")
{
    const Outcome fixed = settledRun(fleetOf(false, 20, 1.4, 1.4));
    const Outcome adaptive = settledRun(fleetOf(true, 20, 1.4, 1.4));
    for (const std::size_t domain : {0, 1}) {
        CHECK(adaptive.counts.crossedShare(domain) < 0.75 * fixed.counts.crossedShare(domain));
        CHECK(adaptive.counts.servedShare(domain) > fixed.counts.servedShare(domain) - 0.02);
    }
    CHECK(adaptive.largestChange < 0.1);
}

TEST_CASE("Callers of a lost failure domain are served elsewhere, and come back when it does")
{
    const std::size_t daemons = GENERATE(1, 20);
    INFO(daemons << " daemons");
    DomainFleet fleet(fleetOf(true, daemons, 0.4, 0.4));
    fleet.run(10s);
    fleet.setLost(0, true);
    fleet.run(1s); // Requests that were running are repeated.
    fleet.takeCounts();
    fleet.run(5s);
    const auto lost = fleet.takeCounts();
    CHECK(lost.crossedShare(0) > 0.98);
    CHECK(lost.servedShare(0) > 0.98);
    CHECK(lost.crossedShare(1) < 0.01);
    fleet.setLost(0, false);
    fleet.run(1s);
    const auto back = fleet.takeCounts();
    CHECK(back.crossedShare(0) > 0.3); // Not all at once.
    fleet.run(9s);
    fleet.takeCounts();
    fleet.run(5s);
    CHECK(fleet.takeCounts().crossedShare(0) < 0.005);
}

TEST_CASE("A higher price keeps more requests at home")
{
    FleetSettings cheap = fleetOf(true, 1, 1.3, 0.4);
    cheap.limits.crossingPrice = 0.1;
    FleetSettings dear = fleetOf(true, 1, 1.3, 0.4);
    dear.limits.crossingPrice = 1.5;
    const Outcome cheapRun = settledRun(cheap);
    const Outcome dearRun = settledRun(dear);
    CHECK(dearRun.counts.crossedShare(0) < cheapRun.counts.crossedShare(0));
    CHECK(dearRun.counts.meanMs(0) > cheapRun.counts.meanMs(0));
}

TEST_CASE("Targets' load, with and without reports", "[.][benchmark]")
{
    for (const double load : {0.4, 0.6, 0.8}) {
        for (const Duration age : {0ms, 50ms}) {
            for (const bool reports : {false, true}) {
                DomainFleet fleet(sharedInstances(load, reports, age, 1));
                fleet.run(30s);
                const auto counts = fleet.takeCounts();
                std::printf("load %.1f age %2d ms reports %d: peak/mean %.2f  mean ms %.0f  served %.3f\n", load,
                            static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(age).count()),
                            static_cast<int>(reports), fleet.meanPeak(), counts.meanMs(0), counts.servedShare(0));
            }
        }
    }
}

TEST_CASE("Crossing requests, with a fixed cost factor and with the adaptive share", "[.][benchmark]")
{
    struct Load
    {
        const char *name;
        double own;
        double other;
    };
    for (const std::size_t daemons : {1, 20}) {
        for (const auto &[name, own, other] : {Load{"calm", 0.5, 0.5},
                                               {"busy", 0.8, 0.8},
                                               {"hot", 1.3, 0.4},
                                               {"hot beside busy", 1.3, 0.6},
                                               {"both full", 1.4, 1.4}}) {
            print(name, daemons, "fixed", settledRun(fleetOf(false, daemons, own, other)));
            print(name, daemons, "adaptive", settledRun(fleetOf(true, daemons, own, other)));
        }
    }
}

} // namespace sardinehinge::core::tests
