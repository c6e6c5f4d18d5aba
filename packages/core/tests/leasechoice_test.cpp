#include <sardinehinge/core/ownership/leasechoice.h>

#include <catch2/catch.hpp>

using namespace sardinehinge::core;
using namespace std::chrono_literals;

namespace {

RouteRule route(Duration timeout, std::vector<WeightedService> services)
{
    RouteRule rule;
    rule.timeout = timeout;
    rule.services = std::move(services);
    return rule;
}

} // namespace

TEST_CASE("A lease leaves time for a service's longest request whenever it begins")
{
    struct Case
    {
        const char *name;
        std::vector<RouteRule> routes;
        Duration lease;
    };
    const OwnershipTiming defaults;
    const auto [name, routes, lease] = GENERATE_COPY(values<Case>({
        {"no route", {}, defaults.minLease},
        {"no limit", {route(0ms, {{"s", 1}})}, defaults.minLease},
        {"short requests", {route(1200ms, {{"s", 1}})}, defaults.minLease},
        {"requests of 3 s", {route(3000ms, {{"s", 1}})}, 4000ms},
        {"the longest counts", {route(1s, {{"s", 1}}), route(4500ms, {{"s", 1}})}, 6000ms},
        {"a share of a route counts", {route(4500ms, {{"t", 99}, {"s", 1}})}, 6000ms},
        {"others don't count", {route(4500ms, {{"t", 1}})}, defaults.minLease},
        {"at most what targets accept", {route(60s, {{"s", 1}})}, defaults.maxLease},
    }));
    INFO(name);
    GatewayConfig config;
    config.routes = routes;
    const Duration longest = longestRequestTime(config, "s");
    const OwnershipTiming timing = timingForRequests(longest);
    CHECK(timing.minLease == lease);
    CHECK(timing.maxLease == defaults.maxLease);
    // What is left of a lease just before its renewal.
    const Duration left = timing.minLease - (timing.minLease / timing.renewalsPerLease);
    CHECK((left >= longest || timing.minLease == timing.maxLease));
}

TEST_CASE("A controller's first leases last as long as the service's requests need")
{
    RangeControl control("s", {"d", 1}, 0ms, timingForRequests(6s));
    std::optional<Duration> lease;
    RegisteredTarget target;
    target.identity = {"t", 1};
    target.service = "s";
    target.address = "10.0.0.1:80";
    control.handle(ControlTargets{{target}}, 0ms);
    for (Time now = 0ms; now < 5s && !lease; now += 50ms) {
        auto effects = control.handle(ControlTick{}, now);
        for (std::size_t index = 0; index < effects.size(); ++index) {
            if (std::holds_alternative<ReadOwnership>(effects[index])) {
                const auto more = control.handle(OwnershipRead{std::nullopt, 0, now, 1}, now);
                effects.insert(effects.end(), more.begin(), more.end());
            } else if (const auto *write = std::get_if<WriteOwnership>(&effects[index])) {
                lease = write->record.lease;
            }
        }
    }
    REQUIRE(lease);
    CHECK(*lease == 8s);
}
