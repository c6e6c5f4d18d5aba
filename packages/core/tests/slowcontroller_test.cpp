#include <sardinehinge/core/eventnumbers.h>
#include <sardinehinge/core/rangecontrol.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <utility>

using namespace sardinehinge::core;
using namespace std::chrono_literals;

namespace {

/// A controller that needs time for each event, beside targets and a store that respond promptly.
class SlowController
{
public:
    /// `checkCost`: of each range that an event makes the controller check.
    SlowController(std::size_t daemons, std::size_t targets, Duration eventCost, Duration checkCost = 0ms)
        : m_eventCost(eventCost)
        , m_checkCost(checkCost)
    {
        ControlPeers peers{{}, 200};
        for (std::size_t index = 1; index < daemons; ++index)
            peers.peers.push_back({"daemon-" + std::to_string(index), index + 1, "10.0.0.1:7640", 20});
        ControlTargets known;
        for (std::size_t index = 0; index < targets; ++index) {
            RegisteredTarget target;
            target.identity = {"target-" + std::to_string(index), 1};
            target.address = "10.1.0.1:" + std::to_string(index);
            target.slots = 6;
            known.targets.push_back(target);
        }
        arrive(now, known);
        arrive(now, peers);
        arrive(now, ControlTick{});
        // Reports of the load come from each daemon, spread over their period.
        for (std::size_t index = 1; index < daemons; ++index)
            arrive(now + loadPeriod * static_cast<Duration::rep>(index) / static_cast<Duration::rep>(daemons),
                   KeyLoadReport{{{static_cast<std::uint32_t>(index), 1}}, {}});
    }

    void run(Duration span)
    {
        for (const Time end = now + span; now < end && !m_arrivals.empty();) {
            const auto first = m_arrivals.begin();
            const ControlEvent event = first->second;
            now = std::max(now, first->first);
            m_longestWait = std::max(m_longestWait, now - first->first);
            m_arrivals.erase(first);
            ++m_events;
            repeat(event);
            const RangeControl::Effects effects = m_control.handle(event, now);
            now += m_eventCost + m_checkCost * static_cast<Duration::rep>(takeNewChecks());
            for (const ControlEffect &effect : effects)
                std::visit([this](const auto &concrete) { act(concrete); }, effect);
        }
    }

    std::size_t rangesNotHeld() const
    {
        const RangeOwners owners = m_control.owners();
        return static_cast<std::size_t>(
            std::count_if(owners.ranges.begin(), owners.ranges.end(),
                          [](const RoutedRange &range) { return range.state != RangeState::Held; }));
    }
    bool isAnyRangeHeld() const { return rangesNotHeld() < m_control.owners().ranges.size(); }

    /// The time that the oldest event which has arrived had to wait, at worst since the last call.
    Duration takeLongestWait() { return std::exchange(m_longestWait, 0ms); }
    /// Checks of single ranges since the last call.
    std::size_t takeChecks() { return std::exchange(m_checks, 0); }
    std::size_t takeEvents() { return std::exchange(m_events, 0); }

    std::size_t targetsTakenForLost = 0;
    Time now = 100s;

private:
    static constexpr Duration tickPeriod = std::chrono::milliseconds(50);
    static constexpr Duration loadPeriod = std::chrono::milliseconds(500);
    static constexpr Duration connectTime = std::chrono::milliseconds(5);
    static constexpr Duration orderTime = std::chrono::milliseconds(20);
    static constexpr Duration storeTime = std::chrono::milliseconds(10);

    void arrive(Time at, ControlEvent event) { m_arrivals.emplace(at, std::move(event)); }

    void repeat(const ControlEvent &event)
    {
        if (std::holds_alternative<ControlTick>(event))
            arrive(now + tickPeriod, event);
        else if (std::holds_alternative<KeyLoadReport>(event))
            arrive(now + loadPeriod, event);
    }

    void act(const ReadOwnership &) { arrive(now + storeTime, OwnershipRead{m_record, m_revision, now, 0}); }
    void act(const WriteOwnership &effect)
    {
        m_record = effect.record;
        arrive(now + storeTime, OwnershipWritten{++m_revision, now, 0, effect.write});
    }
    void act(const ConnectTarget &effect) { arrive(now + connectTime, TargetConnected{effect.address, true}); }
    void act(const RangeOrder &effect)
    {
        arrive(now + orderTime, OrderEnded{effect.order, OrderEndKind::Accepted, {}});
    }
    void act(const SendHeartbeat &effect)
    {
        for (const std::string &daemon : effect.acknowledgers) {
            const auto number = static_cast<std::uint64_t>(std::stoul(daemon.substr(daemon.find('-') + 1)));
            if (number != 0)
                arrive(now + connectTime,
                       ControllerHeartbeatAck{
                           {}, {daemon, number + 1}, effect.heartbeat.term, effect.heartbeat.sentAt, 0});
        }
    }
    void act(const ControlLogEntry &entry) { targetsTakenForLost += entry.event == events::rangeLeaseExpiring ? 1 : 0; }
    template<typename Effect>
    void act(const Effect &)
    {
    }

    std::size_t takeNewChecks()
    {
        const std::size_t checks = m_control.takeWork().rangeChecks;
        m_checks += checks;
        return checks;
    }

    Duration m_eventCost;
    Duration m_checkCost;
    Duration m_longestWait = 0ms;
    std::size_t m_checks = 0;
    std::size_t m_events = 0;
    RangeControl m_control{"service", {"daemon-0", 1}, now};
    std::multimap<Time, ControlEvent> m_arrivals;
    std::optional<OwnershipRecord> m_record;
    std::uint64_t m_revision = 0;
};

struct Load
{
    std::size_t daemons;
    std::size_t targets;
    std::chrono::microseconds eventCost;
};

} // namespace

TEST_CASE("A controller short of processor time takes no target for lost that responds")
{
    // In each row it has time for all events.
    const auto load = GENERATE(values<Load>({
        {11, 38, 300us},
        {11, 38, 3000us},
        {90, 224, 300us},
        {90, 224, 1000us},
        {90, 224, 2000us},
        {295, 504, 100us},
        {295, 504, 300us},
        {295, 504, 600us},
        {295, 504, 1000us},
    }));
    CAPTURE(load.daemons, load.targets, load.eventCost.count());
    SlowController controller(load.daemons, load.targets, load.eventCost);
    controller.run(20s);
    CHECK(controller.targetsTakenForLost == 0);
    constexpr std::size_t mostMovingRanges = 12;
    CHECK(controller.isAnyRangeHeld());
    CHECK(controller.rangesNotHeld() <= mostMovingRanges);
}

TEST_CASE("A configuration waits briefly behind the events of a controller in its thread")
{
    struct Row
    {
        std::size_t daemons;
        std::size_t targets;
        std::chrono::microseconds eventCost;
        std::chrono::microseconds checkCost;
    };
    // A check of one range takes 0.2 us and all else of an event 20 us at full speed; on a tenth of a core, ten times
    // that.
    const auto row = GENERATE(values<Row>({
        {11, 38, 200us, 2us},
        {90, 224, 200us, 2us},
        {295, 504, 200us, 2us},
        {295, 1500, 200us, 2us},
    }));
    CAPTURE(row.daemons, row.targets);
    SlowController controller(row.daemons, row.targets, row.eventCost, row.checkCost);
    controller.run(10s);
    // What RosterTiming::forBound leaves for all that follows the end of a notice's lifetime.
    constexpr Duration timeForChange = 400ms;
    CHECK(controller.takeLongestWait() < timeForChange);
    controller.takeChecks();
    controller.run(10s);
    CHECK(controller.takeLongestWait() < timeForChange);
    // Each range is renewed four times a lease of 2 to 8 s, and its order is in flight for some events.
    const std::size_t events = controller.takeEvents();
    CHECK(controller.takeChecks() < events * 20);
}
