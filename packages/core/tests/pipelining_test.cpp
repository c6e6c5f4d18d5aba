#include <sardinehinge/core/admission/pipelining.h>

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
