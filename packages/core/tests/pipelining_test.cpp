#include <sardinehinge/core/admission/pipelining.h>

#include "routerbench.h"

#include <catch2/catch.hpp>

using namespace sardinehinge::core;

TEST_CASE("Only requests of a known route that may be repeated run beside others")
{
    struct Case
    {
        const char *name;
        bool isKnown;
        bool isIdempotent;
        bool isUnreadable;
        bool mayRunBeside;
    };
    const auto [name, isKnown, isIdempotent, isUnreadable, mayRunBeside] = GENERATE(values<Case>({
        {"may be repeated", true, true, false, true},
        {"may not be repeated", true, false, false, false},
        {"no route", false, true, false, false},
        {"a route that can't be read", true, true, true, false},
    }));
    INFO(name);
    RouteRule route;
    route.isIdempotent = isIdempotent;
    route.isUnreadable = isUnreadable;
    CHECK(mayRunBesideOthers(isKnown ? &route : nullptr) == mayRunBeside);
}

TEST_CASE("A request whose caller waits no longer ends as not run and reaches no target")
{
    const auto [left, sends] = GENERATE(values<std::pair<Duration, std::size_t>>({{0ms, 0}, {-5ms, 0}, {5ms, 1}}));
    INFO(left.count());
    tests::Bench bench;
    bench.take(bench.router.requestArrived({1, "h", "/write/", std::nullopt, left}, bench.now));
    CHECK(bench.sends.size() == sends);
    REQUIRE(bench.ends.size() == 1 - sends);
    if (sends == 0) {
        CHECK(bench.ends.front().error == GatewayError::TimedOut);
        CHECK_FALSE(bench.ends.front().mayHaveRun);
    }
}
