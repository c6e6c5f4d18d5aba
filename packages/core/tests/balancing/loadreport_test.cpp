#include <sardinehinge/core/balancing/loadreport.h>
#include <sardinehinge/core/targetstate.h>

#include <catch2/catch.hpp>

namespace sardinehinge::core {
namespace {

constexpr Duration usualTime = 100ms;

ReportedLoad loadOf(const LoadReport &report, std::uint32_t ownInFlight = 0)
{
    ReportedLoad load;
    load.take(report, ownInFlight, 1s);
    return load;
}

} // namespace

TEST_CASE("Without a report a target's load is taken as usual")
{
    const ReportedLoad load;
    CHECK_FALSE(load.isKnown());
    CHECK_FALSE(load.age(1s));
    CHECK(load.expectedOthers(usualTime, 1s) == 0);
    CHECK(load.relativeTime(3, usualTime, 1s) == 1);
}

TEST_CASE("A fresh report gives the wait for a slot")
{
    struct Case
    {
        const char *name;
        LoadReport report;
        std::uint32_t ownAtReport;
        std::uint32_t ownNow;
        double time;
    };
    const auto [name, report, ownAtReport, ownNow, time] = GENERATE(values<Case>({
        {"idle", {0, 0, 4, 1}, 0, 0, 1},
        {"one slot left", {3, 0, 4, 1}, 0, 0, 1},
        {"full", {4, 0, 4, 1}, 0, 0, 1.25},
        {"a queue", {4, 4, 4, 1}, 0, 0, 2.25},
        {"own requests are counted once", {4, 0, 4, 1}, 2, 2, 1.25 * 1.375},
        {"own requests that have ended since", {4, 0, 4, 1}, 2, 0, 1},
        {"own requests sent since", {2, 0, 4, 1}, 0, 3, 1.5 * 1.5625},
        {"more own requests than reported", {0, 0, 4, 1}, 3, 3, 1.5625},
        {"no slots", {1, 0, 0, 1}, 0, 0, 2},
    }));
    INFO(name);
    CHECK(loadOf(report, ownAtReport).relativeTime(ownNow, usualTime, 1s) == Approx(time).margin(0.01));
}

TEST_CASE("A report's weight halves with each usual time, against the mean of the reports")
{
    ReportedLoad load = loadOf({4, 0, 4, 1});
    load.take({0, 0, 4, 1}, 0, 2s);
    CHECK(load.expectedOthers(usualTime, 2s) == Approx(0));
    CHECK(load.expectedOthers(usualTime, 2s + usualTime) == Approx(1.6));
    CHECK(load.expectedOthers(usualTime, 3s) == Approx(3.2).margin(0.01));
    CHECK(load.age(3s) == 1s);
}

TEST_CASE("An idle target costs no less than others once its report is old")
{
    ReportedLoad idle = loadOf({2, 0, 4, 1});
    ReportedLoad busy = loadOf({2, 0, 4, 1});
    idle.take({0, 0, 4, 1}, 0, 2s);
    busy.take({4, 0, 4, 1}, 0, 2s);
    const double fresh = busy.relativeTime(0, usualTime, 2s) - idle.relativeTime(0, usualTime, 2s);
    const double old = busy.relativeTime(0, usualTime, 4s) - idle.relativeTime(0, usualTime, 4s);
    CHECK(fresh > 0.2);
    CHECK(old < fresh / 2);
}

TEST_CASE("The work factor counts for a moment only")
{
    ReportedLoad load = loadOf({0, 0, 4, 1});
    load.take({0, 0, 4, 3}, 0, 2s);
    CHECK(load.relativeTime(0, usualTime, 2s) > 2);
    CHECK(load.relativeTime(0, usualTime, 2s + 500ms) == Approx(1).margin(0.01));
}

TEST_CASE("A load report changes a target's cost and none of the beliefs about it")
{
    TargetState state;
    TargetNotice notice;
    notice.load = LoadReport{4, 8, 4, 1};
    CHECK(notice.isEmpty());
    const double before = state.cost(false, usualTime, 1s);
    state.loadReported(*notice.load, 1s);
    CHECK(state.cost(false, usualTime, 1s) > 2 * before);
    CHECK(state.condition(1s) == TargetCondition::Ready);
    CHECK_FALSE(state.beliefs().isAny(1s));
}

} // namespace sardinehinge::core
