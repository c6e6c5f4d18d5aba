#include <sardinehinge/core/rangecontrol.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace sardinehinge::core;

namespace {

/// Time until a daemon that receives no heartbeats reads the record in order to claim control.
Duration claimDelay(const std::string &self, std::uint32_t linkMbps, const std::vector<PeerDaemon> &peers)
{
    const Time start = 100s;
    RangeControl control("service", {self, 1}, start);
    control.handle(ControlPeers{peers, linkMbps}, start);
    for (Time now = start; now < start + 20s; now += 10ms) {
        const auto effects = control.handle(ControlTick{}, now);
        const bool reads = std::any_of(effects.begin(), effects.end(), [](const ControlEffect &effect) {
            return std::holds_alternative<ReadOwnership>(effect);
        });
        if (reads)
            return now - start;
    }
    return 20s;
}

} // namespace

TEST_CASE("Daemons with the most link bandwidth claim control first")
{
    std::vector<PeerDaemon> peers;
    for (std::uint32_t index = 0; index < 40; ++index)
        peers.push_back({"daemon" + std::to_string(index), 1, "peer", index < 3 ? 200U : 10U});
    const OwnershipTiming timing;
    // The order among daemons of equal bandwidth depends on the service, so only the bounds of the rank are known.
    const auto [linkMbps, earliestRank, latestRank] = GENERATE(table<std::uint32_t, int, int>({
        {1000, 0, 0}, {200, 0, 3}, {10, 3, 40}, {0, 40, 40}, // Unknown bandwidth ranks last.
    }));
    const Duration delay = claimDelay("self", linkMbps, peers);
    CHECK(delay >= timing.controllerTimeout + earliestRank * timing.claimDelayPerRank);
    CHECK(delay <= timing.controllerTimeout + latestRank * timing.claimDelayPerRank + 20ms);
}
