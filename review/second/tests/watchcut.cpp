#include "harness.h"

#include <QJsonArray>

#include <set>

using namespace sardinehinge;
using namespace sardinehinge::review;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t daemons = 3;
constexpr std::chrono::milliseconds drainTimeout = 2000ms; ///< Of the settings.
constexpr std::chrono::milliseconds cutAfterRemoval = 500ms; ///< When the store cuts all waiting watches off, once.
constexpr std::chrono::milliseconds recurringCuts = 2500ms; ///< With CUTS=recurring: between two cuts, from the start.
/// How long the endpoint serves on: the drain timeout "and a little longer (at times many seconds)".
constexpr std::chrono::milliseconds serviceAfterRemoval = 3200ms;
constexpr std::chrono::milliseconds longServiceAfterRemoval = 6000ms; ///< With CUTS=recurring.

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2)
        return couldNotRun;
    Record record(argv[1]);
    Fleet fleet(daemons);
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    for (const char *id : {"i-leaving", "i-second", "i-third"}) {
        endpoints.push_back(std::make_unique<Endpoint>(fleet.context, id, "intake"));
        fleet.store.put("servers", id, endpoints.back()->entry("ready", 1));
    }
    fleet.store.put("config", "main",
                    configuration(1, {QJsonObject{{"name", "intake"}, {"max-connections", 130}}},
                                  {route("/read/", "idempotent", "intake", "1200ms", "400ms"),
                                   route("/write/", "non_idempotent", "intake", "1500ms", "500ms")},
                                  67108864));
    for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
        if (!fleet.runUntil([&] { return fleet.serves(daemon, "/read/x"); }, 20s))
            return couldNotRun;
    }
    fleet.runFor(3s); // The daemons settle who watches the store.

    const bool isTroubled = hasTrouble();
    const char *cutsSetting = std::getenv("CUTS");
    const bool isRecurring = cutsSetting != nullptr && std::string(cutsSetting) == "recurring";
    const auto serviceTime = isRecurring ? longServiceAfterRemoval : serviceAfterRemoval;
    std::map<std::string, Clock::time_point> sentAt;
    std::map<std::string, int> answers; ///< By outcome.
    std::size_t lost = 0;
    int next = 0;
    int cuts = 0;
    std::optional<Clock::time_point> removedAt;
    bool hasExited = false;
    const auto begin = Clock::now();
    auto nextRequest = begin;
    std::optional<Clock::time_point> nextCut;
    if (isRecurring)
        nextCut = begin + recurringCuts;
    fleet.runUntil(
        [&] {
            const auto now = Clock::now();
            if (!removedAt && now >= begin + 3s) {
                // "Some endpoints never report draining: their entry is removed, and they continue serving".
                fleet.store.remove("servers", "i-leaving");
                removedAt = Clock::now();
                if (!isRecurring)
                    nextCut = *removedAt + cutAfterRemoval;
                record.tell("the store has removed the entry of i-leaving");
            }
            if (isTroubled && nextCut && now >= *nextCut) {
                // Each waiting watch is cut off; no call is refused.
                fleet.store.setDown(true);
                fleet.store.setDown(false);
                nextCut.reset();
                if (isRecurring)
                    nextCut = now + recurringCuts;
                ++cuts;
                record.tell("the store cuts the waiting watches off");
            }
            if (removedAt && !hasExited && now >= *removedAt + serviceTime) {
                endpoints[0]->exit();
                hasExited = true;
                record.tell("i-leaving exits");
            }
            while (now >= nextRequest && now < begin + 12s) {
                nextRequest += 10ms;
                const std::string id = "w" + std::to_string(next);
                const std::size_t daemon = static_cast<std::size_t>(next++) % daemons;
                sentAt[id] = Clock::now();
                record.add("client sends " + id + " to daemon " + std::to_string(daemon + 1));
                fleet.request(daemon, "POST", "/write/x", id, "report", 3000ms, [&, id](http::ExchangeResult end) {
                    const std::string outcome = end.outcome == http::ExchangeOutcome::Complete
                        ? std::to_string(end.response.status)
                        : "no answer";
                    ++answers[outcome];
                    lost += outcome == "502" ? 1 : 0;
                    record.add("client gets " + outcome + " for " + id);
                });
            }
            return now >= begin + 14s;
        },
        20s);

    std::size_t late = 0;
    double latest = 0;
    for (const Arrival &arrival : endpoints[0]->arrivals()) {
        const auto sent = sentAt.find(arrival.id);
        const bool isLate = removedAt && sent != sentAt.end() && sent->second > *removedAt + drainTimeout
            && arrival.time > *removedAt + drainTimeout && arrival.hasRun;
        if (sent == sentAt.end() || !removedAt)
            continue;
        const double after = std::chrono::duration<double>(arrival.time - *removedAt).count();
        record.add("i-leaving got " + arrival.id + " " + std::to_string(after) + " s after its removal");
        if (!isLate)
            continue;
        ++late;
        latest = std::max(latest, after);
    }
    for (const auto &[outcome, count] : answers)
        record.tell("answers " + outcome + ": " + std::to_string(count));
    record.tell("watches were cut off " + std::to_string(cuts) + " times");
    record.tell(std::to_string(late) + " requests that clients sent later than 2 s after the removal ran at i-leaving,"
                + " the last one " + std::to_string(latest) + " s after it; " + std::to_string(lost)
                + " requests ended with 502");
    return late != 0 ? broken : held;
}
