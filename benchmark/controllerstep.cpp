/// Measures the processor time that one event takes a controller of a service's keys: `name value unit` a line.
#include <sardinehinge/core/rangecontrol.h>

#include <chrono>
#include <cstdio>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace sardinehinge::core;

namespace {

constexpr std::size_t daemons = 295;
constexpr std::size_t targetCount = 504;

/// A controller whose orders, connections and calls all succeed at once.
class SettledController
{
public:
    SettledController()
    {
        ControlPeers peers{{}, 200};
        for (std::size_t index = 1; index < daemons; ++index)
            peers.peers.push_back({"daemon-" + std::to_string(index), index + 1, "10.0.0.1:7640", 20});
        for (std::size_t index = 0; index < targetCount; ++index) {
            RegisteredTarget target;
            target.identity = {"target-" + std::to_string(1000 + index), 1}; // Ordered as in a registry.
            target.address = "10.1.0.1:" + std::to_string(index);
            target.slots = 6;
            targets.targets.push_back(target);
        }
        handle(targets);
        handle(peers);
        for (int step = 0; step < 400; ++step) {
            m_now += std::chrono::milliseconds(50);
            handle(ControlTick{});
        }
    }

    /// Microseconds for one such event, as a mean.
    double measure(const ControlEvent &event)
    {
        constexpr int rounds = 2000;
        const auto begin = std::chrono::steady_clock::now();
        for (int round = 0; round < rounds; ++round)
            (void)m_control.handle(event, m_now);
        return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count() / rounds;
    }

    ControlTargets targets;

private:
    void handle(const ControlEvent &event)
    {
        std::vector<ControlEvent> events{event};
        for (std::size_t next = 0; next < events.size(); ++next) {
            for (const ControlEffect &effect : m_control.handle(events[next], m_now)) {
                if (auto response = responseTo(effect))
                    events.push_back(std::move(*response));
            }
        }
    }

    std::optional<ControlEvent> responseTo(const ControlEffect &effect)
    {
        if (const auto *order = std::get_if<RangeOrder>(&effect))
            return OrderEnded{order->order, OrderEndKind::Accepted, {}};
        if (const auto *link = std::get_if<ConnectTarget>(&effect))
            return TargetConnected{link->address, true};
        if (std::holds_alternative<ReadOwnership>(effect))
            return OwnershipRead{m_record, m_revision, m_now, 0};
        const auto *write = std::get_if<WriteOwnership>(&effect);
        if (write == nullptr)
            return std::nullopt;
        m_record = write->record;
        return OwnershipWritten{++m_revision, m_now, 0, write->write};
    }

    Time m_now = std::chrono::seconds(100);
    RangeControl m_control{"service", {"daemon-0", 1}, m_now};
    std::optional<OwnershipRecord> m_record;
    std::uint64_t m_revision = 0;
};

} // namespace

int main()
{
    SettledController controller;
    const std::string &target = controller.targets.targets.front().identity.id;
    const std::vector<std::pair<const char *, ControlEvent>> events{
        {"tick", ControlTick{}},
        {"load_report", KeyLoadReport{{{7, 1}}, {}}},
        {"refused_key", KeyRefused{target, 7}},
        {"unchanged_targets", controller.targets},
    };
    for (const auto &[name, event] : events)
        std::printf("controller_%s %.1f us\n", name, controller.measure(event));
    return 0;
}
