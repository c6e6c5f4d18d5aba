#include <sardinehinge/core/requestrouter.h>
#include <sardinehinge/core/sharding.h>
#include <sardinehinge/core/slotallocator.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <iostream>

using namespace sardinehinge::core;

namespace {

const ServiceId keyed{"kanalstivej", "report-status"};
const ServiceId unkeyed{"kanalstivej", "damage-intake"};

WorkspaceSpec workspace(WorkspaceState state = WorkspaceState::Active)
{
    WorkspaceSpec spec;
    spec.name = "kanalstivej";
    spec.state = state;
    ServiceSpec status;
    status.name = keyed.service;
    status.division = Division::Hash;
    status.shardCount = 4;
    status.endpoints = {{"/status", true, WorkClass::Short, 1s},
                        {"/subscribe", false, WorkClass::Short, 1s},
                        {"/export", true, WorkClass::Long, 30s}};
    ServiceSpec intake;
    intake.name = unkeyed.service;
    intake.endpoints = {{"/report", false, WorkClass::Short, 1s}};
    spec.services = {status, intake};
    return spec;
}

InstanceView targets()
{
    InstanceView view{1, {{"self", InstanceKind::Daemon, "addr", "viborg", {}, false}}};
    for (const char *id : {"a", "b"})
        view.instances.push_back(
            {id, InstanceKind::Target, std::string("addr-") + id, "viborg", toString(keyed), false});
    for (const char *id : {"c", "d"})
        view.instances.push_back(
            {id, InstanceKind::Target, std::string("addr-") + id, "viborg", toString(unkeyed), false});
    return view;
}

Assignment allOwnedBy(const std::string &target, std::uint64_t epoch)
{
    return {1, std::vector<ShardOwner>(4, ShardOwner{target, epoch, {}, false})};
}

/// A router whose daemon is also the slot allocator of its targets, so that slots are granted immediately.
class TestRouter
{
public:
    explicit TestRouter(std::uint64_t seed)
        : m_router(seed)
    {
    }

    RequestRouter::Effects handle(const RouterEvent &event, Time now)
    {
        RequestRouter::Effects effects;
        std::vector<RouterEvent> events = {event};
        while (!events.empty()) {
            const RouterEvent next = events.front();
            events.erase(events.begin());
            for (const RouterEffect &effect : m_router.handle(next, now)) {
                effects.push_back(effect);
                const auto *slotDemand = std::get_if<SendSlotDemand>(&effect);
                if (slotDemand == nullptr)
                    continue;
                for (const AddressedGrant &grant : m_allocator.handle({"self", 1}, slotDemand->demand, now))
                    events.emplace_back(SlotsGranted{grant.grant});
            }
        }
        return effects;
    }

    std::size_t activeRequests() const noexcept { return m_router.activeRequests(); }
    std::uint32_t inFlightAt(const std::string &target) const noexcept { return m_router.inFlightAt(target); }

private:
    RequestRouter m_router;
    SlotAllocator m_allocator;
};

TestRouter readyRouter(std::uint64_t seed = 1)
{
    TestRouter router(seed);
    router.handle(WorkspaceChanged{"kanalstivej", workspace()}, 1s);
    router.handle(TargetsChanged{targets()}, 1s);
    router.handle(OwnersChanged{keyed, allOwnedBy("a", 1)}, 1s);
    return router;
}

RequestHead requestHead(RequestId id, const ServiceId &service, std::string path, std::optional<std::string> key)
{
    return {id, service, std::move(path), std::move(key), std::nullopt, "caller", std::nullopt};
}

template<typename T>
std::vector<T> effectsOf(const RequestRouter::Effects &effects)
{
    std::vector<T> found;
    for (const RouterEffect &effect : effects) {
        if (const T *typed = std::get_if<T>(&effect))
            found.push_back(*typed);
    }
    return found;
}

} // namespace

TEST_CASE("A request that can't be routed fails as not run with a stable error code")
{
    struct Case
    {
        RequestHead request;
        ErrorCode code;
    };
    const auto each = GENERATE(values<Case>({
        {requestHead(1, {"nobody", "report-status"}, "/status", "k"), ErrorCode::UnknownWorkspace},
        {requestHead(1, {"kanalstivej", "nothing"}, "/status", "k"), ErrorCode::UnknownService},
        {requestHead(1, keyed, "/status", std::nullopt), ErrorCode::MissingKey},
    }));
    TestRouter router = readyRouter();
    const auto failures = effectsOf<FailRequest>(router.handle(RequestArrived{each.request}, 2s));
    REQUIRE(failures.size() == 1);
    CHECK(failures[0].notRun);
    CHECK(failures[0].error.code == each.code);
    CHECK(router.activeRequests() == 0);
}

TEST_CASE("The end of an attempt determines the outcome of the request")
{
    struct Case
    {
        std::string name;
        std::string path;
        AttemptEnd end;
        bool failsImmediately; ///< Otherwise the request is retried.
        bool notRun;
    };
    const auto each = GENERATE(values<Case>({
        {"non-idempotent, answer lost", "/subscribe", AttemptEnd::AnswerLost, true, false},
        {"non-idempotent, answer truncated", "/subscribe", AttemptEnd::AnswerTruncated, true, false},
        {"non-idempotent, lease lost", "/subscribe", AttemptEnd::LeaseLost, true, false},
        {"non-idempotent, not owner", "/subscribe", AttemptEnd::NotOwner, false, true},
        {"non-idempotent, nothing sent", "/subscribe", AttemptEnd::NothingSent, false, true},
        {"non-idempotent, shed", "/subscribe", AttemptEnd::Shed, false, true},
        {"non-idempotent, draining", "/subscribe", AttemptEnd::Draining, false, true},
        {"idempotent, answer lost", "/status", AttemptEnd::AnswerLost, false, false},
        {"idempotent, answer truncated", "/status", AttemptEnd::AnswerTruncated, false, false},
        {"idempotent, not owner", "/status", AttemptEnd::NotOwner, false, true},
    }));
    INFO(each.name);
    TestRouter router = readyRouter();
    for (RequestId id = 100; id < 120; ++id) { // Earlier requests fill the retry budget.
        const auto earlier
            = effectsOf<StartAttempt>(router.handle(RequestArrived{requestHead(id, keyed, "/status", "k")}, 2s));
        REQUIRE(earlier.size() == 1);
        router.handle(AttemptFinished{id, 1, AttemptEnd::Answered}, 2s);
    }
    const auto started
        = effectsOf<StartAttempt>(router.handle(RequestArrived{requestHead(1, keyed, each.path, "k")}, 3s));
    REQUIRE(started.size() == 1);
    auto effects = router.handle(AttemptFinished{1, started[0].attempt, each.end}, 3001ms);
    CHECK(effectsOf<FailRequest>(effects).size() == (each.failsImmediately ? 1U : 0U));
    if (!each.failsImmediately) {
        CHECK(effectsOf<StartAttempt>(router.handle(RouterTick{}, 3100ms)).size() == 1);
        // The second attempt ends the same way, and the deadline passes before a third.
        effects = router.handle(AttemptFinished{1, 2, each.end}, 3990ms);
        const auto late = router.handle(RouterTick{}, 4100ms);
        effects.insert(effects.end(), late.begin(), late.end());
    }
    const auto failures = effectsOf<FailRequest>(effects);
    REQUIRE(failures.size() == 1);
    CHECK(failures[0].notRun == each.notRun);
    CHECK(router.activeRequests() == 0);
}

TEST_CASE("A request rejected by a former owner is sent to the new owner once that is known")
{
    TestRouter router = readyRouter();
    const auto first
        = effectsOf<StartAttempt>(router.handle(RequestArrived{requestHead(1, keyed, "/subscribe", "k")}, 2s));
    REQUIRE(first.size() == 1);
    router.handle(AttemptFinished{1, 1, AttemptEnd::NotOwner}, 2001ms);
    const auto second = effectsOf<StartAttempt>(router.handle(OwnersChanged{keyed, allOwnedBy("b", 2)}, 2002ms));
    REQUIRE(second.size() == 1);
    CHECK(second[0].target == "b");
    CHECK(second[0].shard.epoch == 2);
}

TEST_CASE("After the loss of an owner, idempotent requests in flight are retried and non-idempotent ones are not")
{
    TestRouter router = readyRouter();
    REQUIRE(effectsOf<StartAttempt>(router.handle(RequestArrived{requestHead(1, keyed, "/status", "k")}, 2s)).size()
            == 1);
    REQUIRE(effectsOf<StartAttempt>(router.handle(RequestArrived{requestHead(2, keyed, "/status", "k")}, 2s)).size()
            == 1);
    router.handle(AttemptFinished{1, 1, AttemptEnd::Answered}, 2001ms);
    REQUIRE(
        effectsOf<StartAttempt>(router.handle(RequestArrived{requestHead(3, keyed, "/subscribe", "k")}, 2002ms)).size()
        == 1);
    Assignment next = allOwnedBy("b", 2);
    for (ShardOwner &owner : next.shards)
        owner = {"b", 2, "a", true};
    const auto effects = router.handle(OwnersChanged{keyed, next}, 2400ms);
    const auto started = effectsOf<StartAttempt>(effects);
    REQUIRE(started.size() == 1);
    CHECK(started[0].id == 2);
    CHECK(started[0].target == "b");
    CHECK(effectsOf<CancelAttempt>(effects).size() == 1);
    // The cancelled attempt's end frees its slot and changes nothing else.
    const auto late = router.handle(AttemptFinished{2, 1, AttemptEnd::AnswerLost}, 2401ms);
    CHECK(effectsOf<StartAttempt>(late).empty());
    CHECK(effectsOf<ForwardResponse>(late).empty());
    CHECK(effectsOf<FailRequest>(late).empty());
    CHECK(router.inFlightAt("a") == 1);
    CHECK(effectsOf<ForwardResponse>(router.handle(AttemptFinished{2, 2, AttemptEnd::Answered}, 2402ms)).size() == 1);
}

TEST_CASE("Queued requests are rerouted when their shards move")
{
    TestRouter router = readyRouter();
    for (RequestId id = 1; id <= 10; ++id)
        router.handle(RequestArrived{requestHead(id, keyed, "/subscribe", "k")}, 2s);
    CHECK(router.inFlightAt("a") == 6);
    const auto started = effectsOf<StartAttempt>(router.handle(OwnersChanged{keyed, allOwnedBy("b", 2)}, 2100ms));
    CHECK(started.size() == 4);
    for (const StartAttempt &start : started)
        CHECK(start.target == "b");
}

TEST_CASE("Requests to an unreachable owner wait for a new owner without using the retry budget")
{
    TestRouter router = readyRouter();
    for (RequestId id = 1; id <= 50; ++id)
        router.handle(RequestArrived{requestHead(id, keyed, "/subscribe", "k" + std::to_string(id))}, 2s);
    std::size_t failedCount = 0;
    std::map<RequestId, std::uint32_t> attempts;
    for (Time now = 2s; now < 2500ms; now += 1ms) {
        for (RequestId id = 1; id <= 50; ++id)
            failedCount += effectsOf<FailRequest>(
                               router.handle(AttemptFinished{id, ++attempts[id], AttemptEnd::NothingSent}, now))
                               .size();
        for (const StartAttempt &start : effectsOf<StartAttempt>(router.handle(RouterTick{}, now)))
            attempts[start.id] = start.attempt - 1;
    }
    CHECK(failedCount == 0);
}

TEST_CASE("A workspace that shuts down rejects new requests as not run and completes those in flight")
{
    TestRouter router = readyRouter();
    const auto started
        = effectsOf<StartAttempt>(router.handle(RequestArrived{requestHead(1, keyed, "/subscribe", "k")}, 2s));
    REQUIRE(started.size() == 1);
    router.handle(WorkspaceChanged{"kanalstivej", workspace(WorkspaceState::Shutdown)}, 2100ms);
    const auto failures
        = effectsOf<FailRequest>(router.handle(RequestArrived{requestHead(2, keyed, "/status", "k")}, 2101ms));
    REQUIRE(failures.size() == 1);
    CHECK(failures[0].notRun);
    CHECK(failures[0].error.code == ErrorCode::ShuttingDown);
    CHECK(effectsOf<ForwardResponse>(router.handle(AttemptFinished{1, 1, AttemptEnd::Answered}, 2200ms)).size() == 1);
}

TEST_CASE("A request rejected by its target during workspace shutdown fails immediately as not run")
{
    TestRouter router = readyRouter();
    REQUIRE(effectsOf<StartAttempt>(router.handle(RequestArrived{requestHead(1, keyed, "/subscribe", "k")}, 2s)).size()
            == 1);
    router.handle(WorkspaceChanged{"kanalstivej", workspace(WorkspaceState::Shutdown)}, 2100ms);
    const auto failures = effectsOf<FailRequest>(router.handle(AttemptFinished{1, 1, AttemptEnd::NotOwner}, 2101ms));
    REQUIRE(failures.size() == 1);
    CHECK(failures[0].notRun);
    CHECK(failures[0].error.code == ErrorCode::ShuttingDown);
}

TEST_CASE("A caller's disconnect releases the slot exactly once")
{
    TestRouter router = readyRouter();
    router.handle(RequestArrived{requestHead(1, keyed, "/status", "k")}, 2s);
    CHECK(router.inFlightAt("a") == 1);
    CHECK(effectsOf<CancelAttempt>(router.handle(CallerDisconnected{1}, 2001ms)).size() == 1);
    CHECK(router.inFlightAt("a") == 1);
    router.handle(AttemptFinished{1, 1, AttemptEnd::AnswerLost}, 2002ms);
    router.handle(AttemptFinished{1, 1, AttemptEnd::AnswerLost}, 2003ms);
    CHECK(router.inFlightAt("a") == 0);
    CHECK(router.activeRequests() == 0);
}

TEST_CASE(
    "Each request ends once, runs at most once unless idempotent, and is reported as not run only if it never ran")
{
    static std::uint64_t requests = 0;
    rc::prop("random attempt ends and owner changes", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        TestRouter router = readyRouter(seed);
        std::map<RequestId, int> runs;
        std::map<RequestId, int> ends;
        std::map<RequestId, bool> isNonIdempotent;
        std::map<RequestId, bool> wasPassed;
        std::vector<StartAttempt> openAttempts;
        Time now = 2s;
        const auto applyEffects = [&](const RequestRouter::Effects &effects) {
            for (const StartAttempt &start : effectsOf<StartAttempt>(effects))
                openAttempts.push_back(start);
            for (const ForwardResponse &response : effectsOf<ForwardResponse>(effects))
                ++ends[response.id];
            for (const FailRequest &failure : effectsOf<FailRequest>(effects)) {
                ++ends[failure.id];
                RC_ASSERT(!failure.notRun || runs[failure.id] == 0);
            }
        };
        constexpr RequestId count = 60;
        RequestId next = 1;
        for (int step = 0; step < 4000; ++step) {
            now += std::chrono::microseconds(random() % 3000);
            const auto choice = random() % 10;
            if (choice < 2 && next <= count) {
                const bool nonIdempotent = random() % 2 == 0;
                const bool isKeyed = random() % 2 == 0;
                isNonIdempotent[next] = nonIdempotent;
                ends[next] = 0;
                const std::string path = nonIdempotent ? (isKeyed ? "/subscribe" : "/report") : "/status";
                if (!isKeyed)
                    isNonIdempotent[next]
                        = true; // The rule of the unkeyed service and the default rule aren't idempotent.
                applyEffects(router.handle(
                    RequestArrived{requestHead(next, isKeyed ? keyed : unkeyed, path, "k" + std::to_string(next))},
                    now));
                ++next;
            } else if (choice < 6 && !openAttempts.empty()) {
                const std::size_t index = random() % openAttempts.size();
                const StartAttempt attempt = openAttempts[index];
                openAttempts.erase(openAttempts.begin() + static_cast<std::ptrdiff_t>(index));
                const auto end = static_cast<AttemptEnd>(random() % 8);
                const bool ran = !isCertainlyNotRun(end) && (end == AttemptEnd::Answered || random() % 2 == 0);
                runs[attempt.id] += ran ? 1 : 0;
                applyEffects(router.handle(AttemptFinished{attempt.id, attempt.attempt, end}, now));
            } else if (choice == 6) {
                applyEffects(router.handle(
                    OwnersChanged{keyed, allOwnedBy(random() % 2 == 0 ? "a" : "b", 2 + random() % 5)}, now));
            } else {
                applyEffects(router.handle(RouterTick{}, now));
            }
        }
        for (const StartAttempt &attempt : std::exchange(openAttempts, {}))
            applyEffects(router.handle(AttemptFinished{attempt.id, attempt.attempt, AttemptEnd::NothingSent}, now));
        applyEffects(router.handle(RouterTick{}, now + 60s));
        for (const StartAttempt &attempt : std::exchange(openAttempts, {}))
            applyEffects(
                router.handle(AttemptFinished{attempt.id, attempt.attempt, AttemptEnd::NothingSent}, now + 61s));
        applyEffects(router.handle(RouterTick{}, now + 120s));
        requests += next - 1;
        for (const auto &[id, times] : ends)
            RC_ASSERT(times == 1);
        for (const auto &[id, nonIdempotent] : isNonIdempotent)
            RC_ASSERT(!nonIdempotent || runs[id] <= 1);
        RC_ASSERT(router.activeRequests() == 0U);
        for (const char *target : {"a", "b", "c", "d"})
            RC_ASSERT(router.inFlightAt(target) == 0U);
    });
    std::cout << "router: " << requests << " requests\n";
}
