#include "routerbench.h"

#include <sardinehinge/core/leavingtargets.h>

using namespace sardinehinge::core;
using namespace sardinehinge::core::tests;

namespace {

/// What the simulated router is kept from knowing, to show that the checks can fail.
enum class PlantedFault {
    None,
    MissesLeaving,
    MissesQuiet,
};

/// Simulates, in virtual time, one router and targets that leave, want to be left alone, crash, and come back under the
/// same or another incarnation, while the registry loses entries for a while. Records what the targets see.
class TargetWorld
{
public:
    TargetWorld(std::uint64_t seed, PlantedFault fault)
        : m_random(seed)
        , m_fault(fault)
    {
        m_bench.take(m_bench.router.setTargets({}, m_bench.now));
        for (const std::string &service : {std::string(plain), std::string(keyed)}) {
            for (const RegisteredTarget &entry : targetsOf(service, 4))
                m_targets[entry.identity.id] = {entry, true, true, std::nullopt, 0ms};
        }
        publish();
    }

    void run(Duration time)
    {
        const Time end = m_bench.now + time;
        for (Time step = m_bench.now; step < end; step += 5ms) {
            at(step, [this] {
                changeSomething();
                request();
                m_bench.take(m_bench.router.tick(m_bench.now));
            });
        }
        while (!m_due.empty()) {
            const auto next = m_due.begin();
            m_bench.now = std::max(m_bench.now, next->first);
            const auto action = std::move(next->second);
            m_due.erase(next);
            action();
            carryOut();
        }
    }

    /// Requests that a caller sent later than the drain bound after an answer that said that the target is leaving.
    std::size_t lateRequests = 0;
    /// Requests of a service without keys that were sent after such an answer was read.
    std::size_t newRequests = 0;
    /// Quiet times, from half a second after the answer, in which more than two requests arrived.
    std::size_t disturbedTimes = 0;
    std::size_t quietTimes = 0;
    std::size_t leavings = 0;
    std::size_t answered = 0;

    void check()
    {
        for (const auto &[target, from, to] : m_quietTimes) {
            const auto &arrivals = m_arrivals[target];
            const auto first = std::upper_bound(arrivals.begin(), arrivals.end(), from + 500ms);
            const auto last = std::upper_bound(arrivals.begin(), arrivals.end(), to);
            disturbedTimes += last - first > 2 ? 1 : 0;
            quietTimes += to > from + 500ms ? 1 : 0;
        }
        leavings = m_leavingRead.size();
        answered = m_bench.answers.size();
    }

private:
    struct SimTarget
    {
        RegisteredTarget entry;
        bool isUp = true;
        bool isListed = true;
        std::optional<Time> leavingSince;
        Time quietUntil = 0ms;
    };

    struct QuietTime
    {
        TargetIdentity target;
        Time from;
        Time to;
    };

    Duration upTo(Duration most)
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(1, most.count())(m_random));
    }
    bool isOneIn(int count) { return std::uniform_int_distribution<int>(1, count)(m_random) == 1; }
    void at(Time time, std::function<void()> action) { m_due.emplace(time, std::move(action)); }

    SimTarget &anyTarget()
    {
        auto target = m_targets.begin();
        std::advance(target, std::uniform_int_distribution<std::size_t>(0, m_targets.size() - 1)(m_random));
        return target->second;
    }

    void publish()
    {
        std::vector<RegisteredTarget> entries;
        for (auto &[id, target] : m_targets) {
            if (target.isListed)
                entries.push_back(target.entry);
        }
        m_bench.take(m_bench.router.setTargets(entries, m_bench.now));
    }

    void changeSomething()
    {
        SimTarget &target = anyTarget();
        const std::string id = target.entry.identity.id;
        if (isOneIn(250) && target.isUp && !target.leavingSince) {
            target.leavingSince = m_bench.now;
            target.entry.isDraining = isOneIn(3);
            publish();
            at(m_bench.now + 3s + upTo(4s), [this, id] { stop(id); });
        } else if (isOneIn(60) && target.isUp) {
            target.quietUntil = m_bench.now + upTo(3s);
        } else if (isOneIn(400) && target.isUp) {
            stop(id);
        } else if (isOneIn(100) && target.isListed) {
            target.isListed = false;
            publish();
            at(m_bench.now + upTo(5s), [this, id] {
                m_targets[id].isListed = true;
                publish();
            });
        }
    }

    void stop(const std::string &id)
    {
        SimTarget &target = m_targets[id];
        if (!std::exchange(target.isUp, false))
            return;
        at(m_bench.now + upTo(2s), [this, id] {
            SimTarget &restarted = m_targets[id];
            ++restarted.entry.identity.incarnation;
            restarted.entry.isDraining = false;
            restarted.isUp = true;
            restarted.leavingSince.reset();
            restarted.quietUntil = 0ms;
            publish();
        });
    }

    void request()
    {
        const bool isKeyed = isOneIn(2);
        const std::string path = isKeyed ? (isOneIn(2) ? "/key/" : "/keywrite/") : (isOneIn(2) ? "/read/" : "/write/");
        const auto key = std::uniform_int_distribution<std::uint32_t>(0, lastKey)(m_random);
        m_sentByCaller[m_bench.lastId + 1] = m_bench.now;
        const RequestId id = m_bench.arrive(path, isKeyed ? std::optional(key) : std::nullopt);
        if (isOneIn(10))
            at(m_bench.now + upTo(100ms), [this, id] { m_bench.take(m_bench.router.callerLeft(id, m_bench.now)); });
    }

    void carryOut()
    {
        for (; m_sends < m_bench.sends.size(); ++m_sends) {
            const SendToTarget send = m_bench.sends[m_sends];
            if (send.service == plain && m_leavingRead.contains(send.target))
                ++newRequests;
            const Duration connecting = isOneIn(50) ? upTo(2s) : upTo(10ms);
            at(m_bench.now + connecting, [this, send] { arrive(send); });
        }
        for (; m_cancels < m_bench.cancels.size(); ++m_cancels) {
            const CancelSend cancel = m_bench.cancels[m_cancels];
            if (m_open.contains({cancel.id, cancel.attempt}))
                continue;
            m_withdrawn.insert({cancel.id, cancel.attempt});
            at(m_bench.now, [this, cancel] {
                m_bench.take(m_bench.router.attemptFinished(
                    {cancel.id, cancel.attempt, AttemptEnd::NothingSent, false, {}}, m_bench.now));
            });
        }
        for (; m_beliefs < m_bench.beliefs.size(); ++m_beliefs) {
            const TargetBelief &belief = m_bench.beliefs[m_beliefs];
            if (belief.service == keyed && belief.change.signal == TargetSignal::Leaving && belief.change.hasBegun)
                at(m_bench.now + upTo(4s), [this, id = belief.target.id] { handOver(id); });
        }
    }

    /// Gives all keys of a range to another target than the one that is leaving; some handovers come too late.
    void handOver(const std::string &leaving)
    {
        m_bench.announceOwner(RangeState::Held, ++m_sequence, leaving == "archive0" ? "archive2" : "archive0");
    }

    void arrive(const SendToTarget &send)
    {
        if (m_withdrawn.contains({send.id, send.attempt}))
            return;
        m_open.insert({send.id, send.attempt});
        SimTarget &target = m_targets[send.target.id];
        if (!target.isUp)
            return answer(send, send.target, AttemptEnd::NothingSent, {});
        const TargetIdentity identity = target.entry.identity;
        m_arrivals[identity].push_back(m_bench.now);
        if (const auto read = m_leavingRead.find(identity);
            read != m_leavingRead.end() && m_sentByCaller.at(send.id) > read->second + 2s)
            ++lateRequests;
        TargetNotice notice{target.leavingSince.has_value(), std::nullopt};
        if (m_bench.now < target.quietUntil) {
            notice.quietFor = target.quietUntil - m_bench.now;
            m_quietTimes.push_back({identity, m_bench.now, target.quietUntil});
            return answer(send, identity, isOneIn(3) ? AttemptEnd::AnswerTruncated : AttemptEnd::Shed, notice);
        }
        at(m_bench.now + upTo(150ms),
           [this, send, identity, notice] { answer(send, identity, AttemptEnd::Answered, notice); });
    }

    void answer(const SendToTarget &send, const TargetIdentity &identity, AttemptEnd end, TargetNotice notice)
    {
        at(m_bench.now + upTo(20ms), [this, send, identity, end, notice] {
            TargetNotice known = notice;
            known.isLeaving = known.isLeaving && m_fault != PlantedFault::MissesLeaving;
            if (m_fault == PlantedFault::MissesQuiet)
                known.quietFor.reset();
            // An answer of another incarnation than the one addressed tells nothing that can be kept.
            if (notice.isLeaving && identity == send.target)
                m_leavingRead.try_emplace(identity, m_bench.now);
            m_bench.notice(send, known);
            m_bench.finish(send, end);
        });
    }

    Bench m_bench{0, 0};
    std::mt19937_64 m_random;
    PlantedFault m_fault;
    std::map<std::string, SimTarget> m_targets;
    std::multimap<Time, std::function<void()>> m_due;
    std::size_t m_sends = 0;
    std::size_t m_cancels = 0;
    std::size_t m_beliefs = 0;
    std::uint64_t m_sequence = 1;
    std::map<RequestId, Time> m_sentByCaller;
    std::set<std::pair<RequestId, std::uint32_t>> m_open; ///< Attempts that have reached their target.
    std::set<std::pair<RequestId, std::uint32_t>> m_withdrawn;
    std::map<TargetIdentity, Time> m_leavingRead; ///< When the first answer that said so was read.
    std::map<TargetIdentity, std::vector<Time>> m_arrivals;
    std::vector<QuietTime> m_quietTimes;
};

} // namespace

TEST_CASE("Targets that leave or want to be left alone are, whatever else happens to them")
{
    struct Totals
    {
        std::size_t late = 0;
        std::size_t added = 0;
        std::size_t disturbed = 0;
    };
    const auto play = [](PlantedFault fault, std::uint64_t seeds) {
        Totals totals;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            TargetWorld world(seed, fault);
            world.run(30s);
            world.check();
            INFO("seed " << seed);
            if (fault == PlantedFault::None) {
                CHECK(world.lateRequests == 0);
                CHECK(world.newRequests == 0);
                CHECK(world.disturbedTimes == 0);
                CHECK(world.quietTimes > 0);
                CHECK(world.leavings > 0);
                CHECK(world.answered > 1000);
            }
            totals.late += world.lateRequests;
            totals.added += world.newRequests;
            totals.disturbed += world.disturbedTimes;
        }
        return totals;
    };
    SECTION("no fault")
    {
        play(PlantedFault::None, 60);
    }
    SECTION("the checks fail without the notices")
    {
        const Totals blind = play(PlantedFault::MissesLeaving, 5);
        CHECK(blind.late > 0);
        CHECK(blind.added > 0);
        CHECK(play(PlantedFault::MissesQuiet, 5).disturbed > 0);
    }
}

TEST_CASE("The controller is told of a leaving target again until the registry shows it or another incarnation")
{
    struct Case
    {
        const char *name;
        std::function<void(TargetRegistry &)> change; ///< After a second.
        bool isToldOn;
        bool isDraining; ///< For the controller.
    };
    const RegisteredTarget entry = targetsOf(keyed, 1)[0];
    const auto [name, change, isToldOn, isDraining] = GENERATE_COPY(values<Case>({
        {"no change", [](TargetRegistry &) {}, true, true},
        {"listed as ready again", [entry](TargetRegistry &registry) { registry.put(entry, 11s); }, true, true},
        {"listed as draining",
         [entry](TargetRegistry &registry) {
             RegisteredTarget draining = entry;
             draining.isDraining = true;
             registry.put(draining, 11s);
         },
         false, true},
        {"restarted",
         [entry](TargetRegistry &registry) {
             RegisteredTarget restarted = entry;
             restarted.identity.incarnation = 2;
             registry.put(restarted, 11s);
         },
         false, false},
    }));
    INFO(name);
    TargetRegistry registry;
    registry.put(entry, 10s);
    LeavingTargets leaving;
    CHECK(leaving.add({keyed, entry.identity}));
    CHECK_FALSE(leaving.add({keyed, entry.identity}));
    std::size_t told = 0;
    Time now = 10s;
    for (; now < 11s; now += 50ms)
        told += leaving.takeDue(registry, now).size();
    CHECK(told == 2);
    change(registry);
    for (; now < 12s; now += 50ms)
        told += leaving.takeDue(registry, now).size();
    CHECK((told == 4) == isToldOn);
    CHECK(leaving.markDraining(keyed, registry.targets(now)).at(0).isDraining == isDraining);
    CHECK(leaving.markDraining(plain, registry.targets(now)).empty());
}

TEST_CASE("Leaving targets are forgotten some time after their entry was removed, and bounded in number")
{
    TargetRegistry registry;
    LeavingTargets leaving;
    for (std::size_t index = 0; index < 2 * LeavingTargets::maxTargets; ++index)
        CHECK(leaving.add({keyed, {"t" + std::to_string(index), 1}}) == (index < LeavingTargets::maxTargets));
    CHECK(leaving.takeDue(registry, 10s).empty());
    CHECK_FALSE(leaving.add({keyed, {"t0", 1}}));
    CHECK(leaving.takeDue(registry, 10s + beliefRetention).empty());
    CHECK(leaving.add({keyed, {"t0", 1}}));
}
