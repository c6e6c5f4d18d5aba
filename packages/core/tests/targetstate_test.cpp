#include "routerbench.h"

#include <sardinehinge/core/targetstate.h>

using namespace sardinehinge::core;
using namespace sardinehinge::core::tests;

namespace {

const TargetNotice leaving{true, std::nullopt};

TargetNotice quiet(Duration time)
{
    return {false, time};
}

std::size_t sendsTo(const Bench &bench, const std::string &target, std::size_t from = 0)
{
    return static_cast<std::size_t>(
        std::count_if(bench.sends.begin() + static_cast<std::ptrdiff_t>(from), bench.sends.end(),
                      [&target](const SendToTarget &send) { return send.target.id == target; }));
}

} // namespace

TEST_CASE("A target that says it is leaving gets no new request, whichever answer said so")
{
    struct Case
    {
        const char *name;
        AttemptEnd end;
        bool isServerError;
        bool hasCallerLeft;
        SignalSource source;
    };
    const auto [name, end, isServerError, hasCallerLeft, source] = GENERATE(values<Case>({
        {"success", AttemptEnd::Answered, false, false, SignalSource::Request},
        {"server error", AttemptEnd::Answered, true, false, SignalSource::Request},
        {"refusal", AttemptEnd::Shed, false, false, SignalSource::Request},
        {"not the addressed target", AttemptEnd::NotOwner, false, false, SignalSource::Request},
        {"unsigned answer", AttemptEnd::AnswerTruncated, false, false, SignalSource::Request},
        {"answer to a caller who has left", AttemptEnd::Answered, false, true, SignalSource::Request},
        {"answer to an order", AttemptEnd::Answered, false, true, SignalSource::Order},
    }));
    INFO(name);
    Bench bench(2);
    const RequestId id = bench.arrive("/write/");
    const SendToTarget send = bench.sends.at(0);
    if (hasCallerLeft)
        bench.take(bench.router.callerLeft(id, bench.now));
    bench.notice(send, leaving, source);
    bench.finish(send, end, isServerError);
    REQUIRE(bench.beliefs.size() == 1);
    CHECK(bench.beliefs[0] == TargetBelief{plain, send.target, {TargetSignal::Leaving, source, true, 0ms}});
    bench.run(20s, 20ms, "/write/");
    CHECK(sendsTo(bench, send.target.id, 1) == 0);
    CHECK(bench.sends.size() > 100);
}

TEST_CASE("Leaving is believed of one incarnation, through a lapse of its entry and a registry that lists it as ready")
{
    struct Case
    {
        const char *name;
        std::uint64_t incarnation;
        Duration lapse; ///< 0: the entry stays.
        bool isUsed;
    };
    const auto [name, incarnation, lapse, isUsed] = GENERATE(values<Case>({
        {"listed as ready", 1, 0ms, false},
        {"back after a lapse", 1, 20s, false},
        {"back after its entry had been removed for good", 1, beliefRetention, true},
        {"restarted", 2, 0ms, true},
        {"restarted after a lapse", 2, 20s, true},
    }));
    INFO(name);
    Bench bench(1);
    bench.arrive("/write/");
    bench.notice(bench.sends[0], leaving);
    bench.finish(bench.sends[0], AttemptEnd::Answered);
    if (lapse != 0ms) {
        bench.take(bench.router.setTargets({}, bench.now));
        bench.now += lapse;
    }
    auto targets = targetsOf(plain, 1);
    targets[0].identity.incarnation = incarnation;
    bench.take(bench.router.setTargets(targets, bench.now));
    bench.arrive("/write/");
    CHECK((bench.sends.size() == 2) == isUsed);
    // It is reported again when the entry is back.
    const auto begun = std::count_if(bench.beliefs.begin(), bench.beliefs.end(),
                                     [](const TargetBelief &belief) { return belief.change.hasBegun; });
    CHECK(begun == (lapse != 0ms && !isUsed ? 2 : 1));
    const auto ended = static_cast<std::ptrdiff_t>(bench.beliefs.size()) - begun;
    CHECK(ended == (isUsed && (lapse == 0ms || lapse == beliefRetention) ? 1 : 0));
    CHECK(bench.ends.size() == (isUsed ? 0 : 1));
}

TEST_CASE("A notice of an earlier incarnation says nothing about the one that is registered")
{
    Bench bench(1);
    bench.arrive("/write/");
    const SendToTarget late = bench.sends[0];
    auto targets = targetsOf(plain, 1);
    targets[0].identity.incarnation = 2;
    bench.take(bench.router.setTargets(targets, bench.now));
    bench.notice(late, {true, 5s});
    bench.arrive("/write/");
    CHECK(bench.sends.size() == 2);
}

TEST_CASE("A leaving owner gets requests for its keys until they are handed over, but not past the drain bound")
{
    Bench bench;
    bench.arrive("/key/", 5);
    bench.notice(bench.sends[0], leaving);
    bench.finish(bench.sends[0], AttemptEnd::Answered);
    const Time passedOn = bench.now;
    SECTION("handed over")
    {
        bench.run(1s, 50ms, "/key/", 5);
        CHECK(sendsTo(bench, "archive0", 1) >= 19);
        bench.announceOwner(RangeState::Held, 2, "archive1");
        const std::size_t before = bench.sends.size();
        bench.run(1s, 50ms, "/key/", 5);
        CHECK(sendsTo(bench, "archive0", before) == 0);
        CHECK(sendsTo(bench, "archive1", before) >= 19);
    }
    SECTION("not handed over in time")
    {
        bench.run(5s, 20ms, "/key/", 5);
        CHECK(bench.lastSend("archive0") < passedOn + 2s);
        CHECK(bench.lastSend("archive0") > passedOn + 1500ms);
        for (const EndWithError &end : bench.ends)
            CHECK_FALSE(end.mayHaveRun);
    }
}

TEST_CASE("A quiet target gets nothing until its time has passed, and then requests at a pace")
{
    const auto [path, key] = GENERATE(table<std::string, std::optional<std::uint32_t>>(
        {{"/read/", std::nullopt}, {"/write/", std::nullopt}, {"/key/", 5}, {"/keywrite/", 5}}));
    INFO(path);
    const AttemptEnd end = GENERATE(AttemptEnd::Shed, AttemptEnd::Answered, AttemptEnd::AnswerTruncated);
    Bench bench(1, 2);
    bench.arrive(path, key);
    const SendToTarget first = bench.sends.at(0);
    const Time answered = bench.now;
    bench.notice(first, quiet(3s));
    bench.finish(first, end, true);
    bench.run(2900ms, 5ms, path, key);
    CHECK(sendsTo(bench, first.target.id, 1) == 0);
    for (const EndWithError &each : bench.ends) {
        if (each.id == first.id)
            continue;
        CHECK(each.error == GatewayError::Overloaded);
        CHECK_FALSE(each.mayHaveRun);
        CHECK(each.retryAfter > 0ms);
    }
    // At 5 ms between requests, all of 100 ms wait when the time ends.
    bench.run(200ms, 5ms, path, key);
    const std::size_t sent = sendsTo(bench, first.target.id, 1);
    CHECK(sent >= 1);
    CHECK(sent <= 3);
    CHECK(bench.sendTimes.at(1) >= answered + 3s);
    bench.run(2s, 5ms, path, key);
    CHECK(sendsTo(bench, first.target.id, 1) > 30);
}

TEST_CASE("A request that no target will take in time is rejected at once, until the first may be asked again")
{
    struct Case
    {
        std::string path;
        std::optional<std::uint32_t> key;
        Duration quietTime;
        bool isQueued;
    };
    const auto [path, key, quietTime, isQueued]
        = GENERATE(table<std::string, std::optional<std::uint32_t>, Duration, bool>({
            {"/write/", std::nullopt, 100ms, true},
            {"/write/", std::nullopt, 4s, false},
            {"/keywrite/", 5, 100ms, true},
            {"/keywrite/", 5, 4s, false},
        }));
    INFO(path);
    Bench bench(2, 2);
    std::vector<SendToTarget> sent;
    for (const TargetIdentity &target : {TargetIdentity{"intake0", 1}, {"archive0", 1}})
        bench.notice({0, 0, target, target.id == "intake0" ? plain : keyed, "", 0ms, false}, quiet(quietTime));
    bench.notice({0, 0, {"intake1", 1}, plain, "", 0ms, false}, quiet(quietTime + 30s));
    std::set<Duration> delays;
    for (int round = 0; round < 20; ++round) {
        bench.arrive(path, key);
        if (isQueued)
            break;
        REQUIRE(bench.ends.size() == static_cast<std::size_t>(round) + 1);
        CHECK_FALSE(bench.ends.back().mayHaveRun);
        CHECK(bench.ends.back().retryAfter >= quietTime);
        CHECK(bench.ends.back().retryAfter <= quietTime + 400ms);
        delays.insert(bench.ends.back().retryAfter);
    }
    CHECK(bench.sends.empty());
    CHECK(bench.ends.empty() == isQueued);
    if (!isQueued)
        CHECK(delays.size() >= 19);
    bench.now += quietTime;
    bench.take(bench.router.tick(bench.now));
    CHECK(bench.sends.size() == (isQueued ? 1 : 0));
}

TEST_CASE("Quiet times are bounded, and of several the one that ends last decides")
{
    const auto [first, second, end] = GENERATE(table<Duration, Duration, Duration>({
        {3s, 1s, 3s},
        {1s, 3s, 3s},
        {0ms, 0ms, 0ms},
        {Duration::max(), 1s, maxQuietTime},
    }));
    TargetState state;
    state.take(quiet(first), SignalSource::Request, 10s);
    state.take(quiet(second), SignalSource::Request, 10s);
    CHECK(state.isQuiet(10s + end - Duration(1)) == (end > 0ms));
    CHECK_FALSE(state.isQuiet(10s + end));
    CHECK(state.admits(10s + end));
}

TEST_CASE("Requests that still wait for a connection to a target are withdrawn when it doesn't want them")
{
    struct Case
    {
        std::string path;
        std::optional<std::uint32_t> key;
        TargetNotice notice;
        std::size_t withdrawn;
    };
    const auto [path, key, notice, withdrawn] = GENERATE(values<Case>({
        {"/write/", std::nullopt, {true, std::nullopt}, 3},
        {"/write/", std::nullopt, {false, 2s}, 3},
        {"/key/", 5, {false, 2s}, 3},
        {"/key/", 5, {true, std::nullopt}, 0},
    }));
    Bench bench(1, 2);
    for (int round = 0; round < 3; ++round)
        bench.arrive(path, key);
    REQUIRE(bench.sends.size() == 3);
    bench.notice(bench.sends[0], notice);
    CHECK(bench.cancels.size() == withdrawn);
    for (const CancelSend &cancel : bench.cancels)
        CHECK(cancel.isOnlyUnsent);
    bench.notice(bench.sends[0], notice);
    CHECK(bench.cancels.size() == withdrawn);
}

TEST_CASE("Targets are counted by condition, and the end of a belief is reported once")
{
    Bench bench(6, 0);
    auto targets = targetsOf(plain, 6);
    targets[0].isDraining = true;
    targets[1].warmupLeft = 10s;
    bench.take(bench.router.setTargets(targets, bench.now));
    bench.notice({0, 0, {"intake2", 1}, plain, "", 0ms, false}, quiet(2s));
    bench.notice({0, 0, {"intake3", 1}, plain, "", 0ms, false}, {true, 2s});
    bench.take(bench.router.surveyTargets(bench.now));
    const auto count = [&bench](TargetCondition condition) {
        return bench.router.targetCounts().at(static_cast<std::size_t>(condition));
    };
    CHECK(count(TargetCondition::Ready) == 2);
    CHECK(count(TargetCondition::WarmingUp) == 1);
    CHECK(count(TargetCondition::Quiet) == 1);
    CHECK(count(TargetCondition::Draining) == 1);
    CHECK(count(TargetCondition::Leaving) == 1);
    bench.beliefs.clear();
    bench.now += 2s;
    bench.take(bench.router.surveyTargets(bench.now));
    bench.take(bench.router.surveyTargets(bench.now));
    REQUIRE(bench.beliefs.size() == 2);
    CHECK(bench.beliefs[0].change == BeliefChange{TargetSignal::Quiet, SignalSource::Request, false, 2s});
    CHECK(count(TargetCondition::Quiet) == 0);
}

TEST_CASE("A rate limit is believed until a later request is answered without one, or another incarnation runs")
{
    struct Case
    {
        const char *name;
        std::function<void(Bench &)> change;
        std::vector<BeliefChange> reported;
        bool isLimited; ///< Afterwards.
    };
    const BeliefChange ended{TargetSignal::RateLimit, SignalSource::Request, false, 1s, 20};
    const auto [name, change, reported, isLimited] = GENERATE_COPY(values<Case>({
        {"answered without a limit, later request",
         [](Bench &bench) {
             bench.arrive("/write/");
             bench.grant(1);
             bench.finish(bench.sends.at(2), AttemptEnd::Answered);
         },
         {ended},
         false},
        {"answered without a limit, earlier request",
         [](Bench &bench) { bench.finish(bench.sends[1], AttemptEnd::Answered); },
         {},
         true},
        {"refused without a limit",
         [](Bench &bench) {
             bench.arrive("/write/");
             bench.grant(1);
             bench.finish(bench.sends.at(2), AttemptEnd::Shed);
         },
         {},
         true},
        {"named again",
         [](Bench &bench) {
             bench.notice(bench.sends[0], {false, {}, 20.0});
         },
         {},
         true},
        {"another rate",
         [](Bench &bench) {
             bench.notice(bench.sends[0], {false, {}, 8.0});
         },
         {ended, {TargetSignal::RateLimit, SignalSource::Request, true, 0ms, 8}},
         true},
        {"another incarnation",
         [](Bench &bench) {
             auto targets = targetsOf(plain, 1);
             targets[0].identity.incarnation = 2;
             bench.take(bench.router.setTargets(targets, bench.now));
         },
         {ended},
         false},
    }));
    INFO(name);
    Bench bench(1);
    bench.arrive("/write/");
    bench.arrive("/write/");
    bench.notice(bench.sends[0], {false, {}, 20.0});
    REQUIRE(bench.beliefs.size() == 1);
    CHECK(bench.beliefs[0].change == BeliefChange{TargetSignal::RateLimit, SignalSource::Request, true, 0ms, 20});
    bench.beliefs.clear();
    bench.now += 1s;
    change(bench);
    std::vector<BeliefChange> changes;
    for (const TargetBelief &belief : bench.beliefs)
        changes.push_back(belief.change);
    CHECK(changes == reported);
    bench.take(bench.router.surveyTargets(bench.now));
    CHECK(bench.router.targetCounts().at(static_cast<std::size_t>(TargetCondition::RateLimited))
          == (isLimited ? 1 : 0));
}

TEST_CASE("Beliefs about vanished targets are bounded in number and time")
{
    DepartedTargets departed;
    for (std::uint64_t index = 0; index < 2 * DepartedTargets::maxTargets; ++index)
        departed.beliefs({"t", index}, 10s).take(leaving, SignalSource::Request, 10s);
    CHECK_FALSE(departed.take({"t", 0}));
    CHECK(departed.take({"t", (2 * DepartedTargets::maxTargets) - 1}));
    CHECK(departed.expire(10s + beliefRetention - Duration(1)).empty());
    CHECK(departed.expire(10s + beliefRetention).size() == DepartedTargets::maxTargets - 1);
}
