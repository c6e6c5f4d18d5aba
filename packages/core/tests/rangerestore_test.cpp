#include "rangeworld.h"

#include <catch2/catch.hpp>

using namespace sardinehinge::core;
using namespace sardinehinge::core::tests;
using namespace std::chrono_literals;

TEST_CASE("Keys stay with their owners when the store returns from a copy older than their last move")
{
    struct Case
    {
        const char *name;
        Duration age;
        Duration away;
    };
    const auto [name, age, away]
        = GENERATE(Case{"9 s old, 2 s away", 9s, 2s}, Case{"20 s old, from before the first start", 20s, 1s},
                   Case{"1 s old, away for a moment", 1s, 10ms}, Case{"9 s old, away for longer than a lease", 9s, 5s});
    DYNAMIC_SECTION(name)
    {
        RangeWorld world(GENERATE(range(1, 6)), {});
        world.run(6s, true);
        world.drainTarget(world.holders().front());
        world.run(3s, true);
        REQUIRE(world.servedShare() == 1.0);
        world.takeLongestGap();
        world.restoreStore(age, away);
        world.run(12s, true);
        INFO(world.trace());
        CHECK(world.violations().empty());
        CHECK(world.takeLongestGap() <= 100ms);
        CHECK(world.servedShare() == 1.0);
    }
}

TEST_CASE("A store that returns older twice within a lease takes no keys from their owners")
{
    RangeWorld world(GENERATE(range(1, 11)), {});
    world.run(6s, true);
    world.drainTarget(world.holders().front());
    world.run(3s, true);
    world.takeLongestGap();
    world.restoreStore(4s, 500ms);
    world.run(700ms, true);
    world.restoreStore(6s, 300ms);
    world.run(12s, true);
    INFO(world.trace());
    CHECK(world.violations().empty());
    CHECK(world.takeLongestGap() <= 100ms);
    CHECK(world.servedShare() == 1.0);
}

TEST_CASE("Owners that only a lost controller knew are waited out when the store returns older")
{
    struct Case
    {
        const char *name;
        std::function<void(RangeWorld &)> injectFault;
    };
    const auto [name, injectFault]
        = GENERATE(Case{"controller killed", [](RangeWorld &w) { w.killDaemon(w.controllerIndex()); }},
                   Case{"controller frozen", [](RangeWorld &w) { w.freezeDaemon(w.controllerIndex(), 6s); }},
                   Case{"all daemons killed", [](RangeWorld &w) {
                            for (std::size_t index = 0; index < 5; ++index)
                                w.killDaemon(index);
                        }});
    DYNAMIC_SECTION(name)
    {
        RangeWorld world(GENERATE(range(1, 11)), {});
        world.run(6s, true);
        world.drainTarget(world.holders().front());
        world.run(3s, true);
        world.takeLongestGap();
        world.restoreStore(6s, 2s);
        world.run(1s, true);
        injectFault(world);
        world.run(20s, true);
        INFO(world.trace());
        CHECK(world.violations().empty());
        // The kill lasts 4 s at most; then a claim, the end of earlier authority, the longest hold, and a write.
        CHECK(world.takeLongestGap() <= 12s);
        CHECK(world.servedShare() == 1.0);
    }
}

TEST_CASE("Voters that were lost for good are replaced, so that no keys are lost when the store returns older")
{
    RangeWorld world(GENERATE(range(1, 11)), {}, 11);
    world.run(6s, true);
    const auto voters = world.otherVoters();
    REQUIRE(voters.size() == 6);
    for (std::size_t index = 0; index < 4; ++index)
        world.loseDaemon(voters[index]);
    world.run(30s, true);
    world.takeLongestGap();
    world.restoreStore(9s, 2s);
    world.run(15s, true);
    INFO(world.trace());
    CHECK(world.violations().empty());
    CHECK(world.takeLongestGap() <= 100ms);
    CHECK(world.servedShare() == 1.0);
}

TEST_CASE("A controller without a majority of its voters in the new era leaves the claim to others")
{
    RangeWorld world(GENERATE(range(1, 11)), {}, 11);
    world.run(6s, true);
    world.restoreStore(3s, 2s);
    for (const std::size_t voter : world.otherVoters())
        world.killDaemon(voter); // For 4 s at most.
    world.takeLongestGap();
    world.run(25s, true);
    INFO(world.trace());
    CHECK(world.violations().empty());
    // The kill; then a claim, the end of earlier authority, the longest hold, and a write.
    CHECK(world.takeLongestGap() <= 10s);
    CHECK(world.servedShare() == 1.0);
}

TEST_CASE("Each key has at most one owner under random faults while the store returns older again and again")
{
    struct Mix
    {
        const char *name;
        RangeFaults faults;
    };
    const auto with = [](RangeFaults faults) {
        faults.restores = true;
        return faults;
    };
    const auto [name, faults] = GENERATE_COPY(
        Mix{"restores alone", with({})}, Mix{"controllers", with({true, false, false, false, true})},
        Mix{"store", with({false, true, false, false, true})}, Mix{"targets", with({false, false, true, false, true})},
        Mix{"orders", with({false, false, true, true, true})}, Mix{"all", with({true, true, true, true, true})});
    DYNAMIC_SECTION(name)
    {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            INFO("seed " << seed);
            RangeWorld world(seed, faults);
            world.run(40s);
            world.heal();
            world.run(50s, true); // Twice the time that leases of an earlier controller may last.
            INFO(world.trace());
            for (const std::string &violation : world.violations())
                FAIL(violation);
            REQUIRE(world.servedShare() == 1.0);
        }
    }
}
