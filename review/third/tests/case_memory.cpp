// A crowd of callers with large bodies that stop just short of their end, against one daemon with the memory and the
// descriptors of a machine of stivej-gw.
#include "crowd.h"
#include "fleet.h"

#include <algorithm>
#include <iostream>

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr int memoryMegabytes = 260;
constexpr int descriptors = 4100;
constexpr std::size_t callers = 2800; ///< Below the 3,900 sockets that 4,100 descriptors leave.
constexpr std::uint64_t bodyBytes = 139001; ///< Of the 67,108,864 that the configuration allows.
constexpr std::size_t pieceBytes = 16384;
constexpr std::chrono::milliseconds piecePause(500); ///< 92 MB a second in all, below the link's 125.
constexpr std::size_t neededDescriptors = 5000;

bool isServed(const http::ExchangeResult &end)
{
    return end.outcome == http::ExchangeOutcome::Complete && end.response.status == 200;
}

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
    if (!fleet.runUntil([&] { return isServed(fleet.request(0, "GET", "/read/x", "first")); }, 10s))
        return 2;
    record.line("peak before: " + std::to_string(fleet.kibibytes(0)) + " KiB");

    std::unique_ptr<Crowd> crowd;
    if (!isCalm()) {
        const std::string head = "POST /write/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: crowd\r\n"
                                 "X-Deadline-Ms: 20000\r\nContent-Length: "
            + std::to_string(bodyBytes) + "\r\n\r\n";
        crowd = std::make_unique<Crowd>(fleet.context(), fleet.callerAddress(0),
                                        CrowdBehaviour{head, bodyBytes - 1, pieceBytes, piecePause}, callers);
        record.line(std::to_string(callers) + " callers connect, each sends " + std::to_string(bodyBytes - 1) + " of "
                    + std::to_string(bodyBytes) + " bytes, " + std::to_string(pieceBytes) + " each "
                    + std::to_string(piecePause.count()) + " ms");
    }
    std::uint64_t peak = 0;
    for (int second = 0; second < 12 && !fleet.hasEnded(0); ++second) {
        fleet.runFor(1s);
        peak = std::max(peak, fleet.kibibytes(0));
        record.line("resident " + std::to_string(fleet.kibibytes(0, "VmRSS:")) + " KiB, peak " + std::to_string(peak)
                    + " KiB; callers: " + std::to_string(crowd ? crowd->open() : 0) + " connected, "
                    + std::to_string(crowd ? crowd->ended() : 0) + " ended by the daemon");
    }
    const bool isAnswered = isServed(fleet.request(0, "GET", "/read/x", "read-after"))
        && isServed(fleet.request(0, "POST", "/write/x", "write-after", -1, std::string(1000, 'x')));
    const bool hasEnded = fleet.hasEnded(0);
    peak = std::max(peak, fleet.kibibytes(0));
    const std::uint64_t limit = std::uint64_t{memoryMegabytes} * 1024;
    const bool isBroken = hasEnded || !isAnswered || peak > limit;
    const std::string result = "peak " + std::to_string(peak) + " KiB of " + std::to_string(limit) + " KiB; process "
        + (hasEnded ? "ended" : "lives") + "; ordinary requests afterwards " + (isAnswered ? "" : "not ")
        + "served: " + (isBroken ? "the rule is broken" : "the rule held");
    record.line(result);
    std::cout << result << std::endl;
    return isBroken ? 1 : 0;
}
