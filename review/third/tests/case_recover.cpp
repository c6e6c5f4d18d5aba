// A machine was replaced for good. Later the store comes back from a copy some seconds old, and all processes are
// killed while it is away. Are requests served again after `recover`?
#include "fleet.h"

#include <csignal>
#include <iostream>
#include <random>

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t lasting = 4; ///< Daemons 0 to 3; daemon 4 is removed for good, daemon 5 comes in its place.
constexpr std::size_t removed = 4;
constexpr std::size_t successor = 5;
constexpr std::chrono::milliseconds requestGap(50);
constexpr std::chrono::seconds recover(15);
constexpr std::chrono::seconds watched(20); ///< From the return of the machines.

struct Sent
{
    Clock::time_point at;
    std::size_t daemon = 0;
    int key = 0;
    bool isServed = false;
    std::string end = "no answer";
};

class Traffic
{
public:
    Traffic(Fleet &fleet, Record &record)
        : m_fleet(fleet)
        , m_record(record)
    {
    }

    /// Sends a request each `requestGap` to one of `daemons` in turn.
    void run(std::chrono::milliseconds time, const std::vector<std::size_t> &daemons)
    {
        const auto end = Clock::now() + time;
        for (auto next = Clock::now(); next < end; next += requestGap) {
            m_fleet.runUntil([next] { return Clock::now() >= next; }, 1s);
            const std::size_t number = m_sent.size() + 1;
            const auto sent = std::make_shared<Sent>(
                Sent{Clock::now(), daemons[number % daemons.size()], static_cast<int>(m_random() % 65536)});
            m_sent.push_back(sent);
            m_fleet.send(
                sent->daemon, "GET", "/key/x", "read-" + std::to_string(number),
                [this, sent, number](const http::ExchangeResult &got) {
                    sent->isServed = got.outcome == http::ExchangeOutcome::Complete && got.response.status == 200;
                    sent->end = describe(got);
                    m_record.line("read-" + std::to_string(number) + " key " + std::to_string(sent->key) + " daemon "
                                  + std::to_string(sent->daemon) + ": " + sent->end);
                },
                sent->key, {}, 2500);
        }
    }

    /// Share of the requests sent in this time that were served.
    double served(Clock::time_point from, Clock::time_point to) const
    {
        int all = 0;
        int good = 0;
        for (const auto &sent : m_sent) {
            if (sent->at < from || sent->at >= to)
                continue;
            ++all;
            good += sent->isServed ? 1 : 0;
        }
        return all == 0 ? 0 : static_cast<double>(good) / all;
    }

private:
    Fleet &m_fleet;
    Record &m_record;
    std::mt19937 m_random{1};
    std::vector<std::shared_ptr<Sent>> m_sent;
};

std::string percent(double share)
{
    return std::to_string(static_cast<int>(share * 100 + 0.5)) + " in 100";
}

} // namespace

int main(int, char **argv)
{
    Record record(argv[1]);
    const bool replaces = !isCalm();
    Fleet fleet(6, record);
    for (int index = 1; index <= 3; ++index)
        fleet.addTarget("i-" + std::to_string(index), "archive", true);
    fleet.store.put("config", "main",
                    config(1, {service("archive", true)}, {route("key", "/key/", "archive", "idempotent", "1200ms")}));
    std::vector<std::size_t> daemons;
    for (std::size_t index = 0; index < lasting; ++index)
        daemons.push_back(index);
    if (replaces)
        daemons.push_back(removed);
    for (const std::size_t each : daemons)
        fleet.start(each);
    const bool isUp = fleet.runUntil(
        [&] { return fleet.request(0, "GET", "/key/x", "first", 7).response.body.starts_with("answer"); }, 15s);
    if (!isUp)
        return 2;
    Traffic traffic(fleet, record);
    traffic.run(5s, daemons);
    if (replaces) {
        // Planned: the new one first, then SIGTERM.
        fleet.start(successor);
        traffic.run(3s, daemons);
        daemons.back() = successor;
        fleet.sendSignal(removed, SIGTERM);
        traffic.run(7s, daemons);
        if (!fleet.hasEnded(removed))
            fleet.sendSignal(removed, SIGKILL);
    }
    record.line("the store's copy is taken");
    fleet.store.takeCopy();
    const auto before = Clock::now();
    traffic.run(5s, daemons);
    fleet.runFor(500ms);
    const double servedBefore = traffic.served(before, before + 5s);
    if (replaces) {
        record.line("the store is away");
        fleet.store.setDown(true);
        fleet.runFor(500ms);
        for (const std::size_t each : daemons)
            fleet.sendSignal(each, SIGKILL);
        fleet.runUntil([&] {
            return std::all_of(daemons.begin(), daemons.end(), [&](std::size_t each) { return fleet.hasEnded(each); });
        });
        fleet.runFor(500ms);
        fleet.store.restoreCopy();
        fleet.store.setDown(false);
        record.line("the store is back from the copy");
        fleet.runFor(500ms);
        for (const std::size_t each : daemons)
            fleet.start(each);
    }
    const auto back = Clock::now();
    record.line("the machines are back");
    traffic.run(watched + 5s, daemons);
    fleet.runFor(3s);
    const double servedAfter = traffic.served(back + recover, back + watched);
    for (int second = 0; second < 25; ++second)
        record.line(
            "second " + std::to_string(second) + " after the return: "
            + percent(traffic.served(back + std::chrono::seconds(second), back + std::chrono::seconds(second + 1)))
            + " served");
    const bool isBroken = servedBefore >= 0.25 && servedAfter < 0.25;
    const std::string result = percent(servedBefore) + " served before, " + percent(servedAfter)
        + " of the requests sent later than 15 s after the machines were back: "
        + (isBroken ? "the rule is broken" : "the rule held");
    record.line(result);
    std::cout << result << std::endl;
    return isBroken ? 1 : 0;
}
