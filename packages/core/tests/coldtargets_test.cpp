#include "routerbench.h"

#include <sardinehinge/core/balancing/coldtargets.h>

#include <deque>

using namespace sardinehinge::core;
using namespace sardinehinge::core::tests;

namespace {

constexpr double rate = 8.6; ///< Requests a second that a cold target bears.
constexpr ColdAllowance allowance{1.5, 8};
constexpr Duration warmup = 3s;

enum class PlantedFault {
    None,
    NoPermits, ///< Daemons send to cold targets as to others.
    EachItsOwnCoordinator,
};

enum class Disturbance {
    None,
    Lossy, ///< Datagrams are lost, doubled and late.
    CoordinatorsLost, ///< The coordinators of all cold targets are lost shortly after these have become cold.
    CoordinatorsCut, ///< They receive nothing and give permits to their own routers only.
};

struct Setup
{
    std::size_t daemons = 11;
    int targets = 9;
    int cold = 3; ///< Of each service.
    double load = 7; ///< Requests a second for each target.
    Duration latest = 100ms; ///< Until the last daemon knows of cold targets.
    Disturbance disturbance = Disturbance::None;
    PlantedFault fault = PlantedFault::None;
};

/// Simulates, in virtual time, daemons with a router and a broker each, the network between them, and targets of which
/// some become cold. Records what these get.
class ColdWorld
{
public:
    static constexpr Time coldFrom = 4s;
    static constexpr Time endOfRun = 9s;

    ColdWorld(std::uint64_t seed, const Setup &setup)
        : m_random(seed)
        , m_setup(setup)
    {
        ColdTargets marks(allowance);
        marks.setServices({{plain, false, 0, warmup, rate}, {keyed, true, 0, warmup, rate}});
        for (const std::string service : {plain, keyed}) {
            for (const RegisteredTarget &target : targetsOf(service, setup.targets))
                m_entries.push_back(target);
        }
        if (setup.fault != PlantedFault::NoPermits)
            m_entries = marks.mark(m_entries, m_now);
        for (std::size_t index = 0; index < setup.daemons; ++index)
            start(index);
    }

    void run()
    {
        at(coldFrom, [this] { becomeCold(); });
        const Duration step = 5ms;
        double due = 0;
        for (Time time = step; time < endOfRun; time += step) {
            at(time, [this] {
                for (auto &[index, daemon] : m_daemons) {
                    take(daemon, daemon.router.tick(m_now));
                    take(daemon, daemon.broker.tick(daemon.ranking, m_now));
                }
            });
            due += m_setup.load * 2 * m_setup.targets * std::chrono::duration<double>(step).count();
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

    /// Most requests that one cold target got within a second of its cold time.
    std::size_t mostInOneSecond() const
    {
        std::size_t most = 0;
        for (const auto &[id, arrivals] : m_arrivals) {
            std::deque<Time> window;
            for (const Time time : arrivals) {
                if (!isCold(id) || time < coldFrom || time >= coldFrom + warmup)
                    continue;
                window.push_back(time);
                while (window.front() <= time - 1s)
                    window.pop_front();
                most = std::max(most, window.size());
            }
        }
        return most;
    }

    /// Requests that cold targets got, as a share of what they bear, once all daemons know of them.
    double utilisation() const
    {
        std::ptrdiff_t count = 0;
        const Time from = coldFrom + m_setup.latest;
        for (const auto &[id, arrivals] : m_arrivals) {
            if (isCold(id))
                count += std::count_if(arrivals.begin(), arrivals.end(),
                                       [from](Time time) { return time >= from && time < coldFrom + warmup; });
        }
        return static_cast<double>(count)
            / (rate * 2 * m_setup.cold * std::chrono::duration<double>(coldFrom + warmup - from).count());
    }

    std::size_t answered = 0;
    std::size_t rejected = 0;

private:
    struct Daemon
    {
        std::size_t index;
        GatewayRouter router;
        PermitBroker broker;
        DaemonRanking ranking;
        bool isCut = false;
        RequestId lastId = 0;
    };

    static std::string nameOf(std::size_t index) { return "daemon" + std::to_string(index); }
    Duration upTo(Duration most)
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(1, most.count())(m_random));
    }
    bool isOneIn(int count) { return std::uniform_int_distribution<int>(1, count)(m_random) == 1; }
    void at(Time time, std::function<void()> action) { m_due.emplace(time, std::move(action)); }
    bool isCold(const std::string &id) const
    {
        for (const std::string service : {plain, keyed}) {
            for (int index = 0; index < m_setup.cold; ++index) {
                if (id == service + std::to_string(index))
                    return true;
            }
        }
        return false;
    }

    void start(std::size_t index)
    {
        Daemon &daemon
            = m_daemons.emplace(index, Daemon{index, GatewayRouter(m_random(), "a"), {}, DaemonRanking(nameOf(index))})
                  .first->second;
        for (std::size_t other = 0; other < m_setup.daemons; ++other) {
            if (m_setup.fault != PlantedFault::EachItsOwnCoordinator)
                daemon.ranking.add(nameOf(other));
        }
        daemon.router.setConfig(configOf());
        take(daemon, daemon.router.setTargets(m_entries, m_now));
        RangeOwners owners{keyed, 1, 1, {}};
        const std::uint32_t keys = lastKey + 1;
        const auto count = static_cast<std::uint32_t>(m_setup.targets);
        for (std::uint32_t range = 0; range < count; ++range)
            owners.ranges.push_back({{keys * range / count, (keys * (range + 1) / count) - 1},
                                     keyed + std::to_string(range),
                                     RangeState::Held});
        take(daemon, daemon.router.setOwners(owners, m_now));
    }

    void becomeCold()
    {
        for (auto &[index, daemon] : m_daemons) {
            at(m_now + upTo(m_setup.latest), [this, index = index] {
                const auto found = m_daemons.find(index);
                if (found == m_daemons.end())
                    return;
                auto entries = m_entries;
                for (RegisteredTarget &entry : entries)
                    entry.warmupLeft = isCold(entry.identity.id) ? warmup : 0ms;
                take(found->second, found->second.router.setTargets(entries, m_now));
            });
        }
        if (m_setup.disturbance != Disturbance::CoordinatorsLost && m_setup.disturbance != Disturbance::CoordinatorsCut)
            return;
        at(m_now + 700ms, [this] {
            std::set<std::string> lost;
            for (const RegisteredTarget &entry : m_entries) {
                if (isCold(entry.identity.id))
                    lost.insert(m_daemons.begin()->second.ranking.firstFor(entry.identity.id, 1, m_now).at(0));
            }
            if (m_setup.disturbance == Disturbance::CoordinatorsLost)
                std::erase_if(m_daemons, [&lost](const auto &entry) { return lost.contains(nameOf(entry.first)); });
            for (auto &[index, daemon] : m_daemons)
                daemon.isCut = lost.contains(nameOf(index));
        });
    }

    void request()
    {
        auto chosen = m_daemons.begin();
        std::advance(chosen, std::uniform_int_distribution<std::size_t>(0, m_daemons.size() - 1)(m_random));
        Daemon &daemon = chosen->second;
        const bool isKeyed = isOneIn(2);
        const auto key = std::uniform_int_distribution<std::uint32_t>(0, lastKey)(m_random);
        take(daemon,
             daemon.router.requestArrived(
                 {++daemon.lastId, "h", isKeyed ? "/key/" : "/write/", isKeyed ? std::optional(key) : std::nullopt, 3s},
                 m_now));
    }

    void take(Daemon &daemon, const GatewayRouter::Effects &effects)
    {
        for (const GatewayEffect &effect : effects) {
            if (const auto *send = std::get_if<SendToTarget>(&effect)) {
                at(m_now + upTo(4ms), [this, send = *send, index = daemon.index] { arrive(send, index); });
            } else if (std::holds_alternative<EndWithError>(effect)) {
                ++rejected;
            } else if (std::holds_alternative<ForwardAnswer>(effect)) {
                ++answered;
            } else if (const auto *ask = std::get_if<AskPermits>(&effect)) {
                take(daemon, daemon.broker.wanted(ask->request, daemon.ranking, m_now));
            }
        }
    }

    void take(Daemon &daemon, const PermitBroker::Effects &effects)
    {
        for (const BrokerEffect &effect : effects) {
            if (const auto *ask = std::get_if<AskCoordinator>(&effect)) {
                send(daemon, ask->to, [this, from = daemon.index, request = ask->request](Daemon &to) {
                    take(to, to.broker.requested(nameOf(from), request, to.ranking, m_now));
                });
            } else if (const auto *answer = std::get_if<AnswerDaemon>(&effect)) {
                send(daemon, answer->to,
                     [this, grant = answer->grant](Daemon &to) { take(to, to.broker.granted(grant)); });
            } else if (const auto *deliver = std::get_if<DeliverPermits>(&effect)) {
                at(m_now + upTo(1ms), [this, grant = deliver->grant, index = daemon.index] {
                    if (const auto to = m_daemons.find(index); to != m_daemons.end())
                        take(to->second, to->second.router.permitsGranted(grant, m_now));
                });
            }
        }
    }

    void send(const Daemon &from, const std::string &to, const std::function<void(Daemon &)> &action)
    {
        const bool isLossy = m_setup.disturbance == Disturbance::Lossy;
        const int copies = isLossy && isOneIn(20) ? 0 : (isLossy && isOneIn(20) ? 2 : 1);
        for (int copy = 0; copy < copies && !from.isCut; ++copy) {
            at(m_now + upTo(isLossy && isOneIn(20) ? 200ms : 5ms), [this, from = from.index, to, action] {
                for (auto &[index, daemon] : m_daemons) {
                    if (nameOf(index) != to || daemon.isCut)
                        continue;
                    daemon.ranking.heard(nameOf(from), m_now);
                    action(daemon);
                }
            });
        }
    }

    void arrive(const SendToTarget &send, std::size_t index)
    {
        m_arrivals[send.target.id].push_back(m_now);
        at(m_now + 100ms + upTo(100ms), [this, send, index] {
            if (const auto to = m_daemons.find(index); to != m_daemons.end())
                take(
                    to->second,
                    to->second.router.attemptFinished({send.id, send.attempt, AttemptEnd::Answered, false, {}}, m_now));
        });
    }

    std::mt19937_64 m_random;
    Setup m_setup;
    Time m_now = 0ms;
    std::vector<RegisteredTarget> m_entries;
    std::map<std::size_t, Daemon> m_daemons;
    std::map<std::string, std::vector<Time>> m_arrivals; ///< By target.
    std::multimap<Time, std::function<void()>> m_due;
};

const double mostAllowed = (rate * allowance.overage) + allowance.slack;

} // namespace

TEST_CASE("A cold target gets no more requests in any second than it is allowed from all daemons together")
{
    struct Case
    {
        const char *name;
        Setup setup;
    };
    const auto [name, setup] = GENERATE(values<Case>({
        {"calm", {11, 9, 3, 7, 100ms}},
        {"a third of the targets return cold under full load", {11, 9, 3, 20, 1ms}},
        {"all targets are cold", {11, 9, 9, 20, 1ms}},
        {"known late", {11, 9, 3, 7, 800ms}},
        {"many daemons", {75, 9, 3, 20, 1ms}},
        {"lossy network", {11, 9, 3, 20, 1ms, Disturbance::Lossy}},
        {"coordinators are lost", {11, 9, 3, 20, 1ms, Disturbance::CoordinatorsLost}},
        {"coordinators are cut off", {11, 9, 3, 20, 1ms, Disturbance::CoordinatorsCut}},
    }));
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        INFO(name << ", seed " << seed);
        ColdWorld world(seed, setup);
        world.run();
        CHECK(static_cast<double>(world.mostInOneSecond()) <= mostAllowed);
        CHECK(world.answered > 0);
    }
}

TEST_CASE("What cold targets bear is used where the others have too little room")
{
    const auto daemons = GENERATE(std::size_t(11), std::size_t(75));
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        ColdWorld world(seed, {daemons, 9, 9, 20, 1ms});
        world.run();
        INFO(daemons << " daemons, seed " << seed);
        CHECK(world.utilisation() > 0.8);
        CHECK(world.utilisation() < 1.2);
    }
}

TEST_CASE("The check of cold targets fails for daemons that send as to others, or that each give out permits")
{
    const auto fault = GENERATE(PlantedFault::NoPermits, PlantedFault::EachItsOwnCoordinator);
    INFO(static_cast<int>(fault));
    ColdWorld world(1, {11, 9, 9, 25, 1ms, Disturbance::None, fault});
    world.run();
    CHECK(static_cast<double>(world.mostInOneSecond()) > mostAllowed);
}

TEST_CASE("Permits for a cold target are given out below the allowance, also while two daemons give them out")
{
    struct Case
    {
        double rate;
        ColdAllowance allowance;
        double permits;
    };
    const auto [bears, allowed, permits] = GENERATE(values<Case>({
        {8.6, {1.5, 8}, 8.6},
        {5.3, {1.5, 8}, 5.3},
        {100, {1.5, 8}, 158 / 2.25},
        {9, {1, 0}, 4},
        {9, {3, 0}, 9},
    }));
    CHECK(coldPermitRate(bears, allowed) == Approx(permits));
    CHECK(coldPermitRate(bears, allowed) * 2.25 <= (bears * allowed.overage) + allowed.slack + 1e-9);
}

TEST_CASE(
    "A target counts as cold for the time of its entry, and for the whole warm-up after an evacuation of its domain")
{
    struct Case
    {
        const char *name;
        double rate;
        Duration left; ///< By the entry.
        std::optional<Duration> returnedAgo;
        Duration expectedLeft;
        double expectedRate;
    };
    const auto [name, bears, left, returnedAgo, expectedLeft, expectedRate] = GENERATE(values<Case>({
        {"warm", 8, 0ms, std::nullopt, 0ms, 8},
        {"cold by its entry", 8, 2s, std::nullopt, 2s, 8},
        {"returned, entry not written again yet", 8, 0ms, 500ms, 2500ms, 8},
        {"returned, the entry says longer", 8, 2900ms, 500ms, 2900ms, 8},
        {"returned long ago", 8, 0ms, 4s, 0ms, 8},
        {"a service without a rate", 0, 2s, 500ms, 2s, 0},
    }));
    INFO(name);
    ColdTargets cold({1.5, 8});
    CHECK(cold.setServices({{plain, false, 0, 3s, bears}}) == (bears != 0));
    CHECK_FALSE(cold.setServices({{plain, false, 0, 3s, bears}}));
    const Time now = 100s;
    if (returnedAgo)
        cold.evacuationEnded("a", now - *returnedAgo);
    cold.evacuationEnded("b", now);
    RegisteredTarget target = targetsOf(plain, 1).front();
    target.warmupLeft = left;
    const auto marked = cold.mark({target}, now);
    CHECK(marked[0].warmupLeft == expectedLeft);
    CHECK(marked[0].coldRate == expectedRate);
    CHECK(cold.permitRate(plain) == expectedRate);
}
