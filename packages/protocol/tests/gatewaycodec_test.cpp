#include <sardinehinge/protocol/gatewaycodec.h>

#include <catch2/catch.hpp>

#include <random>

using namespace sardinehinge;
using namespace std::chrono_literals;

namespace {

const std::vector<protocol::GatewayMessage> &messages()
{
    static const std::vector<protocol::GatewayMessage> all = {
        core::RangeOwners{
            "s", 3, 9, {{{0, 99}, "a", core::RangeState::Held}, {{100, core::lastKey}, "", core::RangeState::Moving}}},
        core::RangeOwnersChange{
            "s", 3, 2, 8, 9, {{{5, 6}, "a", core::RangeState::OwnerLost}, {{70, 80}, "b", core::RangeState::Held}}},
        core::ControllerHeartbeat{"s", "sender", 3, 9, 1500ms, true, core::Time(123456789), true, 6},
        core::ControllerHeartbeatAck{"s", {"sender", 42}, 3, core::Time(123456789), 6},
        core::ControllerResigned{"s", "sender", 2},
        protocol::OwnersWanted{"s"},
        protocol::LoadMessage{"s", {{1, 2}, {65535, 7}}, {{"a", 1.5}}},
        protocol::RefusedMessage{"s", "a", 65535},
        protocol::LeavingMessage{"s", {"a", 1ULL << 62}},
        protocol::Hello{"10.0.0.1:7620", true, 200},
        core::WatchNotice{"sender", {17, 30, 16, 5}, {29, 31, 0, 6}, 120ms},
        core::WatchNotice{
            "sender", {17, 30, 16, 5}, {29, 31, 0, 6}, 120ms, {19, 32, 0, 6}, std::vector<std::string>{"a", "b"}},
        core::WatchNotice{"sender", {17, 30, 16, 5}, {29, 31, 0, 6}, 120ms, {19, 32, 0, 6}, std::vector<std::string>()},
        protocol::TargetChanges{
            17,
            30,
            {{"a", core::RegisteredTarget{{"a", 1700000000000}, "s", "10.0.0.9:80", "d", 6, true, 2500ms, 41}},
             {"b", std::nullopt}},
            6},
        core::PermitRequest{"s", {"a", 1700000000000}, 12.5, 3, 160ms, 7},
        core::CrashReport{{1ULL << 63, 5}, {"a", 1700000000000}, 250ms, 40ms, 3},
        protocol::QuarantineMessage{{{{7, 8}, 1, 1200ms, 10min}, {{9, 1}, 2, 0ms, 1s}}},
        protocol::QuarantineDigest{~0ULL, true},
        core::PermitGrant{"s", {"a", 1700000000000}, 7, 2, -250ms, 80ms, 1500us},
    };
    return all;
}

} // namespace

TEST_CASE("Every gateway message survives encoding")
{
    for (const protocol::GatewayMessage &message : messages()) {
        INFO("message " << message.index());
        const protocol::GatewayDatagram datagram{{"sender", 42}, message};
        const auto decoded = protocol::decodeGateway(protocol::encode(datagram));
        REQUIRE(core::errorIn(decoded) == nullptr);
        CHECK((std::get<protocol::GatewayDatagram>(decoded) == datagram));
    }
}

TEST_CASE("Spoilt gateway datagrams are refused or decode to values in range, and never crash")
{
    std::mt19937 random(1);
    for (int round = 0; round < 5000; ++round) {
        const auto &message = messages()[random() % messages().size()];
        std::string bytes = protocol::encode({{"sender", 42}, message});
        bytes.resize(random() % (bytes.size() + 1));
        for (int spoilt = 0; spoilt < 3 && !bytes.empty(); ++spoilt)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        const auto decoded = protocol::decodeGateway(bytes);
        const auto *datagram = std::get_if<protocol::GatewayDatagram>(&decoded);
        if (datagram == nullptr)
            continue;
        if (const auto *owners = std::get_if<core::RangeOwners>(&datagram->message)) {
            for (const core::RoutedRange &range : owners->ranges)
                CHECK(range.range.first <= range.range.last);
        }
        if (const auto *request = std::get_if<core::PermitRequest>(&datagram->message)) {
            CHECK(request->rate >= 0);
            CHECK(request->maxWait >= 0ms);
        }
        if (const auto *grant = std::get_if<core::PermitGrant>(&datagram->message)) {
            CHECK(grant->interval >= 0ms);
            CHECK(grant->retryIn >= 0ms);
        }
    }
}
