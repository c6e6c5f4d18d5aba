#include <sardinehinge/http/resourceaccount.h>

#include <catch2/catch.hpp>

using namespace sardinehinge;
using core::HeldUse;
using http::ResourceAccount;

namespace {

constexpr std::uint64_t mib = 1024ULL * 1024;

} // namespace

TEST_CASE("An account counts by use, and gives back what a share had at its end")
{
    ResourceAccount account({16 * mib, mib});
    {
        auto share = account.open(HeldUse::ArrivingRequest, "10.0.0.1:4000", {});
        REQUIRE(share.resize(3 * mib));
        CHECK(account.bytes(HeldUse::ArrivingRequest) == 3 * mib);
        share.setUse(HeldUse::RequestInWork);
        CHECK(account.bytes(HeldUse::ArrivingRequest) == 0);
        CHECK(account.bytes(HeldUse::RequestInWork) == 3 * mib);
        auto moved = std::move(share);
        CHECK(moved.bytes() == 3 * mib);
        REQUIRE(moved.resize(mib));
        CHECK(account.bytes(HeldUse::RequestInWork) == mib);
    }
    CHECK(account.bytes(HeldUse::RequestInWork) == 0);
}

TEST_CASE("A share without an account may have any number of bytes")
{
    ResourceAccount::Share share;
    CHECK(share.resize(1ULL << 60U));
    CHECK(share.bytes() == 0);
}

TEST_CASE("A share that is taken back is empty when its holder learns of it, and gets nothing more")
{
    ResourceAccount account({16 * mib, mib});
    std::uint64_t bytesThen = mib;
    ResourceAccount::Share slow;
    slow = account.open(HeldUse::ArrivingRequest, "10.0.0.1:4000", [&] { bytesThen = slow.bytes(); });
    REQUIRE(slow.resize(10 * mib, 10 * mib));
    auto asker = account.open(HeldUse::ArrivingRequest, "10.0.0.2:4000", {});
    REQUIRE(asker.resize(8 * mib));
    CHECK(bytesThen == 0);
    CHECK_FALSE(slow.resize(1));
    CHECK(account.bytes(HeldUse::ArrivingRequest) == 8 * mib);
    CHECK(account.refusals(HeldUse::ArrivingRequest) == 1);
}

TEST_CASE("A share that finds no room keeps what it has")
{
    ResourceAccount account({16 * mib, mib});
    auto inWork = account.open(HeldUse::RequestInWork, "10.0.0.1:4000", {});
    REQUIRE(inWork.resize(14 * mib));
    auto asker = account.open(HeldUse::ArrivingRequest, "10.0.0.2:4000", {});
    REQUIRE(asker.resize(mib));
    CHECK_FALSE(asker.resize(2 * mib));
    CHECK(asker.bytes() == mib);
    CHECK(account.refusals(HeldUse::ArrivingRequest) == 1);
}

TEST_CASE("A share may end another's while that is taken back")
{
    ResourceAccount account({16 * mib, mib});
    auto one = account.open(HeldUse::ArrivingRequest, "a", {});
    auto other = account.open(HeldUse::ArrivingRequest, "a", [&] { one.reset(); });
    REQUIRE(one.resize(7 * mib, 1));
    REQUIRE(other.resize(7 * mib, 2));
    auto asker = account.open(HeldUse::ArrivingRequest, "b", {});
    CHECK(asker.resize(15 * mib));
    CHECK(account.bytes(HeldUse::ArrivingRequest) == 15 * mib);
}
