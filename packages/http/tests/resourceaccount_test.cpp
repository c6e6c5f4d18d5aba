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
    auto share = account.open(HeldUse::ArrivingRequest, "10.0.0.1:4000", {});
    REQUIRE(share->resize(3 * mib, 0));
    CHECK(account.bytes(HeldUse::ArrivingRequest) == 3 * mib);
    share->setUse(HeldUse::RequestInWork);
    CHECK(account.bytes(HeldUse::ArrivingRequest) == 0);
    CHECK(account.bytes(HeldUse::RequestInWork) == 3 * mib);
    REQUIRE(share->resize(mib, 0));
    CHECK(account.bytes(HeldUse::RequestInWork) == mib);
    share.reset();
    CHECK(account.bytes(HeldUse::RequestInWork) == 0);
}

TEST_CASE("A share that is taken back is empty when its holder learns of it, and gets nothing more")
{
    ResourceAccount account({16 * mib, mib});
    std::vector<std::string> refused;
    account.onRefusal([&](HeldUse, const std::string &peer, std::uint64_t, std::uint64_t) { refused.push_back(peer); });
    std::uint64_t bytesThen = mib;
    auto slow = account.open(HeldUse::ArrivingRequest, "10.0.0.1:4000",
                             [&] { bytesThen = account.bytes(HeldUse::ArrivingRequest); });
    REQUIRE(slow->resize(10 * mib, 10 * mib));
    auto asker = account.open(HeldUse::ArrivingRequest, "10.0.0.2:4000", {});
    REQUIRE(asker->resize(8 * mib, 0));
    CHECK(bytesThen == 8 * mib);
    CHECK_FALSE(slow->resize(1, 0));
    CHECK(account.bytes(HeldUse::ArrivingRequest) == 8 * mib);
    CHECK(account.refusals(HeldUse::ArrivingRequest) == 1);
    CHECK(refused == std::vector<std::string>{"10.0.0.1"});
}

TEST_CASE("A share that finds no room keeps what it has")
{
    ResourceAccount account({16 * mib, mib});
    auto inWork = account.open(HeldUse::RequestInWork, "10.0.0.1:4000", {});
    REQUIRE(inWork->resize(14 * mib, 0));
    auto asker = account.open(HeldUse::ArrivingRequest, "10.0.0.2:4000", {});
    REQUIRE(asker->resize(mib, 0));
    CHECK_FALSE(asker->resize(2 * mib, 0));
    CHECK(account.bytes(HeldUse::ArrivingRequest) == mib);
    CHECK(account.refusals(HeldUse::ArrivingRequest) == 1);
}

TEST_CASE("Bytes that the process holds already are counted beyond the account")
{
    ResourceAccount account({16 * mib, mib});
    auto share = account.open(HeldUse::WaitingResponse, "10.0.0.1:4000", {});
    share->hold(20 * mib);
    CHECK(account.bytes(HeldUse::WaitingResponse) == 20 * mib);
}

TEST_CASE("A share may end another while it is taken back")
{
    ResourceAccount account({16 * mib, mib});
    auto one = account.open(HeldUse::ArrivingRequest, "a", {});
    auto other = account.open(HeldUse::ArrivingRequest, "a", [&] { one.reset(); });
    REQUIRE(one->resize(7 * mib, 1));
    REQUIRE(other->resize(7 * mib, 2));
    auto asker = account.open(HeldUse::ArrivingRequest, "b", {});
    CHECK(asker->resize(15 * mib, 0));
    CHECK(account.bytes(HeldUse::ArrivingRequest) == 15 * mib);
}
