// Ordinary callers beside a crowd of callers with large bodies that stop just short of their end and come again after
// they were refused, against one daemon with the memory and the descriptors of a machine of stivej-gw.
#include "crowd.h"
#include "fleet.h"

#include <algorithm>
#include <iostream>

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr int memoryMegabytes = 260;
constexpr int descriptors = 4100;
constexpr std::size_t callers = 2800;
constexpr std::uint64_t bodyBytes = 139001; ///< Of the 67,108,864 that the configuration allows.
constexpr std::chrono::milliseconds comesAgainAfter(3000); ///< The daemon's refusals ask for one second.
constexpr std::size_t neededDescriptors = 5000;

constexpr std::chrono::milliseconds routeTimeout(1200);
constexpr std::chrono::milliseconds answerSlack(500); ///< CONFIG: 0.5 s after the route's timeout.
constexpr int deadlineMs = 2500;
constexpr std::chrono::milliseconds requestGap(100);
constexpr std::chrono::seconds crowdTime(20);
constexpr int leastUnanswered = 8; ///< CONFIG: eight or more, and more than half.

struct Ordinary
{
    Clock::time_point sentAt;
    std::optional<Clock::duration> answeredAfter;
    std::string end = "no answer";
};

} // namespace

int main(int, char **argv)
{
    Record record(argv[1]);
    if (!allowDescriptors(neededDescriptors))
        return 2;
    Fleet fleet(1, record, {memoryMegabytes, descriptors});
    fleet.addTarget("i-1", "intake");
    fleet.addTarget("i-2", "intake");
    fleet.store.put("config", "main",
                    config(1, {service("intake")},
                           {route("read", "/read/", "intake", "idempotent", "1200ms"),
                            route("write", "/write/", "intake", "non_idempotent", "1500ms")}));
    fleet.start(0);
    if (!fleet.runUntil([&] { return fleet.request(0, "GET", "/read/x", "first").response.body != ""; }, 10s))
        return 2;

    std::unique_ptr<Crowd> crowd;
    if (!isCalm()) {
        const std::string head = "POST /write/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: crowd\r\n"
                                 "X-Deadline-Ms: 20000\r\nContent-Length: "
            + std::to_string(bodyBytes) + "\r\n\r\n";
        crowd = std::make_unique<Crowd>(fleet.context(), fleet.callerAddress(0),
                                        CrowdBehaviour{head, bodyBytes - 1, bodyBytes - 1, 0ms, comesAgainAfter},
                                        callers);
        record.line(std::to_string(callers) + " callers connect, each sends " + std::to_string(bodyBytes - 1) + " of "
                    + std::to_string(bodyBytes) + " bytes, and comes again 3 s after it was refused");
    }
    std::vector<std::shared_ptr<Ordinary>> requests;
    const auto begin = Clock::now();
    for (auto next = begin; next < begin + crowdTime && !fleet.hasEnded(0); next += requestGap) {
        fleet.runUntil([next] { return Clock::now() >= next; }, 1s);
        const auto request = std::make_shared<Ordinary>(Ordinary{Clock::now(), std::nullopt, "no answer"});
        requests.push_back(request);
        fleet.send(
            0, "GET", "/read/x", "ordinary-" + std::to_string(requests.size()),
            [request](const http::ExchangeResult &end) {
                if (end.outcome == http::ExchangeOutcome::Complete)
                    request->answeredAfter = Clock::now() - request->sentAt;
                request->end = describe(end);
            },
            -1, {}, deadlineMs);
    }
    fleet.runFor(4s);
    int late = 0;
    int unanswered = 0;
    int served = 0;
    for (std::size_t index = 0; index < requests.size(); ++index) {
        const Ordinary &request = *requests[index];
        const auto after = request.answeredAfter.value_or(Clock::duration::max());
        late += after > routeTimeout ? 1 : 0;
        unanswered += after > routeTimeout + answerSlack ? 1 : 0;
        served += request.end.starts_with("200") && after <= std::chrono::milliseconds(deadlineMs) ? 1 : 0;
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(after).count();
        record.line("ordinary-" + std::to_string(index + 1) + ": " + request.end
                    + (request.answeredAfter ? " after " + std::to_string(ms) + " ms" : ""));
    }
    const bool hasEnded = fleet.hasEnded(0);
    const bool isBroken = hasEnded || (unanswered >= leastUnanswered && 2 * unanswered > late);
    const std::string result = std::to_string(requests.size()) + " ordinary requests: " + std::to_string(served)
        + " served within their deadline, " + std::to_string(late) + " unanswered at the route's timeout, "
        + std::to_string(unanswered) + " of these without an answer 0.5 s later; process "
        + (hasEnded ? "ended" : "lives") + "; crowd: " + std::to_string(crowd ? crowd->ended() : 0)
        + " connections ended: " + (isBroken ? "the rule is broken" : "the rule held");
    record.line(result);
    std::cout << result << std::endl;
    return isBroken ? 1 : 0;
}
