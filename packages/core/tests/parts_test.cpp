#include <sardinehinge/core/conditionalwrite.h>
#include <sardinehinge/core/history.h>
#include <sardinehinge/core/hybridclock.h>
#include <sardinehinge/core/leasetiming.h>
#include <sardinehinge/core/placement.h>
#include <sardinehinge/core/sharding.h>
#include <sardinehinge/core/slotallocator.h>
#include <sardinehinge/core/targetqueue.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace sardinehinge::core;

TEST_CASE("Recovery after the loss of a target and the controller takes less than 1 s")
{
    const LeaseTiming timing;
    const Duration storeWrite = 20ms;
    const Duration orderAndPush = 10ms;
    const Duration tick = 5ms;
    const Duration target
        = withDrift(timing, timing.targetLease) + timing.heartbeatInterval + tick + storeWrite + orderAndPush;
    CHECK(target < 1s);
    const Duration takeover
        = timing.suspicionTimeout + tick + orderAndPush + withDrift(timing, timing.controlLease) + 2 * storeWrite;
    CHECK(takeover + target < 1s);
    // A grant must be renewed before it expires even if the controller was lost just before a renewal.
    const Duration renewalAtTakeover = 2 * timing.renewalInterval + timing.suspicionTimeout + tick + 2 * orderAndPush;
    CHECK(renewalAtTakeover < timing.targetLease);
    CHECK(timing.suspicionTimeout > timing.controlLease);
}

TEST_CASE("A conditional write with lost answers reports the actual outcome")
{
    using Kind = WriteOutcome::Kind;
    struct Case
    {
        std::string name;
        StoredState found;
        ConditionalWrite::Step step;
        Kind kind;
    };
    const auto each = GENERATE(values<Case>({
        {"it took effect", {8, "mine", {}}, ConditionalWrite::Step::Finished, Kind::Applied},
        {"it took effect and another came after",
         {9, "other", {{"mine", 8}}},
         ConditionalWrite::Step::Finished,
         Kind::Applied},
        {"another came first", {8, "other", {{"before", 7}}}, ConditionalWrite::Step::Finished, Kind::Conflict},
        {"nothing happened yet", {7, "before", {}}, ConditionalWrite::Step::SendWrite, Kind::Unknown},
        {"a replica lags", {6, "older", {}}, ConditionalWrite::Step::SendRead, Kind::Unknown},
    }));
    INFO(each.name);
    ConditionalWrite write("mine", 7);
    write.writeAnswerLost();
    REQUIRE(write.step() == ConditionalWrite::Step::SendRead);
    write.readAnswered(each.found);
    CHECK(write.step() == each.step);
    if (each.step == ConditionalWrite::Step::Finished)
        CHECK(write.outcome().kind == each.kind);
}

TEST_CASE("A conflict caused by a duplicate of an applied write still counts as applied")
{
    ConditionalWrite write("mine", 7);
    write.writeConflicted();
    write.readAnswered({8, "mine", {}});
    CHECK(write.outcome() == WriteOutcome{WriteOutcome::Kind::Applied, 8, "mine"});
}

TEST_CASE("The outcome is unknown after a few attempts without an answer from the store")
{
    ConditionalWrite write("mine", 7, 3);
    int calls = 0;
    while (write.step() != ConditionalWrite::Step::Finished) {
        ++calls;
        if (write.step() == ConditionalWrite::Step::SendWrite)
            write.writeAnswerLost();
        else
            write.readFailed();
    }
    CHECK(calls == 3);
    CHECK(write.outcome().kind == WriteOutcome::Kind::Unknown);
}

TEST_CASE("Keys belong to the ranges between the splits")
{
    ServiceSpec service;
    service.division = Division::Ranges;
    service.splits = {"f", "m"};
    service.shardCount = 3;
    const auto [key, shard] = GENERATE(values<std::pair<std::string, std::uint32_t>>(
        {{"", 0}, {"a", 0}, {"ezz", 0}, {"f", 1}, {"lz", 1}, {"m", 2}, {"zebra", 2}}));
    CHECK(shardOf(service, key) == shard);
    CHECK(shardsBetween(service, "e", "m") == ShardRange{0, 2});
    CHECK(shardsBetween(service, "g", "h") == ShardRange{1, 1});
}

TEST_CASE("Hashed keys spread evenly over shards")
{
    ServiceSpec service;
    service.division = Division::Hash;
    service.shardCount = 64;
    std::vector<int> counts(64);
    for (int key = 0; key < 64'000; ++key)
        ++counts[shardOf(service, "key-" + std::to_string(key))];
    CHECK(*std::max_element(counts.begin(), counts.end()) < 1150);
    CHECK(*std::min_element(counts.begin(), counts.end()) > 850);
}

namespace {

Assignment assignmentOf(const std::vector<std::string> &owners)
{
    Assignment assignment{1, {}};
    for (const std::string &owner : owners)
        assignment.shards.push_back({owner, owner.empty() ? 0U : 1U, {}, false});
    return assignment;
}

} // namespace

TEST_CASE("Placement moves only what is necessary")
{
    struct Case
    {
        std::string name;
        std::vector<std::string> owners;
        std::vector<PlacementTarget> targets;
        std::map<std::uint32_t, double> load;
        std::size_t moves;
    };
    const PlacementTarget a{"a", "x", true, true};
    const PlacementTarget b{"b", "y", true, true};
    const auto each = GENERATE_COPY(values<Case>({
        {"balanced: none", {"a", "b", "a", "b"}, {a, b}, {}, 0},
        {"small imbalance is left alone", {"a", "a", "a", "b", "b"}, {a, b}, {}, 0},
        {"lost target: only its shards", {"a", "b", "a", "b"}, {a, {"b", "y", false, false}}, {}, 2},
        {"silent target keeps its shards", {"a", "b", "a", "b"}, {a, {"b", "y", true, false}}, {}, 0},
        {"new shards all get an owner", {"", "", "", ""}, {a, b}, {}, 4},
        {"no usable target: none", {"a", "a"}, {{"a", "x", false, true}}, {}, 0},
        {"a hot shard stays, its neighbours go", {"a", "a", "a", "b"}, {a, b}, {{0, 10}, {1, 1}, {2, 1}, {3, 1}}, 2},
        {"a single hot shard stays", {"a", "b"}, {a, b}, {{0, 100}, {1, 1}}, 0},
    }));
    INFO(each.name);
    const Assignment assignment = assignmentOf(each.owners);
    const auto moves = planMoves(assignment, each.targets, each.load, {});
    CHECK(moves.size() == each.moves);
    for (const Move &move : moves)
        CHECK((each.load.empty() || move.shard != 0));
}

namespace {

/// The queues of several daemons for one target, and its allocator. Messages are lost at random.
struct SlotWorld
{
    explicit SlotWorld(std::size_t daemons, double messageLoss = 0)
        : queues(daemons, TargetQueue("t", 6, 2))
        , loss(messageLoss)
    {
    }

    void exchange()
    {
        for (std::size_t index = 0; index < queues.size(); ++index) {
            const auto demand = queues[index].takeDueDemand(now);
            if (!demand || isLost())
                continue;
            for (const AddressedGrant &grant : allocator.handle({std::to_string(index), 1}, *demand, now)) {
                if (!isLost())
                    queues[std::stoul(grant.to)].take(grant.grant, now);
            }
        }
    }

    bool isLost() { return std::uniform_real_distribution<double>(0, 1)(random) < loss; }

    std::uint32_t running() const
    {
        std::uint32_t sum = 0;
        for (const TargetQueue &queue : queues)
            sum += queue.running();
        return sum;
    }

    std::vector<TargetQueue> queues;
    SlotAllocator allocator;
    std::mt19937_64 random{1};
    double loss;
    Time now = 1000s;
};

} // namespace

TEST_CASE("Eleven daemons never exceed the target's slots, use most of them, and share them fairly")
{
    const double loss = GENERATE(0.0, 0.2);
    SlotWorld world(11, loss);
    std::map<std::size_t, int> done;
    std::vector<std::pair<Time, std::size_t>> running;
    TargetQueue::Id next = 1;
    std::uint32_t most = 0;
    std::uint64_t busy = 0;
    std::uint64_t steps = 0;
    for (std::size_t daemon = 0; daemon < 11; ++daemon) {
        for (int count = 0; count < 4000; ++count)
            world.queues[daemon].push(next++, "caller", WorkClass::Short, world.now);
    }
    for (const Time end = world.now + 10s; world.now < end; world.now += 1ms) {
        for (std::size_t index = 0; index < running.size();) {
            if (running[index].first > world.now) {
                ++index;
                continue;
            }
            world.queues[running[index].second].finished(WorkClass::Short, false, world.now);
            ++done[running[index].second];
            running.erase(running.begin() + static_cast<std::ptrdiff_t>(index));
        }
        world.exchange();
        for (std::size_t daemon = 0; daemon < 11; ++daemon) {
            while (world.queues[daemon].takeNext(world.now))
                running.emplace_back(world.now + 10ms, daemon);
        }
        most = std::max(most, world.running());
        busy += world.running();
        ++steps;
    }
    CHECK(most <= 6);
    CHECK(static_cast<double>(busy) / static_cast<double>(steps) > (loss == 0 ? 5.4 : 2.5));
    const auto [least, greatest] = std::minmax_element(
        done.begin(), done.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
    CHECK(greatest->second <= least->second * 12 / 10 + 5);
}

TEST_CASE("Long work of all daemons together never uses the slots reserved for short work")
{
    SlotWorld world(11);
    for (std::size_t daemon = 0; daemon < 11; ++daemon) {
        for (TargetQueue::Id id = 1; id <= 20; ++id)
            world.queues[daemon].push(id, "batch", WorkClass::Long, world.now);
    }
    for (int round = 0; round < 50; ++round, world.now += 5ms) {
        world.exchange();
        for (TargetQueue &queue : world.queues) {
            while (queue.takeNext(world.now)) {
            }
        }
    }
    CHECK(world.running() == 2);
    world.queues[3].push(99, "reader", WorkClass::Short, world.now);
    world.exchange();
    CHECK(world.queues[3].takeNext(world.now) == TargetQueue::Id(99));
}

TEST_CASE("Light load from many daemons starts without waiting")
{
    SlotWorld world(11);
    TargetQueue::Id next = 1;
    int started = 0;
    int waited = 0;
    std::vector<std::pair<Time, std::size_t>> running;
    for (const Time end = world.now + 5s; world.now < end; world.now += 1ms) {
        std::erase_if(running, [&](const auto &work) {
            const bool isDone = work.first <= world.now;
            if (isDone)
                world.queues[work.second].finished(WorkClass::Short, false, world.now);
            return isDone;
        });
        const std::size_t daemon = next % 11;
        if (world.now / 1ms % 5 == 0)
            world.queues[daemon].push(next++, "caller", WorkClass::Short, world.now);
        for (std::size_t index = 0; index < 11; ++index) {
            while (world.queues[index].takeNext(world.now)) {
                running.emplace_back(world.now + 1ms, index);
                ++started;
            }
            waited += static_cast<int>(world.queues[index].waiting());
        }
        world.exchange();
    }
    CHECK(started >= 999);
    // Only the first request of each daemon needs a permit.
    CHECK(waited <= 30);
}

TEST_CASE("Permits of a lost daemon are reclaimed")
{
    SlotWorld world(2);
    for (TargetQueue::Id id = 1; id <= 20; ++id)
        world.queues[0].push(id, "caller", WorkClass::Short, world.now);
    world.exchange();
    while (world.queues[0].takeNext(world.now)) {
    }
    CHECK(world.allocator.outstanding("t") == 6);
    world.queues[1].push(50, "caller", WorkClass::Short, world.now);
    const SlotDemand demand = *world.queues[1].takeDueDemand(world.now);
    for (const AddressedGrant &grant : world.allocator.handle({"1", 1}, demand, world.now + 2s))
        world.queues[1].take(grant.grant, world.now + 2s);
    CHECK(world.queues[1].takeNext(world.now + 2s));
}

TEST_CASE("Without an allocator, the target's refusals limit concurrency")
{
    TargetQueue queue("t", 6, 2);
    Time now = 1000s;
    for (TargetQueue::Id id = 1; id <= 200; ++id)
        queue.push(id, "caller", WorkClass::Short, now);
    CHECK(!queue.takeNext(now));
    now += 200ms;
    for (int round = 0; round < 60; ++round) {
        if (queue.takeNext(now))
            queue.finished(WorkClass::Short, false, now);
    }
    const double before = queue.limit();
    CHECK(before > 1);
    REQUIRE(queue.takeNext(now));
    queue.finished(WorkClass::Short, true, now);
    CHECK(queue.limit() < before);
    CHECK(!queue.takeNext(now + 1ms));
    CHECK(queue.takeNext(now + 2ms));
}

TEST_CASE("Lasting long waits are overload, except in the burst after shards have moved")
{
    const bool isBurst = GENERATE(false, true);
    TargetQueue queue("t", 6, 2);
    Time now = 1000s;
    if (isBurst)
        queue.expectBurst(now);
    for (TargetQueue::Id id = 1; id <= 400; ++id)
        queue.push(id, "caller", WorkClass::Short, now);
    for (const Time end = now + 100ms; now < end; now += 1ms) {
        const std::uint64_t granted = static_cast<std::uint64_t>((now - 1000s) / 1ms);
        queue.take({"t", {granted, 0}, false}, now);
        while (queue.takeNext(now))
            queue.finished(WorkClass::Short, false, now);
    }
    CHECK(queue.isOverloaded(now) == !isBurst);
}

TEST_CASE("Callers are served round-robin")
{
    TargetQueue queue("t", 1, 1);
    for (TargetQueue::Id id = 1; id <= 10; ++id)
        queue.push(id, "collector", WorkClass::Short, 1s);
    queue.push(50, "reader", WorkClass::Short, 1s);
    std::vector<TargetQueue::Id> order;
    while (const auto id = queue.takeNext(2s)) {
        order.push_back(*id);
        queue.finished(WorkClass::Short, false, 2s);
    }
    CHECK(std::find(order.begin(), order.end(), 50U) - order.begin() <= 1);
    CHECK(order.size() == 11);
}

TEST_CASE("The history checker finds a planted violation of each rule, and none in a valid history")
{
    History right;
    right.holds = {{"w/s", 0, 1, "a", 0, 100}, {"w/s", 0, 2, "b", 100, 200}, {"w/s", 1, 1, "b", 50, 200}};
    right.executions = {{"r1", "w/s", 0, 1, "a", 50}, {"r2", "", 0, 0, "c", 10}};
    right.answers = {{"r1", true, CallerOutcome::Done, "r1"},
                     {"r2", false, CallerOutcome::Unknown, ""},
                     {"r3", false, CallerOutcome::NotRun, ""}};
    right.revisions = {{"d", "workspaces/w", 1}, {"d", "workspaces/w", 3}, {"e", "workspaces/w", 2}};
    right.owners = {{"w/s", 0, 1, "a"}, {"w/s", 0, 2, "b"}};
    CHECK(violationsIn(right).empty());

    struct Case
    {
        std::string rule;
        void (*plant)(History &);
    };
    const auto each = GENERATE(values<Case>({
        {"one-owner",
         [](History &h) {
             h.holds.push_back({"w/s", 0, 3, "c", 199, 300});
         }},
        {"one-owner",
         [](History &h) {
             h.holds.push_back({"w/s", 0, 3, "c", 10, 20});
         }},
        {"held-while-run",
         [](History &h) {
             h.executions.push_back({"r9", "w/s", 0, 1, "a", 150});
         }},
        {"at-most-once",
         [](History &h) {
             h.executions.push_back({"r2", "", 0, 0, "d", 20});
         }},
        {"not-run",
         [](History &h) {
             h.executions.push_back({"r3", "", 0, 0, "d", 20});
         }},
        {"own-answer",
         [](History &h) {
             h.answers.push_back({"r4", true, CallerOutcome::Done, "r1"});
         }},
        {"no-revert",
         [](History &h) {
             h.revisions.push_back({"d", "workspaces/w", 2});
         }},
        {"owner-kept",
         [](History &h) {
             h.owners.push_back({"w/s", 0, 1, "a"});
         }},
        {"owner-kept",
         [](History &h) {
             h.owners.push_back({"w/s", 0, 2, "c"});
         }},
    }));
    History planted = right;
    each.plant(planted);
    const auto violations = violationsIn(planted);
    REQUIRE(violations.size() == 1);
    CHECK(violations[0].rule == each.rule);
}

TEST_CASE("Hybrid timestamps follow causality despite clock differences")
{
    HybridClock early;
    HybridClock late;
    const HybridTime sent = late.now(2'000'000);
    early.observe(sent, 1'000'000);
    CHECK(early.now(1'000'001) > sent);
    // A clock that is far ahead doesn't advance the others.
    HybridClock sane;
    sane.observe({9'000'000'000'000, 0}, 1'000'000);
    CHECK(sane.now(1'000'001).wallMicroseconds == 1'000'001);
}
