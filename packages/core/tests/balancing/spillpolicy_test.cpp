#include <sardinehinge/core/balancing/spillpolicy.h>
#include <sardinehinge/core/balancing/usualtime.h>

#include <catch2/catch.hpp>

#include <cmath>

namespace sardinehinge::core {
namespace {

constexpr Duration interval = 50ms;

/// Feeds constant relative times to both sides for `time`, and returns the largest change of the share in one interval.
double feed(SpillPolicy &policy, double home, double abroad, Duration time, Time &now,
            const UsableTargets &usable = {10, 20})
{
    double largest = 0;
    for (const Time end = now + time; now < end; now += interval) {
        policy.served(Locality::Home, home, now);
        if (policy.share() > 0)
            policy.served(Locality::Abroad, abroad, now);
        const double before = policy.share();
        policy.update(usable, now);
        largest = std::max(largest, std::abs(policy.share() - before));
    }
    return largest;
}

} // namespace

TEST_CASE("The share leaves 0 only if leaving saves more than its price")
{
    struct Case
    {
        const char *name;
        double home;
        double abroad;
        bool leaves;
    };
    const auto [name, home, abroad, leaves] = GENERATE(values<Case>({
        {"both as usual", 1, 1, false},
        {"home slower by less than the price", 1.4, 1, false},
        {"home slower by the price alone: hysteresis", 1.6, 1, false},
        {"home slower by more", 2.2, 1, true},
        {"home faster", 0.5, 1, false},
    }));
    INFO(name);
    SpillPolicy policy;
    Time now = 1s;
    feed(policy, home, abroad, 10s, now);
    CHECK((policy.share() > 0) == leaves);
    CHECK(policy.leaves(0.0) == leaves);
}

TEST_CASE("Two sides that are equally slow end the exchange")
{
    SpillPolicy policy;
    Time now = 1s;
    feed(policy, 3, 1, 5s, now);
    REQUIRE(policy.share() > 0.5);
    feed(policy, 3, 3, 15s, now);
    CHECK(policy.share() == 0);
}

TEST_CASE("The share moves at a bounded rate, also after a pause")
{
    SpillPolicy policy;
    Time now = 1s;
    CHECK(feed(policy, 4, 0, 5s, now) <= 0.25 * 0.05 + 1e-9);
    now += 60s;
    policy.served(Locality::Home, 4, now);
    const double before = policy.share();
    policy.update({10, 20}, now);
    CHECK(std::abs(policy.share() - before) <= 0.25 * 0.5 + 1e-9);
}

TEST_CASE("A lost failure domain is left at once and comes back gradually")
{
    SpillPolicy policy;
    Time now = 1s;
    policy.update({0, 20}, now);
    CHECK(policy.share() == 1);
    CHECK(policy.leaves(0.999));
    const double largest = feed(policy, 1, 1, 10s, now);
    CHECK(largest <= (0.25 * 0.05) + SpillParameters().stoppedShare);
    CHECK(policy.share() == 0);
}

TEST_CASE("Without a usable target elsewhere nothing leaves")
{
    const UsableTargets usable = GENERATE(values<UsableTargets>({{0, 0}, {5, 0}}));
    SpillPolicy policy;
    Time now = 1s;
    policy.update({0, 20}, now);
    policy.update(usable, now);
    CHECK(policy.share() == 0);
    CHECK_FALSE(policy.leaves(0));
}

TEST_CASE("Large requests leave less often than small ones")
{
    SpillPolicy policy;
    Time now = 1s;
    feed(policy, 4, 1, 2s, now);
    REQUIRE(policy.share() > 0.1);
    REQUIRE(policy.share() < 0.6);
    struct Case
    {
        double size;
        double mostLeaving; ///< Of the share.
    };
    const auto [size, factor] = GENERATE(values<Case>({{0, 4}, {0.5, 2}, {1, 1}, {4, 0.25}, {100, 0.01}}));
    const double limit = std::min(1.0, policy.share() * factor);
    if (limit < 1)
        CHECK_FALSE(policy.leaves(limit * 1.01, size));
    CHECK(policy.leaves(limit * 0.99, size));
}

TEST_CASE("A target on the other side has to be clearly better, by the price")
{
    struct Case
    {
        double price;
        double factor;
    };
    const auto [price, factor] = GENERATE(values<Case>({{0, 1}, {0.5, 3}, {1, 5}}));
    SpillPolicy policy;
    policy.setCrossingPrice(price);
    CHECK(policy.factors(0) == std::array<double, localities>{1, factor});
    policy.update({0, 10}, 1s);
    CHECK(policy.factors(0) == std::array<double, localities>{factor, 1});
}

TEST_CASE("Nothing crosses to a side that is overloaded and no faster, but for a request to see whether it still is")
{
    struct Case
    {
        const char *name;
        double home;
        double abroad;
        std::size_t homeTargets;
        Duration later;
        bool mayCross;
    };
    const auto [name, home, abroad, homeTargets, later, mayCross] = GENERATE(values<Case>({
        {"both have room", 1, 1, 5, 0s, true},
        {"home is full", 3, 1, 5, 0s, true},
        {"both are full", 3, 3, 5, 0s, false},
        {"both are full, the other one less", 3, 2, 5, 0s, true},
        {"the other one is full", 1, 3, 5, 0s, false},
        {"both are full, and no target is usable at home", 3, 3, 0, 0s, true},
        {"both were full a while ago", 3, 3, 5, 2s, true},
    }));
    INFO(name);
    SpillPolicy policy;
    Time now = 1s;
    for (int sample = 0; sample < 100; ++sample) {
        policy.served(Locality::Home, home, now);
        policy.served(Locality::Abroad, abroad, now);
    }
    policy.update({homeTargets, 10}, now);
    CHECK(policy.mayCross(now + later) == mayCross);
}

TEST_CASE("A begin and an end are returned once each, with what they were decided by")
{
    SpillPolicy policy;
    Time now = 1s;
    CHECK_FALSE(policy.takeChange(now));
    feed(policy, 3, 1, 3s, now);
    const auto begun = policy.takeChange(now);
    REQUIRE(begun);
    CHECK(begun->hasBegun);
    CHECK(begun->homeTime > begun->abroadTime);
    CHECK(begun->homeTargets == 10);
    CHECK_FALSE(policy.takeChange(now));
    const Time begunAt = now;
    feed(policy, 1, 1, 10s, now);
    const auto ended = policy.takeChange(now);
    REQUIRE(ended);
    CHECK_FALSE(ended->hasBegun);
    CHECK(ended->lasted == now - begunAt);
}

TEST_CASE("Times without samples return to the usual one")
{
    SpillPolicy policy;
    for (int sample = 0; sample < 100; ++sample)
        policy.served(Locality::Abroad, 3, 1s);
    CHECK(policy.relativeTime(Locality::Abroad, 1s) > 2.9);
    CHECK(policy.relativeTime(Locality::Abroad, 3s) == Approx(2).margin(0.05));
    CHECK(policy.relativeTime(Locality::Abroad, 30s) == Approx(1).margin(0.01));
}

TEST_CASE("The usual time follows a rise slowly")
{
    UsualTime usual;
    for (int sample = 0; sample < 100; ++sample)
        usual.add(100ms);
    CHECK(usual.value() == 100ms);
    for (int sample = 0; sample < 50; ++sample)
        usual.add(200ms);
    CHECK(usual.value() < 130ms);
    CHECK(usual.add(300ms) > 2.3);
    for (int sample = 0; sample < 400; ++sample)
        usual.add(50ms);
    CHECK(usual.value() < 60ms);
}

} // namespace sardinehinge::core
