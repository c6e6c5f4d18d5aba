// A server fails part of its requests after it has run them, with a status that promises to clients that they haven't
// run, but without X-Not-Executed.
#include "fleet.h"

#include <algorithm>
#include <iostream>
#include <random>
#include <set>

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t targets = 7; ///< One of them is grey: a share of 0.14.
constexpr double failedShare = 0.45; ///< Of the grey server's requests.
constexpr std::chrono::milliseconds greyTime(6500);
constexpr std::chrono::milliseconds requestGap(20);
constexpr int status = 503; ///< Of the failures.
constexpr int retries = 2; ///< Of a client, after a promise.

/// One request of a client; each attempt has its own id.
struct Order
{
    std::string name;
    int attempts = 0;
};

class Clients
{
public:
    Clients(Fleet &fleet, Record &record)
        : m_fleet(fleet)
        , m_record(record)
    {
    }

    void send(const std::shared_ptr<Order> &order)
    {
        const std::string attempt = order->name + "-" + std::to_string(++order->attempts);
        const std::size_t daemon = m_next++ % m_fleet.size();
        m_fleet.send(
            daemon, "POST", "/dispatch/x", attempt,
            [this, order, attempt, daemon](const http::ExchangeResult &end) {
                const int status = end.outcome == http::ExchangeOutcome::Complete ? end.response.status : 0;
                const bool isPromise = status == 503 || status == 429 || status == 408 || status == 421;
                if (status != 200)
                    m_record.line(attempt + " at daemon " + std::to_string(daemon) + ": " + describe(end)
                                  + (http::headerValue(end.response.headers, "X-Server-Signature") ? ", signed" : ""));
                if (isPromise)
                    m_refused.insert(attempt);
                if (isPromise && order->attempts <= retries)
                    send(order);
            },
            -1, "an order", 2000);
    }

    const std::set<std::string> &refused() const { return m_refused; }

private:
    Fleet &m_fleet;
    Record &m_record;
    std::size_t m_next = 0;
    std::set<std::string> m_refused;
};

} // namespace

int main(int, char **argv)
{
    Record record(argv[1]);
    Fleet fleet(3, record);
    std::mt19937 random(1);
    bool isGrey = false;
    for (std::size_t index = 0; index < targets; ++index) {
        Target &target = fleet.addTarget("i-" + std::to_string(index + 1), "holdplan");
        if (index != 0)
            continue;
        target.handler = [&](const http::Request &request, const std::shared_ptr<http::Responder> &responder) {
            if (!isGrey || std::uniform_real_distribution<double>(0, 1)(random) >= failedShare)
                return target.serve(request, responder);
            const std::string attempt = http::headerValue(request.headers, "X-Attempt-Id").value_or("");
            target.runs.emplace_back(attempt, Clock::now());
            record.line(target.id + " runs " + attempt + " and answers " + std::to_string(status));
            responder->send({status,
                             {{"X-Attempt-Id", attempt}, {"X-Server-Signature", target.id}},
                             "the crew was told, but the plan could not be stored"});
        };
    }
    fleet.store.put("config", "main",
                    config(1, {service("holdplan")},
                           {route("dispatch", "/dispatch/", "holdplan", "non_idempotent", "1000ms", 2, "300ms")}));
    for (std::size_t daemon = 0; daemon < fleet.size(); ++daemon) {
        fleet.start(daemon);
        if (!fleet.runUntil(
                [&] {
                    return fleet.request(daemon, "POST", "/dispatch/x", "first").response.body.starts_with("answer");
                },
                15s))
            return 2;
    }
    fleet.runFor(3s);
    isGrey = !isCalm();
    Clients clients(fleet, record);
    const auto end = Clock::now() + greyTime;
    std::size_t orders = 0;
    for (auto next = Clock::now(); next < end; next += requestGap) {
        fleet.runUntil([next] { return Clock::now() >= next; }, 1s);
        clients.send(std::make_shared<Order>(Order{"order" + std::to_string(++orders), 0}));
    }
    isGrey = false;
    fleet.runFor(4s);
    std::map<std::string, int> runsOfOrder;
    std::size_t refusedAndRun = 0;
    for (const auto &target : fleet.targets) {
        for (const auto &[attempt, at] : target->runs) {
            ++runsOfOrder[attempt.substr(0, attempt.find('-'))];
            refusedAndRun += clients.refused().contains(attempt) ? 1 : 0;
        }
    }
    const auto twice = std::count_if(runsOfOrder.begin(), runsOfOrder.end(),
                                     [](const auto &each) { return each.first != "first" && each.second > 1; });
    const std::string result = std::to_string(orders) + " orders; " + std::to_string(refusedAndRun)
        + " attempts were answered with a status that promises that they haven't run, and had run; "
        + std::to_string(twice) + " orders ran more than once as their clients sent them again: "
        + (refusedAndRun != 0 ? "the rule is broken" : "the rule held");
    record.line(result);
    std::cout << result << std::endl;
    return refusedAndRun != 0 ? 1 : 0;
}
