#include "routerbench.h"

using namespace sardinehinge::core;
using namespace sardinehinge::core::tests;

TEST_CASE("A request that can't be routed ends immediately as not run")
{
    struct Case
    {
        std::string path;
        std::optional<std::uint32_t> key;
        GatewayError error;
    };
    const auto [path, key, error] = GENERATE(values<Case>({
        {"/none/", std::nullopt, GatewayError::NoRoute},
        {"/key/", std::nullopt, GatewayError::MissingKey},
        {"/key/", 70000, GatewayError::MissingKey},
    }));
    Bench bench;
    bench.arrive(path, key);
    REQUIRE(bench.ends.size() == 1);
    CHECK(bench.ends[0].error == error);
    CHECK_FALSE(bench.ends[0].mayHaveRun);
    CHECK(bench.sends.empty());
}

TEST_CASE("Without a configuration every request is rejected as not run")
{
    GatewayRouter router(1, "a");
    const auto effects = router.requestArrived({1, "h", "/read/", std::nullopt, 1s}, 1s);
    REQUIRE(effects.size() == 1);
    const auto &end = std::get<EndWithError>(effects[0]);
    CHECK(end.error == GatewayError::NoConfiguration);
    CHECK_FALSE(end.mayHaveRun);
    CHECK(end.retryAfter > 0ms);
}

TEST_CASE("An older configuration never replaces a newer one")
{
    GatewayRouter router(1, "a");
    CHECK(router.setConfig(configOf(7)));
    CHECK_FALSE(router.setConfig(configOf(7)));
    CHECK_FALSE(router.setConfig(configOf(3)));
    CHECK(router.setConfig(configOf(12)));
    CHECK(router.configVersion() == 12);
}

TEST_CASE("A request is retried only if it is idempotent or certainly did not run")
{
    struct Case
    {
        std::string path;
        AttemptEnd end;
        bool isServerError;
        bool isSentAgain;
        bool isForwarded;
        bool mayHaveRun; ///< Reported if the request ends with an error.
    };
    const auto [path, end, isServerError, isSentAgain, isForwarded, mayHaveRun] = GENERATE(values<Case>({
        {"/read/", AttemptEnd::Answered, false, false, true, false},
        {"/read/", AttemptEnd::Answered, true, true, false, false},
        {"/read/", AttemptEnd::Shed, false, true, false, false},
        {"/read/", AttemptEnd::AnswerLost, false, true, false, false},
        {"/read/", AttemptEnd::AnswerTruncated, false, true, false, false},
        {"/write/", AttemptEnd::Answered, false, false, true, false},
        {"/write/", AttemptEnd::Answered, true, false, true, false},
        {"/write/", AttemptEnd::Shed, false, true, false, false},
        {"/write/", AttemptEnd::NotOwner, false, true, false, false},
        {"/write/", AttemptEnd::NothingSent, false, true, false, false},
        {"/write/", AttemptEnd::AnswerLost, false, false, false, true},
        {"/write/", AttemptEnd::AnswerTruncated, false, false, false, true},
    }));
    INFO(path << " " << static_cast<int>(end) << isServerError);
    Bench bench;
    bench.arrive(path);
    REQUIRE(bench.sends.size() == 1);
    bench.finish(bench.sends[0], end, isServerError);
    CHECK(bench.sends.size() == (isSentAgain ? 2 : 1));
    CHECK(bench.answers.size() == (isForwarded ? 1 : 0));
    if (isSentAgain)
        CHECK(bench.sends[1].target != bench.sends[0].target);
    if (!isSentAgain && !isForwarded) {
        REQUIRE(bench.ends.size() == 1);
        CHECK(bench.ends[0].mayHaveRun == mayHaveRun);
    }
}

TEST_CASE("A keyed request goes to its owner only, waits during a handover, and is rejected when the owner is lost")
{
    Bench bench;
    SECTION("owner holds the key")
    {
        bench.arrive("/key/", 5);
        REQUIRE(bench.sends.size() == 1);
        CHECK(bench.sends[0].target.id == "archive0");
    }
    SECTION("handover in progress")
    {
        bench.announceOwner(RangeState::Moving, 2);
        bench.arrive("/key/", 5);
        CHECK(bench.sends.empty());
        CHECK(bench.ends.empty());
        bench.now += 200ms;
        bench.announceOwner(RangeState::Held, 3, "archive1");
        REQUIRE(bench.sends.size() == 1);
        CHECK(bench.sends[0].target.id == "archive1");
    }
    SECTION("handover exceeds the wait limit")
    {
        bench.announceOwner(RangeState::Moving, 2);
        bench.arrive("/key/", 5);
        bench.now += 510ms;
        bench.take(bench.router.tick(bench.now));
        REQUIRE(bench.ends.size() == 1);
        CHECK(bench.ends[0].error == GatewayError::NoOwner);
        CHECK_FALSE(bench.ends[0].mayHaveRun);
    }
    SECTION("owner lost")
    {
        bench.announceOwner(RangeState::OwnerLost, 2);
        bench.arrive("/key/", 5);
        REQUIRE(bench.ends.size() == 1);
        CHECK(bench.ends[0].retryAfter > 0ms);
    }
    SECTION("an older announcement is ignored")
    {
        bench.announceOwner(RangeState::OwnerLost, 1);
        bench.arrive("/key/", 5);
        CHECK(bench.sends.size() == 1);
    }
    SECTION("refused by the owner")
    {
        bench.arrive("/keywrite/", 5);
        bench.finish(bench.sends[0], AttemptEnd::NotOwner);
        REQUIRE(bench.refusals.size() == 1);
        CHECK(bench.refusals[0] == OwnerRefused{keyed, "archive0", 5});
        CHECK(bench.ends.empty());
        bench.now += 70ms;
        bench.take(bench.router.tick(bench.now));
        CHECK(bench.sends.size() == 2);
    }
}

TEST_CASE("A sent request that exceeds its route's timeout ends as possibly run")
{
    Bench bench;
    const auto path = GENERATE("/read/", "/write/");
    bench.arrive(path);
    bench.now += 1s + 100ms;
    bench.take(bench.router.tick(bench.now));
    REQUIRE(bench.ends.size() == 1);
    CHECK(bench.ends[0].error == GatewayError::TimedOut);
    CHECK(bench.ends[0].mayHaveRun);
    CHECK(bench.cancels.size() == 1);
}

TEST_CASE("An attempt's timeout is the time left until the request's deadline")
{
    Bench bench;
    bench.take(bench.router.requestArrived({1, "h", "/read/", std::nullopt, 300ms}, bench.now));
    bench.take(bench.router.requestArrived({2, "h", "/read/", std::nullopt, std::nullopt}, bench.now));
    REQUIRE(bench.sends.size() == 2);
    CHECK(bench.sends[0].timeout == 300ms);
    CHECK(bench.sends[1].timeout == 1s);
}

TEST_CASE("Draining targets receive no new requests and finish those in flight")
{
    Bench bench;
    bench.arrive("/write/");
    auto targets = targetsOf(plain, 2);
    for (RegisteredTarget &target : targets)
        target.isDraining = target.identity.id == bench.sends[0].target.id;
    bench.take(bench.router.setTargets(targets, bench.now));
    for (int round = 0; round < 4; ++round)
        bench.arrive("/write/");
    for (std::size_t index = 1; index < bench.sends.size(); ++index)
        CHECK(bench.sends[index].target != bench.sends[0].target);
    bench.finish(bench.sends[0], AttemptEnd::Answered);
    CHECK(bench.answers.size() == 1);
}

TEST_CASE("When the caller disconnects, idempotent requests are cancelled, and others unless they are being sent")
{
    const auto [path, isOnlyUnsent] = GENERATE(table<std::string, bool>({{"/read/", false}, {"/write/", true}}));
    Bench bench;
    const RequestId id = bench.arrive(path);
    bench.take(bench.router.callerLeft(id, bench.now));
    CHECK(bench.cancels == std::vector<CancelSend>{{id, 1, isOnlyUnsent}});
    CHECK(bench.router.activeRequests() == 0);
    bench.finish(bench.sends[0], AttemptEnd::AnswerLost);
    CHECK(bench.ends.empty());
}

TEST_CASE(
    "A queued retry that finds no free target in time ends as overloaded, and as without an owner if it has a key")
{
    const auto [path, key, error] = GENERATE(table<std::string, std::optional<std::uint32_t>, GatewayError>(
        {{"/read/", std::nullopt, GatewayError::Overloaded}, {"/key/", 5, GatewayError::NoOwner}}));
    Bench bench(2);
    bench.arrive(path, key);
    const SendToTarget first = bench.sends.front();
    if (key) {
        bench.announceOwner(RangeState::Moving, 2);
    } else {
        while (bench.sends.size() == bench.lastId)
            bench.arrive(path); // Until no target has room.
    }
    REQUIRE(bench.ends.empty());
    bench.finish(first, AttemptEnd::NothingSent);
    bench.now += 900ms;
    bench.take(bench.router.tick(bench.now));
    const auto end = std::find_if(bench.ends.begin(), bench.ends.end(),
                                  [&first](const EndWithError &each) { return each.id == first.id; });
    REQUIRE(end != bench.ends.end());
    CHECK(end->error == error);
    CHECK_FALSE(end->mayHaveRun);
}

TEST_CASE("Under overload, urgent requests go first and those that can't be sent in time are rejected immediately")
{
    Bench bench(1);
    while (bench.ends.empty() && bench.lastId < 100)
        bench.arrive("/read/");
    REQUIRE_FALSE(bench.ends.empty());
    CHECK(bench.ends[0].error == GatewayError::Overloaded);
    CHECK(bench.ends[0].retryAfter > 0ms);
    const std::size_t sent = bench.sends.size();
    const RequestId urgent = bench.arrive("/write/");
    bench.now += 50ms;
    bench.finish(bench.sends[0], AttemptEnd::Answered);
    REQUIRE(bench.sends.size() > sent);
    CHECK(bench.sends[sent].id == urgent);
}

TEST_CASE("Under random events each request ends once, and a non-idempotent one that may have run is not resent")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        const auto any
            = [&random](std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(random); };
        Bench bench(3, 2);
        std::map<RequestId, bool> isIdempotent;
        std::map<RequestId, bool> mayHaveRun;
        std::set<RequestId> left;
        std::vector<SendToTarget> open;
        std::size_t seen = 0;
        constexpr std::array ends
            = {AttemptEnd::Answered,    AttemptEnd::Answered,   AttemptEnd::Answered,        AttemptEnd::Shed,
               AttemptEnd::NothingSent, AttemptEnd::AnswerLost, AttemptEnd::AnswerTruncated, AttemptEnd::NotOwner};
        for (int round = 0; round < 400; ++round) {
            bench.now += std::chrono::milliseconds(any(30));
            const std::size_t kind = any(10);
            if (kind < 4) {
                const bool isKeyed = any(2) == 0;
                const bool isRead = any(2) == 0;
                const std::string path = isKeyed ? (isRead ? "/key/" : "/keywrite/") : (isRead ? "/read/" : "/write/");
                isIdempotent[bench.lastId + 1] = isRead;
                bench.arrive(path, isKeyed ? std::optional<std::uint32_t>(any(65536)) : std::nullopt);
            } else if (kind < 8 && !open.empty()) {
                const std::size_t index = any(open.size());
                const SendToTarget send = open[index];
                open.erase(open.begin() + static_cast<std::ptrdiff_t>(index));
                const AttemptEnd end = ends.at(any(ends.size()));
                if (!isCertainlyNotRun(end))
                    mayHaveRun[send.id] = true;
                bench.finish(send, end, any(8) == 0);
            } else if (kind == 8) {
                bench.announceOwner(static_cast<RangeState>(any(3)), static_cast<std::uint64_t>(round) + 2);
            } else if (any(8) == 0 && bench.lastId != 0) {
                const RequestId id = 1 + any(bench.lastId);
                left.insert(id);
                bench.take(bench.router.callerLeft(id, bench.now));
            } else {
                bench.take(bench.router.tick(bench.now));
            }
            for (; seen < bench.sends.size(); ++seen) {
                const SendToTarget &send = bench.sends[seen];
                CHECK((isIdempotent[send.id] || !mayHaveRun[send.id]));
                open.push_back(send);
            }
        }
        bench.now += 10s;
        bench.take(bench.router.tick(bench.now));
        for (; seen < bench.sends.size(); ++seen)
            open.push_back(bench.sends[seen]);
        bench.now += 10s;
        bench.take(bench.router.tick(bench.now));
        CHECK(bench.router.activeRequests() == 0);
        std::map<RequestId, int> endings;
        for (const EndWithError &end : bench.ends) {
            ++endings[end.id];
            CHECK((end.mayHaveRun || !mayHaveRun[end.id]));
        }
        for (const ForwardAnswer &answer : bench.answers)
            ++endings[answer.id];
        for (RequestId id = 1; id <= bench.lastId; ++id)
            CHECK((endings[id] == 1 || (endings[id] == 0 && left.contains(id))));
    }
}

TEST_CASE("An owner that refuses all its keys is probed at intervals, and requests for its keys end immediately")
{
    Bench bench;
    std::size_t finished = 0;
    const auto runRequests = [&bench, &finished](int requests, AttemptEnd end) {
        for (int round = 0; round < requests; ++round) {
            bench.arrive("/key/x", 5);
            for (; finished < bench.sends.size(); ++finished)
                bench.finish(bench.sends[finished], end);
            bench.now += 10ms;
            bench.take(bench.router.tick(bench.now));
        }
    };
    runRequests(200, AttemptEnd::NotOwner); // Takes 2 s of virtual time.
    CHECK(bench.sends.size() < 30);
    CHECK(bench.router.activeRequests() == 0);
    REQUIRE(bench.ends.size() == 200);
    for (const EndWithError &end : bench.ends) {
        CHECK_FALSE(end.mayHaveRun);
        CHECK(end.retryAfter > 0ms);
    }
    // After the first response, requests are sent immediately again.
    bench.now += 100ms;
    const std::size_t before = bench.sends.size();
    runRequests(20, AttemptEnd::Answered);
    CHECK(bench.sends.size() - before == 20);
    CHECK(bench.answers.size() == 20);
}

namespace {

/// Simulates, in virtual time, callers of one owner that sheds part of its requests although it has capacity. Like
/// production callers, each retries up to twice, after the delay that the rejection names.
struct SheddingOwner
{
    struct Call
    {
        Time firstSubmitted;
        int tries;
    };

    /// Returns the share of 300 requests that are answered within the latency objective.
    double shareWithinObjective(double shedShare)
    {
        constexpr int requests = 300;
        std::multimap<Time, std::function<void()>> due;
        std::size_t answered = 0;
        for (int index = 0; index < requests; ++index)
            due.emplace(bench.now + index * 20ms, [this, &due] { submit(due, {bench.now, 1}); });
        const Time end = bench.now + 20s;
        while (!due.empty() && bench.now < end) {
            auto next = due.begin();
            bench.now = std::max(bench.now, next->first);
            const auto action = std::move(next->second);
            due.erase(next);
            action();
            bench.take(bench.router.tick(bench.now));
            processEffects(due, shedShare, answered);
        }
        return static_cast<double>(answered) / requests;
    }

private:
    void submit(std::multimap<Time, std::function<void()>> &, const Call &call)
    {
        calls[bench.arrive("/key/x", 5)] = call;
    }

    void processEffects(std::multimap<Time, std::function<void()>> &due, double shedShare, std::size_t &answered)
    {
        for (; sent < bench.sends.size(); ++sent) {
            const SendToTarget send = bench.sends[sent];
            const bool isShed = std::uniform_real_distribution<double>(0, 1)(random) < shedShare;
            due.emplace(bench.now + (isShed ? 2ms : 100ms),
                        [this, send, isShed] { bench.finish(send, isShed ? AttemptEnd::Shed : AttemptEnd::Answered); });
        }
        for (; ended < bench.ends.size(); ++ended) {
            const EndWithError &refusal = bench.ends[ended];
            Call call = calls.at(refusal.id);
            if (call.tries++ < 3)
                due.emplace(bench.now + refusal.retryAfter, [this, &due, call] { submit(due, call); });
        }
        for (; seen < bench.answers.size(); ++seen)
            answered += bench.now - calls.at(bench.answers[seen].id).firstSubmitted <= 400ms ? 1 : 0;
    }

    Bench bench;
    std::mt19937 random{3};
    std::map<RequestId, Call> calls;
    std::size_t sent = 0;
    std::size_t ended = 0;
    std::size_t seen = 0;
};

} // namespace

TEST_CASE("Callers of an owner that sheds some requests without queueing are served within the latency objective")
{
    const double shedShare = GENERATE(0.0, 0.3, 0.55);
    // Each caller tries three times independently; allow for three standard deviations of a share of 300 requests.
    const double served = 1 - std::pow(shedShare, 3);
    const double noise = 3 * std::sqrt(served * (1 - served) / 300);
    CHECK(SheddingOwner().shareWithinObjective(shedShare) >= served - noise);
}
