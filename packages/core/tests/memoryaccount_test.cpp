#include <sardinehinge/core/admission/linebudget.h>
#include <sardinehinge/core/admission/memoryaccount.h>
#include <sardinehinge/core/admission/progress.h>
#include <sardinehinge/core/admission/waitingconnection.h>

#include <catch2/catch.hpp>

using namespace sardinehinge::core;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kib = 1024;
constexpr std::uint64_t mib = 1024 * kib;
constexpr std::uint64_t asker = 9;

HeldBytes arriving(std::uint64_t holder, std::uint64_t bytes, const std::string &peer = "a", Duration stalledFor = {},
                   std::uint64_t missing = mib, double rate = 1e6)
{
    return {holder, HeldUse::ArrivingRequest, bytes, peer, missing, rate, stalledFor};
}

HeldBytes other(HeldUse use, std::uint64_t holder, std::uint64_t bytes, Duration stalledFor = {})
{
    return {holder, use, bytes, "a", 0, 1e6, stalledFor};
}

} // namespace

TEST_CASE("Room in the account is made at the cost of the unfinished, the slow and the large")
{
    struct Case
    {
        const char *name;
        std::vector<HeldBytes> held;
        std::uint64_t bytes = 0; ///< That the asker wants.
        RoomDecision decision;
    };
    const AccountLimits limits{16 * mib, mib};
    const auto [name, held, bytes, decision] = GENERATE_REF(values<Case>({
        {"all fits", {arriving(1, 7 * mib), arriving(asker, 7 * mib)}, 8 * mib, {true, {}}},
        {"one alone may have all but what is kept for small ones", {arriving(asker, 14 * mib)}, 15 * mib, {true, {}}},
        {"no large one gets what is kept for small ones", {arriving(asker, 14 * mib)}, 15 * mib + 1, {}},
        {"a small one gets it", {other(HeldUse::RequestInWork, 1, 15 * mib), arriving(asker, 0)}, 64 * kib, {true, {}}},
        {"requests in work are never closed",
         {other(HeldUse::RequestInWork, 1, 16 * mib), arriving(asker, 0)},
         kib,
         {}},
        {"a stalled one is closed before one that progresses",
         {arriving(1, 8 * mib), arriving(2, 6 * mib, "a", 2s), arriving(asker, mib)},
         2 * mib,
         {true, {2}}},
        {"the one that needs longest is closed first",
         {arriving(1, 7 * mib, "a", 0s, mib, 1e6), arriving(2, 7 * mib, "a", 0s, mib, 1e5), arriving(asker, mib)},
         2 * mib,
         {true, {2}}},
        {"the address that holds most is closed first",
         {arriving(1, 4 * mib, "b", 2s), arriving(2, 5 * mib), arriving(3, 5 * mib), arriving(asker, mib, "c")},
         2 * mib,
         {true, {2}}},
        {"as many are closed as are needed",
         {arriving(1, 3 * mib, "a", 2s), arriving(2, 2 * mib, "a", 2s), arriving(3, 10 * mib), arriving(asker, 0)},
         4 * mib,
         {true, {1, 2}}},
        {"large ones are closed before small ones",
         {arriving(1, 15 * mib + 900 * kib), arriving(2, 64 * kib, "a", 5s), arriving(asker, 32 * kib)},
         64 * kib,
         {true, {1}}},
        {"the asker is refused when it is its turn",
         {arriving(1, 8 * mib, "a", 0s, mib, 1e6), arriving(asker, 6 * mib, "a", 0s, 4 * mib, 1e6)},
         8 * mib,
         {}},
        {"a request gets no room from responses that are being read",
         {other(HeldUse::WaitingResponse, 1, 16 * mib), arriving(asker, 0)},
         kib,
         {}},
        {"a response gets room from unfinished requests",
         {arriving(1, 4 * mib), other(HeldUse::WaitingResponse, 2, 10 * mib, 9s),
          other(HeldUse::ArrivingResponse, asker, mib)},
         4 * mib,
         {true, {1}}},
        {"a response gets room from responses that nobody reads, the largest first",
         {other(HeldUse::WaitingResponse, 1, 5 * mib, 9s), other(HeldUse::WaitingResponse, 2, 8 * mib, 9s),
          other(HeldUse::ArrivingResponse, asker, mib)},
         4 * mib,
         {true, {2}}},
        {"of arriving responses the largest is closed",
         {other(HeldUse::ArrivingResponse, 1, 14 * mib), other(HeldUse::ArrivingResponse, asker, mib)},
         2 * mib,
         {true, {1}}},
        {"that may be the asker",
         {other(HeldUse::ArrivingResponse, 1, 7 * mib), other(HeldUse::ArrivingResponse, asker, 8 * mib)},
         9 * mib,
         {}},
    }));
    INFO(name);
    CHECK(makeRoom(limits, held, asker, bytes) == decision);
}

TEST_CASE("The account follows from the memory of the process")
{
    const auto [memory, bytes] = GENERATE(table<std::uint64_t, std::uint64_t>({
        {16 * mib, 4 * mib},
        {64 * mib, 16 * mib},
        {120 * mib, 65 * mib},
        {260 * mib, 260 * mib - 40 * mib - 260 * mib / 8},
        {512 * mib, 408 * mib},
    }));
    CHECK(accountLimitsFor(memory).bytes == bytes);
    CHECK(accountLimitsFor(memory).keptForSmall <= mib);
}

TEST_CASE("A new connection takes the place of the longest idle or slowest one")
{
    struct Case
    {
        std::vector<WaitingConnection> waiting;
        std::optional<std::uint64_t> closed;
    };
    const auto [waiting, closed] = GENERATE(values<Case>({
        {{}, std::nullopt},
        {{{1, true, 2s, 0}, {2, true, 3s, 0}, {3, false, 9s, 0}}, 2},
        {{{1, false, 9s, 100}, {2, false, 1s, 10}, {3, false, 5s, 1000}}, 2},
        {{{1, false, 1s, 0}, {2, false, 3s, 0}}, 2},
    }));
    CHECK(connectionToClose(waiting) == closed);
}

TEST_CASE("A request must progress at the least rate, however long it takes")
{
    const ProgressRule rule{10s, 512};
    CHECK(rule.isEnough(5120));
    CHECK_FALSE(rule.isEnough(5119));
}

TEST_CASE("Beyond its budget of lines a second, events are counted for the next line")
{
    LineBudget budget(2);
    CHECK(budget.take(10s) == 0U);
    CHECK(budget.take(10s) == 0U);
    CHECK(budget.take(10s + 500ms) == std::nullopt);
    CHECK(budget.take(10s + 999ms) == std::nullopt);
    CHECK(budget.take(11s) == 2U);
    CHECK(budget.take(11s) == 0U);
}

TEST_CASE("The rate of a transfer is that of its last seconds")
{
    ProgressMeter meter(10s);
    meter.note(1000, 10s + 100ms);
    CHECK(meter.bytesPerSecond(10s + 200ms) == Approx(1000));
    meter.note(10, 11s + 100ms);
    CHECK(meter.bytesPerSecond(11s + 200ms) == Approx(1000.0 / 1.1));
    CHECK(meter.bytesPerSecond(21s + 100ms) == Approx(1));
    CHECK(meter.stalledFor(13s + 100ms) == 2s);
}
