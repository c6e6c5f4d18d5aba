#include <sardinehinge/core/gatewayconfig.h>
#include <sardinehinge/core/rangeplanner.h>
#include <sardinehinge/core/retrybudget.h>
#include <sardinehinge/core/targetregistry.h>
#include <sardinehinge/core/targetscore.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <random>

using namespace sardinehinge::core;

namespace {

RouteRule routeOf(const std::string &host, const std::string &prefix)
{
    RouteRule route;
    route.name = host + prefix;
    route.host = host;
    route.prefix = prefix;
    route.services = {{"service", 1}};
    return route;
}

RegisteredTarget targetOf(const std::string &id, bool isDraining = false)
{
    RegisteredTarget target;
    target.identity = {id, 1};
    target.service = "service";
    target.isDraining = isDraining;
    return target;
}

std::vector<std::string> idsOf(const TargetRegistry &registry, Time now)
{
    std::vector<std::string> ids;
    for (const RegisteredTarget &target : registry.targets(now))
        ids.push_back(target.identity.id);
    return ids;
}

} // namespace

TEST_CASE("The longest prefix of the host's routes is chosen")
{
    GatewayConfig config;
    config.routes = {routeOf("a.example", "/x/"), routeOf("a.example", "/x/y/"), routeOf("b.example", "/")};
    const RouteTable table(config);
    struct Case
    {
        std::string host;
        std::string path;
        std::string route;
    };
    const auto [host, path, route] = GENERATE(values<Case>({
        {"a.example", "/x/1", "a.example/x/"},
        {"a.example", "/x/y/1", "a.example/x/y/"},
        {"A.Example:8080", "/x/y", "a.example/x/"},
        {"a.example", "/x", ""},
        {"a.example", "/", ""},
        {"b.example", "/anything", "b.example/"},
        {"c.example", "/x/1", ""},
    }));
    INFO(host << path);
    const RouteRule *found = table.find(host, path);
    CHECK((found == nullptr ? std::string() : found->name) == route);
}

TEST_CASE("Weighted round robin gives each service its exact share over every run of the weights' sum")
{
    const auto weights = GENERATE(values<std::vector<std::uint32_t>>({{1}, {90, 10}, {3, 0, 1}, {1, 1, 1}, {0, 5}}));
    std::vector<WeightedService> services;
    std::uint32_t sum = 0;
    for (const std::uint32_t weight : weights) {
        services.push_back({"backend", weight});
        sum += weight;
    }
    WeightedRoundRobin split;
    for (int round = 0; round < 3; ++round) {
        std::vector<std::uint32_t> counts(services.size(), 0);
        for (std::uint32_t request = 0; request < sum; ++request)
            ++counts[split.next(services)];
        CHECK(counts == weights);
    }
}

TEST_CASE("The retry budgets of all daemons together stay within the allowance in every window")
{
    const RetryAllowance allowance{0.2, 62, 10s};
    const auto [daemons, perSecond] = GENERATE(table<std::size_t, int>({{1, 100}, {11, 7}, {11, 70}, {75, 1}}));
    const bool isWave = GENERATE(false, true); // Load swings by half with a period of 13 s, as in production.
    std::vector<RetryBudget> budgets(daemons);
    std::vector<std::pair<Time, bool>> events; // (arrival time, whether it is a retry)
    std::mt19937 random(5);
    for (Time now = 0s; now < 40s; now += Duration(1s) / perSecond) {
        // Without load only the slack remains.
        const bool isIdle = now > 15s && now < 28s;
        for (RetryBudget &budget : budgets) {
            const double phase = 6.28 * std::chrono::duration<double>(now).count() / 13;
            const bool isActive = !isWave || random() % 1000 < 550 + 450 * std::sin(phase);
            if (!isIdle && isActive) {
                budget.addRequest(now);
                events.emplace_back(now, false);
            }
            if (budget.trySpend(allowance, daemons, now))
                events.emplace_back(now + std::chrono::milliseconds(random() % 1000), true);
        }
    }
    const auto countIn = [&events](bool isRetry, Time from, Time to) {
        return static_cast<double>(std::count_if(events.begin(), events.end(), [&](const auto &event) {
            return event.second == isRetry && event.first > from && event.first <= to;
        }));
    };
    for (Time end = 10s; end < 40s; end += 500ms) {
        // The allowance uses the requests of this window, the one half a window earlier or the preceding one.
        double requests = 0;
        for (const Duration back : {0ms, 5000ms, 10000ms})
            requests = std::max(requests, countIn(false, end - back - allowance.window, end - back));
        INFO("window up to " << end.count());
        CHECK(countIn(true, end - allowance.window, end) <= allowance.ratio * requests + allowance.slack);
    }
}

TEST_CASE("A target whose removal is learnt late gets no request after the drain bound")
{
    struct Case
    {
        const char *name;
        Duration drainBound;
        Time completeAt; ///< Before this, the entry was there.
        Time removedAt; ///< The removal was learnt at 10 s.
    };
    const auto [name, drainBound, completeAt, removedAt] = GENERATE(values<Case>({
        {"learnt at once", 2s, 10s, 11s},
        {"learnt after half a second", 2s, 9500ms, 11s},
        {"learnt after a second", 2s, 9s, 10700ms},
        {"learnt after a second, longer bound", 3s, 9s, 11s},
        {"learnt at the bound", 2s, 8s, 10s},
        {"learnt long after the bound", 2s, 1s, 10s},
    }));
    INFO(name);
    RegistryTiming timing;
    timing.drainBound = drainBound;
    TargetRegistry registry(timing);
    registry.put(targetOf("a"), 0s);
    registry.remove("a", 10s, completeAt);
    if (removedAt > 10s)
        CHECK(registry.expire(removedAt - 1ms).empty());
    CHECK(registry.expire(removedAt) == std::vector<std::string>{"a"});
    const bool isLearntInTime = completeAt + drainBound > 10s;
    CHECK((!isLearntInTime || removedAt < completeAt + drainBound));
}

TEST_CASE("A vanished entry is removed after the delay, or after the grace period that follows a store outage")
{
    TargetRegistry registry;
    registry.put(targetOf("a"), 0s);
    registry.put(targetOf("b", true), 0s);
    CHECK(registry.takeChanged());
    SECTION("store connected")
    {
        registry.remove("a", 10s, 10s);
        registry.remove("b", 10s, 10s);
        CHECK(registry.expire(10s) == std::vector<std::string>{"b"});
        CHECK(registry.expire(10900ms).empty());
        CHECK(registry.expire(11s) == std::vector<std::string>{"a"});
        CHECK(registry.takeChanged());
    }
    SECTION("entry reappears within the delay")
    {
        registry.remove("a", 10s, 10s);
        registry.put(targetOf("a"), 10500ms);
        CHECK(registry.expire(20s).empty());
    }
    SECTION("after a store outage")
    {
        registry.storeDisconnected();
        registry.remove("a", 10s, 10s);
        CHECK(registry.expire(15s).empty());
        registry.storeReconnected(15s);
        CHECK(registry.expire(17s).empty());
        CHECK(registry.expire(17200ms) == std::vector<std::string>{"a"});
    }
    SECTION("missing from a complete listing")
    {
        registry.keepOnly({"b"}, 10s, 10s);
        CHECK(registry.expire(12s) == std::vector<std::string>{"a"});
        CHECK(idsOf(registry, 12s) == std::vector<std::string>{"b"});
    }
}

// Guards against a departed target that stays in use because an outage follows the news of its removal.
TEST_CASE("An outage keeps an entry that may have lapsed, and none whose removal was known before it")
{
    struct Outage
    {
        Time begin;
        Time end;
    };
    struct Case
    {
        const char *name;
        std::vector<Outage> outages;
        Time vanishedAt;
        Time removedAt;
    };
    const auto [name, outages, vanishedAt, removedAt] = GENERATE(values<Case>({
        {"no outage", {}, 10s, 11s},
        {"an outage after the removal", {{10500ms, 14s}}, 10s, 11s},
        {"an outage right after the removal", {{10001ms, 10002ms}}, 10s, 11s},
        {"an outage without end", {{10500ms, 60s}}, 10s, 11s},
        {"outages again and again", {{10200ms, 10300ms}, {10500ms, 10600ms}, {10800ms, 10900ms}}, 10s, 11s},
        {"an outage long before", {{5s, 7s}}, 10s, 11s},
        {"amid an outage, by another daemon", {{9s, 12s}}, 10s, 14100ms},
        {"with the answer that ends an outage", {{7s, 10s}}, 10s, 12100ms},
        {"soon after an outage", {{7s, 9s}}, 10s, 11100ms},
        {"soon after an outage, before the next one", {{7s, 9s}, {10500ms, 13s}}, 10s, 15100ms},
    }));
    INFO(name);
    constexpr Duration step = 1ms;
    TargetRegistry registry;
    registry.put(targetOf("a"), 0s);
    Time expiredAt = 0s;
    for (Time now = 0s; now < 20s && expiredAt == 0s; now += step) {
        for (const Outage &outage : outages) {
            if (now == outage.begin)
                registry.storeDisconnected();
            if (now == outage.end)
                registry.storeReconnected(now);
        }
        if (now == vanishedAt)
            registry.remove("a", now, now);
        if (!registry.expire(now).empty())
            expiredAt = now;
    }
    CHECK(expiredAt == removedAt);
}

TEST_CASE("A store that returns from an older copy brings no target back that had left or was draining")
{
    // The last known entry is of incarnation 2 and sequence 10.
    enum class Known { Ready, Draining, Removed, LongRemoved };
    struct Case
    {
        std::string name;
        Known known;
        std::uint64_t incarnation; ///< Of the ready entry that the first list of the new era shows.
        std::uint64_t sequence;
        bool isUsed; ///< As ready, after that list.
    };
    const auto [name, known, incarnation, sequence, isUsed] = GENERATE(values<Case>({
        {"older entry of a ready target", Known::Ready, 2, 9, true},
        {"draining, older entry", Known::Draining, 2, 9, false},
        {"draining, the same sequence", Known::Draining, 2, 10, false},
        {"draining, written anew", Known::Draining, 2, 11, true},
        {"draining, another life since", Known::Draining, 3, 1, true},
        {"draining, an earlier life", Known::Draining, 1, 50, false},
        {"draining, without a sequence", Known::Draining, 2, 0, false},
        {"removed, older entry", Known::Removed, 2, 9, false},
        {"removed, later heartbeats unknown here", Known::Removed, 2, 30, false},
        {"removed, another life since", Known::Removed, 3, 1, true},
        {"removed, an earlier life", Known::Removed, 1, 50, false},
        {"removed, without a sequence", Known::Removed, 2, 0, false},
        {"removed and deleted, older entry", Known::LongRemoved, 2, 9, false},
        {"removed and deleted, later heartbeats unknown here", Known::LongRemoved, 2, 30, false},
        {"removed and deleted, another life since", Known::LongRemoved, 3, 1, true},
        {"removed and deleted, an earlier life", Known::LongRemoved, 1, 50, false},
        {"removed and deleted, without a sequence", Known::LongRemoved, 2, 0, false},
    }));
    INFO(name);
    const auto isReady = [](const TargetRegistry &registry) {
        const RegisteredTarget *target = registry.find("a");
        return target != nullptr && !target->isDraining;
    };
    const auto entry = [](std::uint64_t ofIncarnation, std::uint64_t ofSequence) {
        RegisteredTarget target = targetOf("a");
        target.identity.incarnation = ofIncarnation;
        target.sequence = ofSequence;
        return target;
    };
    TargetRegistry registry;
    RegisteredTarget last = entry(2, 10);
    last.isDraining = known == Known::Draining;
    registry.put(last, 0s);
    if (known == Known::Removed || known == Known::LongRemoved)
        registry.remove("a", 10s, 10s);
    const Time restoredAt = known == Known::LongRemoved ? 30s : 10500ms;
    registry.expire(restoredAt);

    registry.eraChanged(restoredAt);
    CHECK(registry.put(entry(incarnation, sequence), restoredAt) == isUsed);
    registry.keepOnly({"a"}, restoredAt, restoredAt);
    registry.expire(restoredAt + 1s);
    CHECK(isReady(registry) == isUsed);
    // Another list shows the same entry.
    registry.put(entry(incarnation, sequence), restoredAt + 2s);
    CHECK(isReady(registry) == isUsed);
    CHECK(registry.hasOutdatedRemovals() == (!isUsed && known != Known::Draining));
    // The target writes.
    CHECK(registry.put(entry(std::max<std::uint64_t>(incarnation, 2), sequence + 20), restoredAt + 3s));
    CHECK(isReady(registry));
    CHECK_FALSE(registry.hasOutdatedRemovals());
}

TEST_CASE("Targets that a store has lost with its latest changes are kept until they have written again")
{
    TargetRegistry registry;
    for (const std::string id : {"lost", "back", "gone"})
        registry.put(targetOf(id), 0s);
    registry.put(targetOf("draining", true), 0s);
    registry.remove("gone", 9800ms, 9800ms);
    registry.eraChanged(10s);
    registry.keepOnly({}, 10100ms, 9s);
    CHECK(registry.expire(10100ms) == std::vector<std::string>{"draining"});
    CHECK(registry.expire(10900ms) == std::vector<std::string>{"gone"});
    CHECK(registry.put(targetOf("back"), 11s));
    CHECK(registry.expire(12s).empty());
    CHECK(registry.expire(12200ms) == std::vector<std::string>{"lost"});
    CHECK(idsOf(registry, 13s) == std::vector<std::string>{"back"});
}

TEST_CASE("Removed targets are remembered for a bounded time and number")
{
    RegistryTiming timing;
    timing.rememberedRemovals = 2;
    TargetRegistry registry(timing);
    int second = 10;
    for (const std::string id : {"a", "b", "c"}) {
        registry.put(targetOf(id), 0s);
        registry.remove(id, std::chrono::seconds(second), std::chrono::seconds(second));
        registry.expire(std::chrono::seconds(++second));
    }
    const bool isForgotten = GENERATE(false, true);
    const Time restoredAt = isForgotten ? 13s + timing.removalMemory : 20s;
    registry.expire(restoredAt);
    registry.eraChanged(restoredAt);
    CHECK(registry.put(targetOf("a"), restoredAt));
    CHECK(registry.put(targetOf("b"), restoredAt) == isForgotten);
    CHECK(registry.put(targetOf("c"), restoredAt) == isForgotten);
    CHECK(timing.removalMemory > maxCopyAge);
}

TEST_CASE("Slow, failing, remote and warming targets cost more, and unreachable ones are ejected")
{
    const auto scoreAfter = [](TargetObservation observation, Duration taken, int times) {
        TargetScore score;
        for (int round = 0; round < times; ++round) {
            score.attemptStarted();
            score.attemptFinished(observation, taken, 400ms, 100ms, round * 10ms);
        }
        return score;
    };
    const Time now = 200ms;
    const TargetScore good = scoreAfter(TargetObservation::Served, 100ms, 20);
    const TargetScore slow = scoreAfter(TargetObservation::Served, 300ms, 20);
    const TargetScore dead = scoreAfter(TargetObservation::Unreachable, 1ms, 2);
    const double best = good.cost(false, false, now);
    CHECK(slow.cost(false, false, now) > best);
    CHECK(good.cost(true, false, now) > best);
    CHECK(good.cost(false, true, now) > best);
    CHECK(scoreAfter(TargetObservation::Shed, 1ms, 5).cost(false, false, now) > best);
    CHECK(dead.isEjected(now));
    CHECK_FALSE(dead.isEjected(now + 1s));
    // Without new samples the score decays to the average, so that a target that was slow is tried again.
    CHECK(slow.cost(false, false, now + 30s) < 1.01);
}

TEST_CASE("The limit of requests in flight falls with high latency and recovers")
{
    TargetScore score;
    Time now = 1s;
    const auto serve = [&](TargetObservation observation, Duration taken) {
        while (score.hasRoom())
            score.attemptStarted();
        now += 100ms;
        score.attemptFinished(observation, taken, 400ms, 100ms, now);
    };
    for (int round = 0; round < 20; ++round)
        serve(TargetObservation::Served, 900ms);
    CHECK(score.limit() == 1.0);
    for (int round = 0; round < 60; ++round)
        serve(TargetObservation::Served, 100ms);
    CHECK(score.limit() > 4.0);
}

TEST_CASE("Applying an ownership change to the base announcement yields the next announcement")
{
    const auto owners = [](std::uint64_t sequence, const std::vector<RoutedRange> &ranges) {
        return RangeOwners{"service", 3, sequence, ranges};
    };
    const RangeOwners before = owners(7, {{{0, 99}, "a", RangeState::Held}, {{100, lastKey}, "b", RangeState::Held}});
    const auto ranges = GENERATE(values<std::vector<RoutedRange>>({
        {{{0, 99}, "a", RangeState::Held}, {{100, lastKey}, "b", RangeState::Held}},
        {{{0, 49}, "a", RangeState::Held},
         {{50, 199}, "", RangeState::Moving},
         {{200, lastKey}, "b", RangeState::Held}},
        {{{0, lastKey}, "c", RangeState::Held}},
        {{{0, 99}, "a", RangeState::OwnerLost},
         {{100, 500}, "b", RangeState::Held},
         {{501, lastKey}, "a", RangeState::Held}},
    }));
    // A new controller's first announcement is based on its predecessor's last one.
    const std::uint64_t term = GENERATE(3, 4);
    RangeOwners after = owners(8, ranges);
    after.term = term;
    const auto applied = applyChange(before, changeBetween(before, after));
    REQUIRE(applied.has_value());
    CHECK(applied->isNewerThan(before));
    for (std::uint32_t key = 0; key <= lastKey; ++key) {
        const RoutedRange *got = applied->find(key);
        const RoutedRange *wanted = after.find(key);
        if (got == nullptr || got->owner != wanted->owner || got->state != wanted->state)
            FAIL("key " << key);
    }
    CHECK(applied->term == term);
    CHECK_FALSE(applyChange(owners(6, before.ranges), changeBetween(before, after)).has_value());
    CHECK_FALSE(applyChange({"service", 2, 7, before.ranges}, changeBetween(before, after)).has_value());
    CHECK_FALSE(applyChange(owners(7, {}), changeBetween(before, after)).has_value());
}
