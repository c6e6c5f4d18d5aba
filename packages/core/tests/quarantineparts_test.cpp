#include <sardinehinge/core/quarantine.h>

#include <catch2/catch.hpp>

using namespace sardinehinge::core;

TEST_CASE("Only the end of its process makes a target's requests suspects, and an answer ends that")
{
    const RequestFingerprint request{1, 1};
    const TargetIdentity target{"t", 1};
    CrashSuspects suspects;
    CHECK(suspects.lost(request, target, 10s, 11s));
    CHECK_FALSE(suspects.lost({2, 2}, target, 10s, 11s)); // It is being probed already.
    CHECK(suspects.lost({3, 3}, {"u", 1}, 10s, 11s));
    CHECK_FALSE(suspects.lost({}, target, 10s, 11s));
    CHECK(suspects.isSuspect(request, 11s));
    SECTION("the target ended")
    {
        CHECK(suspects.targetEnded(target, LifeEnd::Vanished, 12s)
              == std::vector<CrashReport>{{request, target, 2s, 1s}, {{2, 2}, target, 2s, 1s}});
        CHECK(suspects.targetEnded(target, LifeEnd::Vanished, 12s).empty());
    }
    SECTION("it ended long after")
    {
        CHECK(suspects.targetEnded(target, LifeEnd::Vanished, 11s + CrashSuspects::evidenceTime + 1ms).empty());
    }
    SECTION("another incarnation ended")
    {
        CHECK(suspects.targetEnded({"t", 2}, LifeEnd::Vanished, 12s).empty());
    }
    SECTION("the request was answered")
    {
        suspects.answered(request, 12s);
        CHECK_FALSE(suspects.isSuspect(request, 12s));
        CHECK(suspects.wasAnsweredSince(request, 12s));
        CHECK_FALSE(suspects.wasAnsweredSince(request, 12s + 1ms));
        CHECK(suspects.targetEnded(target, LifeEnd::Vanished, 12s).size() == 1);
    }
    SECTION("a flood of others")
    {
        for (std::uint64_t index = 0; index < 10'000; ++index) {
            suspects.lost({index + 10, 1}, target, 11s, 12s);
            suspects.answered({index + 20'000, 1}, 12s);
        }
        CHECK(suspects.targetEnded(target, LifeEnd::Vanished, 12s).size() <= CrashSuspects::maxLosses);
        CHECK_FALSE(suspects.wasAnsweredSince({20'000, 1}, 0ms));
        CHECK(suspects.wasAnsweredSince({29'999, 1}, 0ms));
    }
}

TEST_CASE("A target counts once for a request, and crashes at the same time are weaker evidence")
{
    const RequestFingerprint request{1, 1};
    CrashCounter counter;
    const Time now = 100s;
    CHECK(counter.add({request, {"a", 1}, 3s, 2900ms}, "d", now) == 1);
    CHECK(counter.add({request, {"a", 1}, 3s, 2800ms}, "d", now) == 1);
    CHECK(counter.add({request, {"a", 2}, 2s, 1900ms}, "d", now) == 2);
    CHECK_FALSE(counter.quarantine(request, now));
    SECTION("successive")
    {
        CHECK(counter.add({request, {"b", 1}, 1s, 900ms}, "d", now) == 3);
        CHECK(counter.quarantine(request, now) == Quarantine{request, 1, 2900ms, quarantineTime});
    }
    SECTION("concurrent")
    {
        CHECK(counter.add({request, {"b", 1}, 1950ms, 1850ms}, "d", now) == 3);
        CHECK(counter.quarantine(request, now)->evidenceAge == 2900ms + CrashCounter::answerTimeBeforeCrashes);
    }
    SECTION("long after")
    {
        CHECK(counter.add({request, {"b", 1}, 1s, 900ms}, "d", now + CrashCounter::memory) == 1);
    }
    SECTION("refuted")
    {
        CHECK(counter.add({request, {"b", 1}, 1s, 900ms}, "d", now) == 3);
        counter.forget(request);
        CHECK(counter.add({request, {"b", 1}, 1s, 900ms}, "d", now) == 1);
    }
    SECTION("copies")
    {
        counter.add({request, {"a", 2}, 2s, 1900ms, 7}, "d", now); // Doubled on the way.
        CHECK_FALSE(counter.quarantine(request, now));
        counter.add({request, {"a", 2}, 2s, 1900ms}, "e", now);
        CHECK(counter.quarantine(request, now)
              == Quarantine{request, 1, 2900ms + CrashCounter::answerTimeBeforeCrashes, quarantineTimeByWeakEvidence});
        counter.forget(request);
        CHECK_FALSE(counter.quarantine(request, now));
        CHECK(counter.add({request, {"b", 1}, 1s, 900ms}, "d", now) == 3);
        CHECK(counter.quarantine(request, now)->timeLeft == quarantineTime);
    }
    SECTION("a flood of others")
    {
        for (std::uint64_t index = 0; index < 2 * CrashCounter::maxRequests; ++index)
            counter.add({{2, index}, {"b", 1}, 1s, 900ms}, "d", now);
        CHECK(counter.add({request, {"b", 1}, 1s, 900ms}, "d", now) == 1);
    }
}

TEST_CASE("Quarantine lists are equal in the end, whatever the order of messages, and bounded")
{
    const RequestFingerprint request{1, 1};
    const Quarantine begun{request, 1, 1s, 600s};
    QuarantineList list;
    CHECK(list.digest(10s) == 0);
    CHECK(list.merge(begun, 10s));
    CHECK_FALSE(list.merge(begun, 11s));
    CHECK(list.inForce() == 1);
    const auto lifted = list.lifted(request, 12s);
    REQUIRE(lifted);
    CHECK_FALSE(lifted->isInForce());
    QuarantineList other;
    CHECK(other.merge(*lifted, 12s));
    CHECK_FALSE(other.merge(begun, 12s));
    CHECK(other.digest(12s) != list.digest(12s));
    CHECK(list.merge(*lifted, 12s));
    CHECK(other.digest(12s) == list.digest(12s));
    CHECK(list.inForce() == 0);
    CHECK_FALSE(list.lifted(request, 12s));
    CHECK(list.nextGeneration(request) == 3);
    CHECK(list.merge({request, 3, 1s, 5s}, 13s));
    CHECK(list.expire(17s).empty());
    CHECK(list.expire(18s) == std::vector{request});
    CHECK_FALSE(list.merge({request, 5, 1s, 0s}, 13s));
    for (std::uint64_t index = 1; index < 3 * QuarantineList::maxRequests; ++index)
        list.merge({{2, index}, 1, 1s, 600s}, 20s);
    CHECK(list.all(20s).size() == QuarantineList::maxRequests);
}
