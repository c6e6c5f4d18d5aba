#include "callercrowd.h"
#include "harness.h"

#include <QJsonArray>

#include <sys/resource.h>

using namespace sardinehinge;
using namespace sardinehinge::review;
using namespace std::chrono_literals;

namespace {

constexpr double largestBody = 67108864; ///< By the configuration, as in the pages' example.
constexpr std::size_t callers = 2800; ///< Of 4,100 descriptors.
constexpr std::uint64_t announcedBytes = 131000;
constexpr std::uint64_t sentBytes = 130000; ///< The callers stop just short of the end and stay.
constexpr std::size_t pieceBytes = 400;
constexpr std::chrono::milliseconds pieceInterval = 1ms; ///< Between two pieces.

/// Private memory of the process that is resident now, in KiB. The code and its read-only data don't count.
std::uint64_t privateKibibytes(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string word; status >> word;) {
        std::uint64_t kibibytes = 0;
        if (word == "RssAnon:" && status >> kibibytes)
            return kibibytes;
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    rlimit files{};
    if (argc < 2 || getrlimit(RLIMIT_NOFILE, &files) != 0
        || files.rlim_max < static_cast<rlim_t>(Machine().descriptors))
        return couldNotRun;
    Record record(argv[1]);
    const Machine machine;
    Fleet fleet(1, machine);
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    for (const char *id : {"i-first", "i-second", "i-third"}) {
        endpoints.push_back(std::make_unique<Endpoint>(fleet.context, id, "intake"));
        fleet.store.put("servers", id, endpoints.back()->entry("ready", 1));
    }
    fleet.store.put("config", "main",
                    configuration(1, {QJsonObject{{"name", "intake"}, {"max-connections", 130}}},
                                  {route("/read/", "idempotent", "intake", "1200ms", "400ms"),
                                   route("/write/", "non_idempotent", "intake", "1500ms", "500ms")},
                                  largestBody));
    if (!fleet.runUntil([&] { return fleet.serves(0, "/read/x"); }, 20s))
        return couldNotRun;
    const std::uint64_t limit = static_cast<std::uint64_t>(machine.memoryMegabytes) * 1024;
    const std::uint64_t calm = privateKibibytes(fleet.pid(0));
    record.tell("private memory in calm: " + std::to_string(calm) + " KiB of " + std::to_string(limit));

    std::optional<platform::tests::CallerCrowd> crowd;
    if (hasTrouble()) {
        const std::string head = "POST /write/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: crowd\r\n"
                                 "X-Deadline-Ms: 30000\r\nContent-Length: "
            + std::to_string(announcedBytes) + "\r\n\r\n";
        platform::tests::CallerBehaviour behaviour;
        behaviour.head = head;
        behaviour.bytes = sentBytes;
        behaviour.pieceBytes = pieceBytes;
        behaviour.pause = pieceInterval;
        crowd.emplace(fleet.context, fleet.frontAddress(0), behaviour, callers);
        record.tell(std::to_string(callers) + " callers announce bodies of " + std::to_string(announcedBytes)
                    + " bytes and send " + std::to_string(sentBytes) + " of them in pieces of "
                    + std::to_string(pieceBytes));
    }
    std::uint64_t peak = calm;
    int next = 0;
    std::map<std::string, int> answers;
    const auto begin = Clock::now();
    auto nextRequest = begin;
    auto nextLook = begin;
    auto nextLine = begin;
    bool hasEnded = false;
    fleet.runUntil(
        [&] {
            const auto now = Clock::now();
            if (now >= nextLook) {
                nextLook = now + 20ms;
                hasEnded = hasEnded || fleet.hasEnded(0);
                const std::uint64_t bytes = hasEnded ? 0 : privateKibibytes(fleet.pid(0));
                peak = std::max(peak, bytes);
                if (now >= nextLine) {
                    nextLine = now + 500ms;
                    record.add("private memory " + std::to_string(bytes) + " KiB"
                               + (crowd ? ", open connections of the crowd " + std::to_string(crowd->openConnections())
                                        : std::string()));
                }
            }
            while (!hasEnded && now >= nextRequest && now < begin + 20s) {
                nextRequest += 200ms;
                const std::string id = "ordinary" + std::to_string(next++);
                fleet.request(0, "POST", "/write/y", id, "report", 3000ms, [&, id](http::ExchangeResult end) {
                    const std::string outcome = end.outcome == http::ExchangeOutcome::Complete
                        ? std::to_string(end.response.status)
                        : "no answer";
                    ++answers[outcome];
                    record.add("ordinary caller gets " + outcome + " for " + id);
                });
            }
            return now >= begin + 24s;
        },
        40s);
    for (const auto &[outcome, count] : answers)
        record.tell("ordinary callers got " + outcome + ": " + std::to_string(count));
    record.tell("peak of private memory: " + std::to_string(peak) + " KiB, limit " + std::to_string(limit) + " KiB"
                + (hasEnded ? ", and the process has ended" : ""));
    return hasEnded || peak > limit ? broken : held;
}
