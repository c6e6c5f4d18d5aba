// Machines were replaced for good. Then requests come that crash each server that begins to run them, and come again at
// any machine. How many of their retries still reach servers?
#include "fleet.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <set>

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t removed = 6; ///< Daemons 0 to 5 are removed for good.
constexpr std::size_t lasting = 6; ///< Daemons 6 to 11 come in their place.
constexpr std::size_t targets = 14;
constexpr std::size_t deadly = 6; ///< Different requests that crash servers.
constexpr std::size_t firstNumber = 13; ///< Of the first one's path.
constexpr std::size_t comings = 12; ///< Of each.
constexpr std::chrono::milliseconds comingGap(500); ///< Between two of any of them.
constexpr std::chrono::seconds downTime(2); ///< Of a server that has crashed.
constexpr std::chrono::milliseconds stabilityWindow(3000);
constexpr std::chrono::milliseconds ordinaryGap(50); ///< Between two ordinary requests, which may run once.
constexpr std::chrono::milliseconds ordinaryWork(250);
constexpr std::size_t crashesToKnow = 3;
constexpr std::size_t mostRetries = 3;

struct Deadly
{
    std::string path;
    std::vector<Clock::time_point> crashes;
    std::size_t lateRetries = 0; ///< That reached a server later than the stability window after the third crash.
};

} // namespace

int main(int, char **argv)
{
    Record record(argv[1]);
    const bool replaces = !isCalm();
    Fleet fleet(removed + lasting, record);
    std::vector<Deadly> requests;
    std::set<std::string> hit; // Ordinary requests that were at work on a server that a late retry crashed.
    std::set<std::string> served; // Ordinary requests that were answered with success.
    for (std::size_t index = 0; index < deadly; ++index)
        requests.push_back({"/write/deadly-" + std::to_string(firstNumber + index), {}, 0});
    for (std::size_t index = 0; index < targets; ++index) {
        Target &target = fleet.addTarget("i-" + std::to_string(index + 1), "intake");
        target.workTime = ordinaryWork;
        target.closeAfterEachAnswer();
        target.handler = [&fleet, &record, &requests, &hit,
                          &target](const http::Request &request, const std::shared_ptr<http::Responder> &responder) {
            for (Deadly &each : requests) {
                if (request.target != each.path)
                    continue;
                const bool isLate = each.crashes.size() >= crashesToKnow
                    && Clock::now() > each.crashes[crashesToKnow - 1] + stabilityWindow;
                each.lateRetries += isLate ? 1 : 0;
                for (const auto &[attempt, at] : target.runs) {
                    if (isLate && attempt.starts_with("ordinary") && Clock::now() - at < ordinaryWork)
                        hit.insert(attempt);
                }
                each.crashes.push_back(Clock::now());
                record.line(target.id + " runs " + each.path + " and crashes: its crash "
                            + std::to_string(each.crashes.size()));
                // Not in the handler of the server that ends.
                boost::asio::post(fleet.context(), [&fleet, &target] {
                    const std::string address = target.address;
                    target.crash();
                    auto timer = std::make_shared<boost::asio::steady_timer>(fleet.context(), downTime);
                    timer->async_wait([&fleet, &target, address, timer](const boost::system::error_code &) {
                        target.listen(address);
                        target.born += 1000;
                        ++target.sequence;
                        fleet.put(target);
                    });
                });
                return;
            }
            target.serve(request, responder);
        };
    }
    fleet.store.put("config", "main",
                    config(1, {service("intake")},
                           {route("write", "/write/", "intake", "non_idempotent", "1500ms"),
                            route("read", "/read/", "intake", "idempotent", "1200ms")}));
    const auto isServing = [&](std::size_t daemon) {
        return fleet.runUntil(
            [&] { return fleet.request(daemon, "GET", "/read/x", "first").response.body.starts_with("answer"); }, 15s);
    };
    if (replaces) {
        for (std::size_t index = 0; index < removed; ++index)
            fleet.start(index);
        for (std::size_t index = 0; index < removed; ++index) {
            if (!isServing(index))
                return 2;
        }
        fleet.runFor(6s);
    }
    for (std::size_t index = removed; index < removed + lasting; ++index)
        fleet.start(index);
    for (std::size_t index = removed; index < removed + lasting; ++index) {
        if (!isServing(index))
            return 2;
    }
    fleet.runFor(2s);
    if (replaces) {
        for (std::size_t index = 0; index < removed; ++index) {
            fleet.sendSignal(index, SIGTERM);
            fleet.runFor(500ms);
        }
        for (std::size_t index = 0; index < removed; ++index) {
            if (!fleet.runUntil([&] { return fleet.hasEnded(index); }, 8s))
                return 2;
        }
        record.line("the machines are replaced");
    }
    fleet.runFor(4s); // All are in touch.
    std::size_t ordinary = 0;
    const auto sendOrdinary = [&] {
        const std::string attempt = "ordinary-" + std::to_string(++ordinary);
        fleet.send(removed + (ordinary % lasting), "POST", "/write/ordinary", attempt,
                   [&record, &served, attempt](const http::ExchangeResult &end) {
                       if (end.outcome == http::ExchangeOutcome::Complete && end.response.status == 200)
                           served.insert(attempt);
                       else
                           record.line(attempt + ": " + describe(end));
                   });
    };
    for (std::size_t coming = 0; coming < comings; ++coming) {
        for (std::size_t index = 0; index < requests.size(); ++index) {
            const std::size_t daemon = removed + ((coming + index) % lasting);
            const std::string attempt
                = "deadly-" + std::to_string(firstNumber + index) + "-" + std::to_string(coming + 1);
            fleet.send(
                daemon, "POST", requests[index].path, attempt,
                [&record, attempt, daemon](const http::ExchangeResult &end) {
                    record.line(attempt + " at daemon " + std::to_string(daemon) + ": " + describe(end));
                },
                -1, "the same body", 3000);
            for (auto passed = 0ms; passed < comingGap; passed += ordinaryGap) {
                sendOrdinary();
                fleet.runFor(ordinaryGap);
            }
        }
    }
    fleet.runFor(4s);
    std::size_t most = 0;
    std::size_t over = 0;
    for (const Deadly &each : requests) {
        record.line(each.path + ": " + std::to_string(each.crashes.size()) + " servers crashed, "
                    + std::to_string(each.lateRetries)
                    + " retries reached servers later than the stability window after the third");
        most = std::max(most, each.lateRetries);
        over += each.lateRetries > mostRetries ? 1 : 0;
    }
    const auto lost = std::count_if(hit.begin(), hit.end(),
                                    [&served](const std::string &attempt) { return !served.contains(attempt); });
    const std::string result = std::to_string(over) + " of " + std::to_string(requests.size())
        + " requests that crash servers reached them in more than 3 late retries, the worst in " + std::to_string(most)
        + "; " + std::to_string(lost) + " of " + std::to_string(ordinary)
        + " ordinary requests were lost with the servers that these retries crashed: "
        + (over != 0 ? "the rule is broken" : "the rule held");
    record.line(result);
    std::cout << result << std::endl;
    return over != 0 ? 1 : 0;
}
