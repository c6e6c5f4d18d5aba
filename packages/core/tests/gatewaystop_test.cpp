#include "routerbench.h"

#include <sardinehinge/core/admission/stopschedule.h>

/// What becomes of requests when an instance stops.
using namespace sardinehinge::core;
using namespace sardinehinge::core::tests;

TEST_CASE("A stop leaves time for the balancer, for late requests and for final answers")
{
    const auto [stopTime, schedule] = GENERATE(table<Duration, StopSchedule>({
        {6s, {2600ms, 3s, 5400ms, 5700ms}},
        {10s, {2600ms, 3s, 9400ms, 9700ms}},
        {2s, {1s, 1s, 1400ms, 1700ms}},
        {400ms, {200ms, 200ms, 200ms, 200ms}},
        {0s, {0s, 0s, 0s, 0s}},
    }));
    CHECK(stopScheduleFor(stopTime) == schedule);
}

TEST_CASE("A request that comes late in a stop reaches no target and is refused as not run")
{
    const auto [path, key] = GENERATE(table<std::string, std::optional<std::uint32_t>>({
        {"/read/", std::nullopt},
        {"/write/", std::nullopt},
        {"/key/", 7},
    }));
    Bench bench;
    bench.router.setLastAdmission(bench.now + 3s);
    bench.now += 2999ms;
    bench.arrive(path, key);
    CHECK(bench.sends.size() == 1);
    CHECK(bench.ends.empty());
    bench.now += 1ms;
    bench.arrive(path, key);
    CHECK(bench.sends.size() == 1);
    REQUIRE(bench.ends.size() == 1);
    CHECK(bench.ends[0].error == GatewayError::Stopping);
    CHECK_FALSE(bench.ends[0].mayHaveRun);
    CHECK(bench.ends[0].retryAfter > 0ms);
}

TEST_CASE("At the end of a stop every request is answered, as not run only if no target had it")
{
    const std::string path = GENERATE("/read/", "/write/");
    Bench bench(1);
    constexpr std::size_t requests = 60; // More than the target takes at once.
    std::set<RequestId> waiting;
    for (std::size_t index = 0; index < requests; ++index)
        waiting.insert(bench.arrive(path));
    for (const EndWithError &end : bench.ends)
        waiting.erase(end.id); // Refused at once.
    std::set<RequestId> sent;
    for (const SendToTarget &send : bench.sends)
        sent.insert(send.id);
    REQUIRE_FALSE(sent.empty());
    REQUIRE(sent.size() < waiting.size());
    bench.ends.clear();
    bench.take(bench.router.endRequests());
    CHECK(bench.router.activeRequests() == 0);
    CHECK(bench.ends.size() == waiting.size());
    for (const EndWithError &end : bench.ends) {
        CHECK(waiting.contains(end.id));
        CHECK(end.mayHaveRun == sent.contains(end.id));
        CHECK(end.error == (end.mayHaveRun ? GatewayError::TimedOut : GatewayError::Stopping));
    }
    CHECK(bench.router.endRequests().empty());
}
