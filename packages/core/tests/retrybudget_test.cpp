#include "routerbench.h"

#include <sardinehinge/core/retrybudget.h>

using namespace sardinehinge::core;
using namespace sardinehinge::core::tests;

namespace {

constexpr RetryAllowance allowance{0.2, 62, std::chrono::seconds(10)};

/// When daemons are killed; each starts again a second later.
enum class Kills { None, All, AllTwice, InTurn };

struct Fleet
{
    std::size_t daemons = 11;
    int perSecond = 20; ///< Requests to each daemon.
    Kills kills = Kills::All;
    Duration killedAt = 12s;
    bool isFirstStart = false;
};

/// Arrivals at targets beyond the first of their request, and requests, by time.
struct Arrivals
{
    std::vector<Time> requests;
    std::vector<Time> retries;

    static double countIn(const std::vector<Time> &times, Time from, Time to)
    {
        return static_cast<double>(
            std::count_if(times.begin(), times.end(), [from, to](Time time) { return time > from && time <= to; }));
    }
    /// The most by which a window exceeds the allowance; 0 if none does.
    double excess() const
    {
        double most = 0;
        for (Time end = 0s; end < 60s; end += 250ms) {
            double counted = 0;
            for (const Duration back : {Duration(0), allowance.window / 2, allowance.window})
                counted = std::max(counted, countIn(requests, end - back - allowance.window, end - back));
            most = std::max(
                most, countIn(retries, end - allowance.window, end) - (allowance.ratio * counted) - allowance.slack);
        }
        return most;
    }
};

bool isKilled(const Fleet &fleet, std::size_t daemon, Time now)
{
    switch (fleet.kills) {
    case Kills::None:
        return false;
    case Kills::All:
        return now == fleet.killedAt;
    case Kills::AllTwice:
        return now == fleet.killedAt || now == fleet.killedAt + 4s;
    case Kills::InTurn:
        return now == fleet.killedAt + daemon * 500ms;
    }
    return false;
}

/// Every daemon sends on as many retries as it may.
Arrivals run(const Fleet &fleet)
{
    struct Daemon
    {
        RetryBudget budget;
        Time startedAt = 0ms;
        bool isFirst = true;
    };
    Arrivals arrivals;
    std::mt19937 random(5);
    std::vector<Daemon> daemons(fleet.daemons);
    for (Time now = 0s; now < 45s; now += 50ms) {
        for (std::size_t index = 0; index < daemons.size(); ++index) {
            Daemon &daemon = daemons[index];
            if (isKilled(fleet, index, now))
                daemon = {{}, now + 1s, false};
            const int requests = fleet.perSecond / 20;
            for (int request = 0; request < requests; ++request) {
                arrivals.requests.push_back(now); // They count whether or not they arrive.
                if (now < daemon.startedAt)
                    continue;
                daemon.budget.addRequest(now);
                const RetryAllowance own = fleet.isFirstStart && daemon.isFirst
                    ? allowance
                    : allowanceAfterRestart(allowance, now - daemon.startedAt);
                while (daemon.budget.trySpend(own, fleet.daemons, now))
                    arrivals.retries.push_back(now + std::chrono::milliseconds(random() % 1000));
            }
        }
    }
    return arrivals;
}

} // namespace

TEST_CASE("A fleet that is killed inside a window stays within the retry allowance")
{
    const auto kills = GENERATE(Kills::None, Kills::All, Kills::AllTwice, Kills::InTurn);
    const std::size_t daemons = GENERATE(1, 3, 11, 62);
    const int perSecond = GENERATE(20, 100);
    const Duration killedAt = GENERATE(2s, 12s, 15s);
    const bool isFirstStart = GENERATE(false, true);
    INFO("kills " << static_cast<int>(kills) << ", " << daemons << " daemons, " << perSecond
                  << " requests a second, at " << killedAt.count() / 1'000'000 << ", first start " << isFirstStart);
    CHECK(run({daemons, perSecond, kills, killedAt, isFirstStart}).excess() <= 0);
}

TEST_CASE("A daemon that started again sends on few retries for a window, one that starts first does not wait")
{
    struct Case
    {
        bool isRestarted;
        Duration age;
        bool isRetried;
    };
    const auto [isRestarted, age, isRetried] = GENERATE(values<Case>({
        {false, 1s, true},
        {true, 1s, false},
        {true, 10s, false},
        {true, 10s + maxRetrySendDelay, true},
    }));
    Bench bench;
    if (isRestarted)
        bench.router.setRestarted(bench.now);
    bench.now += age;
    bench.arrive("/read/");
    REQUIRE(bench.sends.size() == 1);
    bench.finish(bench.sends.front(), AttemptEnd::AnswerLost);
    CHECK(bench.sends.size() == (isRetried ? 2 : 1));
}

TEST_CASE("A daemon that started again retries in proportion to its requests at once")
{
    Bench bench;
    bench.router.setRestarted(bench.now);
    for (int request = 0; request < 60; ++request) {
        bench.now += 50ms;
        bench.arrive("/read/");
        bench.finish(bench.sends.back(), AttemptEnd::Answered);
    }
    const std::size_t sent = bench.sends.size();
    bench.arrive("/read/");
    bench.finish(bench.sends.back(), AttemptEnd::AnswerLost);
    CHECK(bench.sends.size() == sent + 2);
}
