#include <sardinehinge/core/rangecontrol.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <set>
#include <variant>

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

TEST_CASE("A read that the store answered before the controller's latest write changes nothing")
{
    const bool isOwnRecord = GENERATE(true, false);
    RangeControl control("service", {"self", 1}, 100s);
    RegisteredTarget target;
    target.identity = {"target", 1};
    target.service = "service";
    target.address = "target";
    target.slots = 6;
    Time now = 100s;
    std::uint64_t revision = 100;
    OwnershipRecord claimed;
    std::uint64_t expectedRevision = 0;
    // Answers every write at once, and every read until the keys are assigned.
    const auto advance = [&](const ControlEvent &event) {
        std::vector<ControlEvent> events{event};
        while (!events.empty()) {
            const auto effects = control.handle(events.front(), now);
            events.erase(events.begin());
            for (const ControlEffect &effect : effects) {
                if (const auto *write = std::get_if<WriteOwnership>(&effect)) {
                    if (claimed.term == 0)
                        claimed = write->record;
                    expectedRevision = write->expectedRevision;
                    events.emplace_back(OwnershipWritten{++revision, now, 0, write->write});
                } else if (std::holds_alternative<ReadOwnership>(effect) && revision == 100) {
                    events.emplace_back(OwnershipRead{std::nullopt, 0, now});
                }
            }
        }
    };
    advance(ControlTargets{{target}});
    for (; revision < 102 && now < 120s; now += 50ms)
        advance(ControlTick{});
    REQUIRE(control.isController());
    REQUIRE(revision == 102);
    OwnershipRecord older = claimed;
    if (!isOwnRecord)
        older.controller = "former";
    advance(OwnershipRead{older, 101, now - 100ms});
    CHECK(control.isController());
    advance(ControlPeers{{{"peer", 1, "peer", 0}}, 0}); // One more voter, so the record is written again.
    for (const Time end = now + 5s; revision < 103 && now < end; now += 50ms)
        advance(ControlTick{});
    CHECK(revision == 103);
    CHECK(expectedRevision == 102);
}

TEST_CASE("A claim that the store answers in another era than it was made for confers no control")
{
    RangeControl control("service", {"self", 1}, 100s);
    control.handle(StoreEraSeen{1}, 100s);
    Time now = 100s;
    const auto claim = [&](StoreEra readEra, StoreEra answerEra) {
        for (const Time end = now + 10s; now < end; now += 50ms) {
            for (const ControlEffect &effect : control.handle(ControlTick{}, now)) {
                if (!std::holds_alternative<ReadOwnership>(effect))
                    continue;
                for (const ControlEffect &next : control.handle(OwnershipRead{std::nullopt, 0, now, readEra}, now)) {
                    if (const auto *write = std::get_if<WriteOwnership>(&next)) {
                        control.handle(OwnershipWritten{7, now, answerEra, write->write}, now);
                        return;
                    }
                }
            }
        }
    };
    const auto [readEra, answerEra, isController]
        = GENERATE(table<StoreEra, StoreEra, bool>({{1, 1, true}, {1, 2, false}, {2, 2, true}, {2, 1, false}}));
    claim(readEra, answerEra);
    CHECK(control.isController() == isController);
}

TEST_CASE("A controller that steps down in a new era sends no heartbeat and writes nothing any more")
{
    RangeControl control("service", {"self", 1}, 100s);
    RegisteredTarget target;
    target.identity = {"target", 1};
    target.service = "service";
    target.address = "target";
    target.slots = 6;
    Time now = 100s;
    StoreEra era = 1;
    std::optional<OwnershipRecord> record;
    std::uint64_t revision = 0;
    bool hasSteppedDown = false;
    bool wasActive = false;
    // Answers every call to the store and every order at once. The peer, a voter, is silent.
    const auto advance = [&](const ControlEvent &event) {
        std::vector<ControlEvent> events{event};
        while (!events.empty()) {
            const bool wasController = control.isController();
            const auto effects = control.handle(events.front(), now);
            events.erase(events.begin());
            hasSteppedDown = hasSteppedDown || (wasController && !control.isController());
            for (const ControlEffect &effect : effects) {
                const auto *write = std::get_if<WriteOwnership>(&effect);
                wasActive = wasActive
                    || (hasSteppedDown && (write != nullptr || std::holds_alternative<SendHeartbeat>(effect)));
                if (write != nullptr) {
                    record = write->record;
                    events.emplace_back(OwnershipWritten{++revision, now, era, write->write});
                } else if (std::holds_alternative<ReadOwnership>(effect)) {
                    events.emplace_back(OwnershipRead{record, revision, now, era});
                } else if (const auto *connect = std::get_if<ConnectTarget>(&effect)) {
                    events.emplace_back(TargetConnected{connect->address, true});
                } else if (const auto *order = std::get_if<RangeOrder>(&effect)) {
                    events.emplace_back(OrderEnded{order->order, OrderEndKind::Accepted, {}});
                }
            }
        }
    };
    advance(StoreEraSeen{era});
    advance(ControlPeers{{{"peer", 1, "peer", 0}}, 0});
    advance(ControlTargets{{target}});
    for (; (!record || record->ranges.empty()) && now < 120s; now += 50ms)
        advance(ControlTick{});
    REQUIRE(control.isController());
    advance(StoreEraSeen{++era});
    for (const Time end = now + 3s; !hasSteppedDown && now < end; now += 50ms)
        advance(ControlTick{});
    CHECK(hasSteppedDown);
    CHECK_FALSE(wasActive);
}

TEST_CASE("A late response to a write that a read has shown isn't taken for the response to the next write")
{
    RangeControl control("service", {"self", 1}, 100s);
    Time now = 100s;
    std::uint64_t revision = 0;
    std::optional<OwnershipRecord> record;
    std::vector<WriteOwnership> unanswered;
    std::set<std::string> connected;
    bool answersWrites = true;
    const auto advance = [&](const ControlEvent &event) {
        std::vector<ControlEvent> events{event};
        while (!events.empty()) {
            const auto effects = control.handle(events.front(), now);
            events.erase(events.begin());
            for (const ControlEffect &effect : effects) {
                if (const auto *write = std::get_if<WriteOwnership>(&effect)) {
                    if (answersWrites) {
                        record = write->record;
                        events.emplace_back(OwnershipWritten{++revision, now, 0, write->write});
                    } else {
                        unanswered.push_back(*write);
                    }
                } else if (std::holds_alternative<ReadOwnership>(effect)) {
                    events.emplace_back(OwnershipRead{record, revision, now});
                } else if (const auto *connect = std::get_if<ConnectTarget>(&effect)) {
                    connected.insert(connect->address);
                    events.emplace_back(TargetConnected{connect->address, true});
                } else if (const auto *order = std::get_if<RangeOrder>(&effect)) {
                    events.emplace_back(OrderEnded{order->order, OrderEndKind::Accepted, "token"});
                }
            }
        }
    };
    const auto targetNamed = [](const std::string &id, bool isDraining) {
        RegisteredTarget target;
        target.identity = {id, 1};
        target.service = "service";
        target.address = id;
        target.slots = 6;
        target.isDraining = isDraining;
        return target;
    };
    const auto tickUntil = [&](const std::function<bool()> &condition) {
        for (const Time end = now + 20s; !condition() && now < end; now += 50ms)
            advance(ControlTick{});
        REQUIRE(condition());
    };
    advance(ControlTargets{{targetNamed("first", false)}});
    tickUntil([&] { return connected.contains("first"); });
    answersWrites = false;
    advance(ControlTargets{{targetNamed("first", true), targetNamed("second", false)}});
    tickUntil([&] { return unanswered.size() == 1; });
    // The write has taken effect; a read shows it before its response comes.
    record = unanswered.front().record;
    ++revision;
    tickUntil([&] { return connected.contains("second"); });
    advance(ControlTargets{{targetNamed("second", true), targetNamed("third", false)}});
    tickUntil([&] { return unanswered.size() == 2; });
    advance(OwnershipWritten{revision, now, 0, unanswered.front().write});
    advance(ControlTick{});
    CHECK_FALSE(connected.contains("third"));
    advance(OwnershipWritten{revision + 1, now, 0, unanswered.back().write});
    CHECK(connected.contains("third"));
}
