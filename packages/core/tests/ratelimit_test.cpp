#include "routerbench.h"

#include <sardinehinge/core/ratepermits.h>

#include <deque>
#include <numeric>

using namespace sardinehinge::core;
using namespace sardinehinge::core::tests;

namespace {

/// What the simulated daemons do wrong, to show that the checks can fail.
enum class PlantedFault {
    None,
    IgnoresLimit,
    EachItsOwnCoordinator,
    KeepsNoPace, ///< Permits may be used as soon as they arrive.
};

/// What happens to the daemons in a run.
enum class Disturbance {
    None,
    Lossy, ///< Datagrams are lost, doubled, and late.
    Restarts, ///< Daemons are killed and start again, or join; datagrams are lost, too.
    Coordinators, ///< As Restarts, but the coordinators are killed first.
};

struct Setup
{
    std::size_t daemons = 8;
    double limit = 25;
    double demand = 3; ///< Requests that arrive, as a multiple of the limits of all targets.
    bool isUneven = false; ///< One daemon gets half of all requests.
    Disturbance disturbance = Disturbance::None;
    PlantedFault fault = PlantedFault::None;
};

/// Simulates, in virtual time, daemons with a router and a broker each, the network between them, and targets that
/// limit their rate for a while. Records what the targets see.
class RateWorld
{
public:
    static constexpr Duration limitBegins = 2s;
    static constexpr Duration limitChanges = 9s; ///< To half of it.
    static constexpr Duration limitEnds = 16s;
    static constexpr Duration endOfRun = 20s;

    RateWorld(std::uint64_t seed, const Setup &setup)
        : m_random(seed)
        , m_setup(setup)
    {
        for (std::size_t index = 0; index < setup.daemons; ++index)
            start(index);
        for (const std::string &service : {std::string(plain), std::string(keyed)}) {
            for (const RegisteredTarget &entry : targetsOf(service, 2))
                m_targets[entry.identity.id];
        }
    }

    void run()
    {
        const Duration step = 5ms;
        double due = 0;
        for (Time time = step; time < endOfRun; time += step) {
            at(time, [this] {
                for (auto &[index, daemon] : m_daemons) {
                    take(daemon, daemon.router.tick(m_now));
                    take(daemon, daemon.broker.tick(daemon.ranking, m_now));
                }
                disturb();
            });
            due += m_setup.demand * m_setup.limit * 4 * std::chrono::duration<double>(step).count();
            for (; due >= 1; due -= 1)
                at(time + upTo(step), [this] { request(); });
        }
        while (!m_due.empty()) {
            const auto next = m_due.begin();
            m_now = std::max(m_now, next->first);
            const auto action = std::move(next->second);
            m_due.erase(next);
            action();
        }
    }

    /// Requests beyond the most that may reach a target in any 4 s: one and a half times what its limit allows, and 5.
    /// Counted from 3 s after a target first named its limit, from daemons that passed such an answer on half a second
    /// before or earlier.
    double excess() const
    {
        double worst = 0;
        for (const auto &[id, target] : m_targets) {
            std::deque<Time> window;
            for (const auto &[time, isCounted] : target.arrivals) {
                if (!isCounted || !target.namedAt || time < *target.namedAt + 3s || time > limitEnds)
                    continue;
                window.push_back(time);
                while (window.front() <= time - 4s)
                    window.pop_front();
                worst = std::max(worst, static_cast<double>(window.size()) - (1.5 * allowed(time - 4s, time) + 5));
            }
        }
        return worst;
    }

    /// Requests that targets served in this time, as a share of what their limits allow. A daemon's requests before it
    /// knows of a limit can be left out.
    double utilisation(Time from, Time to, bool isAll = true) const
    {
        double served = 0;
        for (const auto &[id, target] : m_targets) {
            served += static_cast<double>(
                std::count_if(target.arrivals.begin(), target.arrivals.end(), [from, to, isAll](const auto &arrival) {
                    return arrival.first >= from && arrival.first < to && (isAll || arrival.second);
                }));
        }
        return served / (allowed(from, to) * static_cast<double>(m_targets.size()));
    }

    Duration longestWaitOfRejected = 0ms;
    std::size_t rejectedWithoutDelay = 0; ///< That named no time after which to retry.
    std::size_t answered = 0;
    std::size_t datagrams = 0;

private:
    struct Daemon
    {
        std::size_t index;
        std::uint64_t life;
        GatewayRouter router;
        PermitBroker broker;
        DaemonRanking ranking;
        std::map<RequestId, Time> arrived = {};
        std::map<std::string, Time> passedOn = {}; ///< First answer that named a limit, by target.
        std::set<std::pair<RequestId, std::uint32_t>> limited = {}; ///< Attempts whose answer named one.
        std::map<RequestId, std::string> targets = {};
        RequestId lastId = 0;
    };

    struct SimTarget
    {
        std::optional<Time> namedAt;
        std::vector<std::pair<Time, bool>> arrivals; ///< And whether they count.
    };

    static std::string nameOf(std::size_t index) { return "daemon" + std::to_string(index); }

    Duration upTo(Duration most)
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(1, most.count())(m_random));
    }
    bool isOneIn(int count) { return std::uniform_int_distribution<int>(1, count)(m_random) == 1; }
    void at(Time time, std::function<void()> action) { m_due.emplace(time, std::move(action)); }

    std::optional<double> limitAt(Time time) const
    {
        if (time < limitBegins || time >= limitEnds)
            return std::nullopt;
        return time < limitChanges ? m_setup.limit : m_setup.limit / 2;
    }

    /// Requests that the limit allows in this time. A lowered limit counts from a second later, when all know it.
    double allowed(Time from, Time to) const
    {
        const Time lowered = limitChanges + 1s;
        const auto seconds = [](Duration time) { return std::max(std::chrono::duration<double>(time).count(), 0.0); };
        return m_setup.limit * (seconds(std::min(to, lowered) - from) + seconds(to - std::max(from, lowered)) / 2);
    }

    void start(std::size_t index)
    {
        m_daemons.erase(index);
        Daemon &daemon
            = m_daemons
                  .emplace(index,
                           Daemon{index, ++m_lives, GatewayRouter(m_random(), "a"), {}, DaemonRanking(nameOf(index))})
                  .first->second;
        for (auto &[other, known] : m_daemons) {
            if (other == index || m_setup.fault == PlantedFault::EachItsOwnCoordinator)
                continue;
            daemon.ranking.add(nameOf(other));
            at(m_now + upTo(200ms), [this, other = other, index] {
                if (const auto found = m_daemons.find(other); found != m_daemons.end()) {
                    found->second.ranking.add(nameOf(index));
                    found->second.ranking.heard(nameOf(index), m_now);
                }
            });
        }
        daemon.router.setConfig(configOf());
        auto targets = targetsOf(plain, 2);
        for (const RegisteredTarget &target : targetsOf(keyed, 2))
            targets.push_back(target);
        take(daemon, daemon.router.setTargets(targets, m_now));
        take(daemon,
             daemon.router.setOwners(
                 {keyed,
                  1,
                  1,
                  {{{0, 32767}, "archive0", RangeState::Held}, {{32768, lastKey}, "archive1", RangeState::Held}}},
                 m_now));
    }

    void disturb()
    {
        if (m_setup.disturbance != Disturbance::Restarts && m_setup.disturbance != Disturbance::Coordinators)
            return;
        if (isOneIn(300) && m_daemons.size() > 2) {
            auto victim = m_daemons.begin();
            std::advance(victim, std::uniform_int_distribution<std::size_t>(0, m_daemons.size() - 1)(m_random));
            if (m_setup.disturbance == Disturbance::Coordinators) {
                const auto first = m_daemons.begin()->second.ranking.firstFor("archive0", 1, m_now);
                victim = std::find_if(m_daemons.begin(), m_daemons.end(), [&first](const auto &entry) {
                    return !first.empty() && nameOf(entry.first) == first[0];
                });
                if (victim == m_daemons.end())
                    return;
            }
            const std::size_t index = victim->first;
            m_daemons.erase(victim);
            at(m_now + 500ms + upTo(3s), [this, index] { start(index); });
        } else if (isOneIn(1000)) {
            start(++m_joined + 100);
        }
    }

    void request()
    {
        if (m_daemons.empty())
            return;
        auto chosen = m_daemons.begin();
        if (!m_setup.isUneven || isOneIn(2))
            std::advance(chosen, std::uniform_int_distribution<std::size_t>(0, m_daemons.size() - 1)(m_random));
        Daemon &daemon = chosen->second;
        const bool isKeyed = isOneIn(2);
        const auto key = std::uniform_int_distribution<std::uint32_t>(0, lastKey)(m_random);
        const RequestId id = ++daemon.lastId;
        daemon.arrived[id] = m_now;
        take(daemon,
             daemon.router.requestArrived(
                 {id, "h", isKeyed ? "/key/" : "/write/", isKeyed ? std::optional(key) : std::nullopt, 3s}, m_now));
    }

    Daemon *find(std::size_t index, std::uint64_t life)
    {
        const auto found = m_daemons.find(index);
        return found == m_daemons.end() || found->second.life != life ? nullptr : &found->second;
    }

    void take(Daemon &daemon, const GatewayRouter::Effects &effects)
    {
        for (const GatewayEffect &effect : effects) {
            if (const auto *send = std::get_if<SendToTarget>(&effect)) {
                daemon.targets[send->id] = send->target.id;
                at(m_now + upTo(isOneIn(50) ? 200ms : 4ms),
                   [this, send = *send, index = daemon.index, life = daemon.life] { arrive(send, index, life); });
            } else if (const auto *end = std::get_if<EndWithError>(&effect)) {
                longestWaitOfRejected = std::max(longestWaitOfRejected, m_now - daemon.arrived.at(end->id));
                rejectedWithoutDelay += end->retryAfter > 0ms ? 0 : 1;
            } else if (const auto *answer = std::get_if<ForwardAnswer>(&effect)) {
                ++answered;
                if (daemon.limited.contains({answer->id, answer->attempt}))
                    daemon.passedOn.try_emplace(daemon.targets.at(answer->id), m_now);
            } else if (const auto *ask = std::get_if<AskPermits>(&effect)) {
                take(daemon, daemon.broker.wanted(ask->request, daemon.ranking, m_now));
            }
        }
    }

    void take(Daemon &daemon, const PermitBroker::Effects &effects)
    {
        for (const BrokerEffect &effect : effects) {
            if (const auto *ask = std::get_if<AskCoordinator>(&effect)) {
                send(daemon.index, ask->to, [this, from = daemon.index, request = ask->request](Daemon &to) {
                    take(to, to.broker.requested(nameOf(from), request, to.ranking, m_now));
                });
            } else if (const auto *answer = std::get_if<AnswerDaemon>(&effect)) {
                send(daemon.index, answer->to,
                     [this, grant = answer->grant](Daemon &to) { take(to, to.broker.granted(grant)); });
            } else if (const auto *deliver = std::get_if<DeliverPermits>(&effect)) {
                PermitGrant grant = deliver->grant;
                if (m_setup.fault == PlantedFault::KeepsNoPace) {
                    grant.count = 50;
                    grant.startsIn = grant.interval = 0ms;
                }
                at(m_now + upTo(1ms), [this, grant, index = daemon.index, life = daemon.life] {
                    if (Daemon *to = find(index, life))
                        take(*to, to->router.permitsGranted(grant, m_now));
                });
            }
        }
    }

    void send(std::size_t from, const std::string &to, const std::function<void(Daemon &)> &action)
    {
        const bool isDisturbed = m_setup.disturbance != Disturbance::None;
        const int copies = isDisturbed && isOneIn(30) ? 0 : (isDisturbed && isOneIn(30) ? 2 : 1);
        for (int copy = 0; copy < copies; ++copy) {
            ++datagrams;
            at(m_now + upTo(isDisturbed && isOneIn(20) ? 200ms : 5ms), [this, from, to, action] {
                for (auto &[index, daemon] : m_daemons) {
                    if (nameOf(index) != to || index == from)
                        continue;
                    daemon.ranking.heard(nameOf(from), m_now);
                    action(daemon);
                }
            });
        }
    }

    void arrive(const SendToTarget &send, std::size_t index, std::uint64_t life)
    {
        const Daemon *daemon = find(index, life);
        if (daemon == nullptr)
            return;
        SimTarget &target = m_targets.at(send.target.id);
        const auto passedOn = daemon->passedOn.find(send.target.id);
        target.arrivals.emplace_back(m_now, passedOn != daemon->passedOn.end() && passedOn->second <= m_now - 500ms);
        at(m_now + 20ms + upTo(100ms), [this, send, index, life] {
            // The limit is that of the moment of the answer.
            const std::optional<double> limit = limitAt(m_now);
            if (limit)
                m_targets.at(send.target.id).namedAt = m_targets.at(send.target.id).namedAt.value_or(m_now);
            at(m_now + upTo(3ms), [this, send, index, life, limit] {
                Daemon *to = find(index, life);
                if (to == nullptr)
                    return;
                TargetNotice notice{false, {}, limit};
                if (limit)
                    to->limited.insert({send.id, send.attempt});
                if (m_setup.fault == PlantedFault::IgnoresLimit)
                    notice.rateLimit.reset();
                take(*to, to->router.targetNoticed(send.service, send.target, notice, SignalSource::Request, m_now));
                take(*to,
                     to->router.attemptFinished({send.id, send.attempt, AttemptEnd::Answered, false, notice}, m_now));
            });
        });
    }

    std::mt19937_64 m_random;
    Setup m_setup;
    Time m_now = 0ms;
    std::uint64_t m_lives = 0;
    std::size_t m_joined = 0;
    std::map<std::size_t, Daemon> m_daemons;
    std::map<std::string, SimTarget> m_targets;
    std::multimap<Time, std::function<void()>> m_due;
};

} // namespace

TEST_CASE("A target that limits its rate gets no more requests than that from all daemons together")
{
    struct Case
    {
        const char *name;
        Setup setup;
    };
    const auto [name, setup] = GENERATE(values<Case>({
        {"even load", {8, 25, 3, false, Disturbance::None}},
        {"half of the load on one daemon", {8, 25, 3, true, Disturbance::None}},
        {"many daemons, low limit", {75, 4, 6, false, Disturbance::None}},
        {"limit of almost nothing", {8, 1, 20, false, Disturbance::None}},
        {"lossy network", {8, 25, 3, false, Disturbance::Lossy}},
        {"daemons come and go", {11, 25, 3, false, Disturbance::Restarts}},
        {"coordinators are killed", {11, 25, 3, true, Disturbance::Coordinators}},
        {"load below the limit", {8, 25, 0.6, false, Disturbance::Restarts}},
    }));
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        INFO(name << ", seed " << seed);
        RateWorld world(seed, setup);
        world.run();
        CHECK(world.excess() <= 0);
        CHECK(world.answered > 0);
        CHECK(world.rejectedWithoutDelay == 0);
        // A request that the rate doesn't allow is rejected as soon as that is known: well within its objective.
        CHECK(world.longestWaitOfRejected <= 200ms);
    }
}

TEST_CASE("The rate that a target accepts is used, wherever the requests arrive")
{
    const auto [daemons, isUneven, limit]
        = GENERATE(table<std::size_t, bool, double>({{8, false, 25}, {8, true, 25}, {75, false, 25}, {75, true, 4}}));
    INFO(daemons << " daemons, " << (isUneven ? "uneven" : "even") << " load, limit " << limit);
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        RateWorld world(seed, {daemons, limit, 3, isUneven, Disturbance::None});
        world.run();
        INFO("seed " << seed);
        CHECK(world.utilisation(6s, 9s) > 0.8);
        CHECK(world.utilisation(11s, 16s) > 0.8);
        CHECK(world.utilisation(11s, 16s, false) < 1.2);
        CHECK(world.utilisation(18s, 20s) > 1.5); // The limit has ended.
    }
}

TEST_CASE("The check of rate limits fails for daemons that ignore, divide or don't pace them")
{
    const auto fault
        = GENERATE(PlantedFault::IgnoresLimit, PlantedFault::EachItsOwnCoordinator, PlantedFault::KeepsNoPace);
    INFO(static_cast<int>(fault));
    RateWorld world(1, {8, 25, 3, false, Disturbance::None, fault});
    world.run();
    CHECK(world.excess() > 0);
}

TEST_CASE("A request beyond the rate is rejected at once, until when the next permit is expected")
{
    Bench bench;
    bench.arrive("/key/", 5);
    bench.notice(bench.sends[0], {false, {}, 20.0});
    bench.finish(bench.sends[0], AttemptEnd::Answered);
    bench.arrive("/key/", 5);
    REQUIRE(bench.asks.size() == 1);
    CHECK(bench.asks[0].rate == 20);
    CHECK(bench.asks[0].wanted == 1);
    CHECK(bench.asks[0].maxWait > 100ms);
    CHECK(bench.sends.size() == 1);
    SECTION("permits now and later")
    {
        bench.arrive("/key/", 5);
        bench.grant(1, 30ms);
        CHECK(bench.sends.size() == 1);
        REQUIRE(bench.asks.size() == 2);
        CHECK(bench.asks[1].wanted == 1);
        bench.grant(1, 60ms);
        bench.now += 30ms;
        bench.take(bench.router.tick(bench.now));
        CHECK(bench.sends.size() == 2);
        bench.now += 30ms;
        bench.take(bench.router.tick(bench.now));
        CHECK(bench.sends.size() == 3);
        CHECK(bench.ends.empty());
    }
    SECTION("none in time")
    {
        bench.grant(0, 0ms, 500ms);
        REQUIRE(bench.ends.size() == 1);
        CHECK_FALSE(bench.ends[0].mayHaveRun);
        CHECK(bench.ends[0].retryAfter >= 500ms);
        CHECK(bench.ends[0].retryAfter <= 500ms + 400ms);
        bench.arrive("/key/", 5);
        CHECK(bench.ends.size() == 2); // Without asking again.
        CHECK(bench.asks.size() == 1);
        bench.arrive("/key/", 40000); // Another owner.
        CHECK(bench.sends.size() == 2);
        bench.now += 500ms;
        bench.arrive("/key/", 5);
        CHECK(bench.asks.size() == 2);
    }
    SECTION("no answer")
    {
        bench.now += RatePermits::answerTimeout;
        bench.take(bench.router.tick(bench.now));
        bench.arrive("/key/", 5);
        CHECK(bench.asks.size() == 2);
        CHECK(bench.sends.size() == 1);
    }
    SECTION("an answer to an earlier request for permits")
    {
        bench.now += RatePermits::answerTimeout;
        bench.arrive("/key/", 5);
        PermitGrant late{keyed, bench.asks[0].target, bench.asks[0].number, 1, 0ms, 50ms, 0ms};
        bench.take(bench.router.permitsGranted(late, bench.now));
        CHECK(bench.sends.size() == 1);
    }
}

TEST_CASE("Where another target could serve a request, it doesn't wait for a permit")
{
    Bench bench(2, 0);
    bench.arrive("/write/");
    const std::string limited = bench.sends[0].target.id;
    bench.notice(bench.sends[0], {false, {}, 20.0});
    bench.finish(bench.sends[0], AttemptEnd::Answered);
    for (int request = 0; request < 5; ++request)
        bench.arrive("/write/");
    REQUIRE(bench.sends.size() > 1);
    for (std::size_t index = 1; index < bench.sends.size(); ++index)
        CHECK(bench.sends[index].target.id != limited);
    REQUIRE(bench.asks.size() == 1);
    bench.grant(1);
    CHECK(std::count_if(bench.sends.begin() + 1, bench.sends.end(),
                        [&limited](const SendToTarget &send) { return send.target.id == limited; })
          <= 1);
}

TEST_CASE("A silent coordinator is replaced, and without any a daemon gives itself a part of an equal share")
{
    DaemonRanking ranking("self");
    for (const char *other : {"b", "c", "d", "e", "f", "g", "h"})
        ranking.add(other);
    std::string name = "t";
    while (ranking.firstFor(name, 4, 10s)[0] == "self" || ranking.firstFor(name, 4, 10s)[1] == "self"
           || ranking.firstFor(name, 4, 10s)[2] == "self" || ranking.firstFor(name, 4, 10s)[3] == "self")
        name += "t";
    const PermitRequest request{"s", {name, 1}, 80, 1, 100ms, 1};
    PermitBroker broker;
    Time now = 10s;
    auto effects = broker.wanted(request, ranking, now);
    std::vector<std::string> asked;
    std::optional<PermitGrant> delivered;
    for (int step = 0; step < 100 && !delivered; ++step) {
        for (const BrokerEffect &effect : effects) {
            if (const auto *ask = std::get_if<AskCoordinator>(&effect))
                asked.push_back(ask->to);
            else if (const auto *deliver = std::get_if<DeliverPermits>(&effect))
                delivered = deliver->grant;
        }
        now += 30ms;
        effects = broker.tick(ranking, now);
    }
    CHECK(asked.size() == DaemonRanking::candidates * PermitBroker::maxSends);
    CHECK(std::set<std::string>(asked.begin(), asked.end()).size() == DaemonRanking::candidates);
    REQUIRE(delivered);
    CHECK(delivered->count == 0); // A daemon that has just lost contact starts with nothing.
    CHECK(delivered->interval == 200ms); // Half of 80 a second, divided by 8.
    SECTION("a late answer changes nothing")
    {
        CHECK(broker.granted({"s", {name, 1}, 1, 1, 0ms, 1ms, 0ms}).empty());
    }
    SECTION("a coordinator that responds again is asked again")
    {
        ranking.heard(asked.back(), now);
        const auto again = broker.wanted(request, ranking, now);
        CHECK(std::get<AskCoordinator>(again.at(0)).to == asked.back());
    }
}

TEST_CASE("A daemon that stands in for the coordinator gives out a share of the rate and checks the coordinator")
{
    DaemonRanking ranking("self");
    ranking.add("other");
    std::string name = "t";
    while (ranking.firstFor(name, 1, 10s)[0] != "other")
        name += "t";
    PermitBroker broker;
    const PermitRequest request{"s", {name, 1}, 20, 1, 0ms, 9};
    auto effects = broker.requested("third", request, ranking, 10s);
    REQUIRE(effects.size() == 2);
    CHECK(std::get<AnswerDaemon>(effects[0]).grant.interval == 100ms);
    CHECK(std::get<AskCoordinator>(effects[1]).request.wanted == 0);
    for (Time now = 10s; now < 11s; now += 30ms)
        broker.tick(ranking, now);
    effects = broker.requested("third", request, ranking, 11s);
    REQUIRE(effects.size() == 1);
    CHECK(std::get<AnswerDaemon>(effects[0]).grant.interval == 50ms);
}

TEST_CASE("Thousands of daemons that want permits are made to ask rarely")
{
    PermitAllocator allocator;
    std::multimap<Time, int> due;
    for (int daemon = 0; daemon < 11'000; ++daemon)
        due.emplace(10s + daemon * Duration(100'000), daemon);
    std::size_t late = 0;
    std::size_t granted = 0;
    while (due.begin()->first < 100s) {
        const auto [time, daemon] = *due.begin();
        due.erase(due.begin());
        const PermitGrant grant = allocator.handle({"s", {"t", 1}, 27, 1, 160ms, 1}, time);
        granted += grant.count;
        late += time > 40s ? 1 : 0;
        due.emplace(time + std::max(grant.retryIn, Duration(10ms)), daemon);
    }
    CHECK(static_cast<double>(late) / 60 < 2 * PermitAllocator::maxRequestRate);
    CHECK(static_cast<double>(granted) / 90 <= 27.5);
    CHECK(static_cast<double>(granted) / 90 > 25);
}
