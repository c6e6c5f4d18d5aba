#include <sardinehinge/core/conditionalwrite.h>
#include <sardinehinge/core/history.h>
#include <sardinehinge/core/hybridclock.h>
#include <sardinehinge/core/leasetiming.h>
#include <sardinehinge/core/placement.h>
#include <sardinehinge/core/sharding.h>
#include <sardinehinge/core/targetqueue.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace sardinehinge::core;

TEST_CASE("Waits after a loss add up to less than the target of 1 s")
{
    const LeaseTiming timing;
    const Duration storeWrite = 20ms;
    const Duration orderAndPush = 10ms;
    const Duration tick = 5ms;
    const Duration target
        = withDrift(timing, timing.targetLease) + timing.heartbeatPeriod + tick + storeWrite + orderAndPush;
    CHECK(target < 1s);
    const Duration takeover
        = timing.suspicion + tick + orderAndPush + withDrift(timing, timing.controlLease) + 2 * storeWrite;
    CHECK(takeover + target < 1s);
    // A renewal must come in time although the controller was lost just before its next one.
    const Duration renewalAtTakeover = 2 * timing.renewPeriod + timing.suspicion + tick + 2 * orderAndPush;
    CHECK(renewalAtTakeover < timing.targetLease);
    CHECK(timing.suspicion > timing.controlLease);
}

TEST_CASE("A conditional write whose answers are lost ends with the truth")
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

TEST_CASE("A copy of an applied write that meets a conflict still counts as applied")
{
    ConditionalWrite write("mine", 7);
    write.writeConflicted();
    write.readAnswered({8, "mine", {}});
    CHECK(write.outcome() == WriteOutcome{WriteOutcome::Kind::Applied, 8, "mine"});
}

TEST_CASE("A store that stays silent leaves the outcome unknown after a few tries")
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

TEST_CASE("Keys fall into the ranges that the splits name")
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

TEST_CASE("Placement moves what it must and little else")
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

TEST_CASE("Long work never takes the slots that short work needs")
{
    TargetQueue queue(6, 2);
    for (TargetQueue::Id id = 1; id <= 20; ++id)
        queue.push(id, "batch", WorkClass::Long);
    // Answers raise the limit from 1 to all slots.
    for (int round = 0; round < 100; ++round) {
        while (queue.takeNext(1s)) {
        }
        queue.push(1000, "batch", WorkClass::Long);
        queue.finished(WorkClass::Long, false, 1s, 2ms, 32ms);
    }
    while (queue.takeNext(1s)) {
    }
    CHECK(queue.running() <= 2);
    queue.push(99, "reader", WorkClass::Short);
    CHECK(queue.takeNext(1s) == TargetQueue::Id(99));
}

TEST_CASE("Callers take turns")
{
    TargetQueue queue(1, 1);
    for (TargetQueue::Id id = 1; id <= 10; ++id)
        queue.push(id, "collector", WorkClass::Short);
    queue.push(50, "reader", WorkClass::Short);
    std::vector<TargetQueue::Id> order;
    while (const auto id = queue.takeNext(1s)) {
        order.push_back(*id);
        queue.finished(WorkClass::Short, false, 1s, 2ms, 32ms);
    }
    CHECK(std::find(order.begin(), order.end(), 50U) - order.begin() <= 1);
    CHECK(order.size() == 11);
}

TEST_CASE("A target that sheds gets fewer requests and a pause")
{
    TargetQueue queue(6, 2);
    for (TargetQueue::Id id = 1; id <= 100; ++id)
        queue.push(id, "caller", WorkClass::Short);
    for (int round = 0; round < 60; ++round) {
        if (queue.takeNext(1s))
            queue.finished(WorkClass::Short, false, 1s, 2ms, 32ms);
    }
    const double before = queue.limit();
    REQUIRE(queue.takeNext(1s));
    queue.finished(WorkClass::Short, true, 1s, 2ms, 32ms);
    CHECK(queue.limit() <= before);
    CHECK(!queue.takeNext(1001ms));
    CHECK(queue.takeNext(1002ms));
}

TEST_CASE("The history checker finds a planted violation of each rule, and none in a right history")
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

TEST_CASE("Stamps respect cause although clocks differ")
{
    HybridClock early;
    HybridClock late;
    const HybridTime sent = late.now(2'000'000);
    early.observe(sent, 1'000'000);
    CHECK(early.now(1'000'001) > sent);
    // A clock that is far ahead doesn't drag the others along.
    HybridClock sane;
    sane.observe({9'000'000'000'000, 0}, 1'000'000);
    CHECK(sane.now(1'000'001).wallMicroseconds == 1'000'001);
}
