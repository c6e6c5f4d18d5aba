#include <sardinehinge/protocol/peercodec.h>

#include <catch2/catch.hpp>

#include <random>

using namespace sardinehinge;
using namespace sardinehinge::core;

namespace {

protocol::Envelope envelopeWith(PeerMessage message)
{
    return {{"daemon-1", 17'000'000'000'001}, "daemon-2", {1'700'000'000'000'000, 3}, std::move(message)};
}

} // namespace

TEST_CASE("Every message survives encoding")
{
    const auto message = GENERATE(values<PeerMessage>({
        PromiseRequest{"w/s", 7, 6},
        PromiseReply{"w/s", 7, true, 7, 6},
        Heartbeat{"w/s", 7, 6, 123456789012345},
        HeartbeatAck{"w/s", 7, 6, -5},
        Piece{"workspaces/w", 12, 3000, 1100, std::string("\0\xff{}", 4)},
        Fetch{"workspaces/w", 12},
        Digest{0xffffffffffffffffULL, 400, true},
        DigestList{{{"workspaces/w", 12}, {"control/w/s", 13}}, true},
        RevisionQuery{"workspaces/w", 99},
        RevisionReply{"workspaces/w", 99, 12},
        SlotDemand{"target-1", 6, 2, {9, 1}, {8, 1}, {7, 0}},
        SlotGrant{"target-1", {9, 1}, true},
    }));
    const protocol::Envelope envelope = envelopeWith(message);
    const auto decoded = protocol::decode(protocol::encode(envelope));
    REQUIRE(errorIn(decoded) == nullptr);
    CHECK(std::get<protocol::Envelope>(decoded) == envelope);
}

TEST_CASE("A heartbeat fits into 100 bytes")
{
    // The budget for control is 15 KB/s a node; heartbeats are its most frequent messages.
    const Heartbeat heartbeat{"kanalstivej/report-status", 1000, 999, 1'000'000'000'000'000};
    CHECK(protocol::encode(envelopeWith(heartbeat)).size() <= 100);
}

TEST_CASE("Datagrams that are cut short or damaged give an error and never more")
{
    const std::string whole = protocol::encode(envelopeWith(DigestList{{{"a", 1}, {"b", 2}}, false}));
    for (std::size_t length = 0; length + 1 < whole.size(); ++length)
        CHECK(errorIn(protocol::decode(whole.substr(0, length))) != nullptr);
    std::mt19937 random(1);
    for (int round = 0; round < 20'000; ++round) {
        std::string damaged = whole;
        for (int change = 0; change < 3; ++change)
            damaged[random() % damaged.size()] = static_cast<char>(random());
        const auto decoded = protocol::decode(damaged);
        if (const Error *error = errorIn(decoded))
            CHECK(error->step == "decode");
    }
}
