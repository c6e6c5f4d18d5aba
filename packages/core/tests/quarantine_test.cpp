#include "routerbench.h"

#include <sardinehinge/core/quarantinekeeper.h>

using namespace sardinehinge::core;
using namespace sardinehinge::core::tests;

namespace {

/// What the simulated daemons do wrong, to show that the checks can fail.
enum class PlantedFault {
    None,
    ReportsNothing,
    SpreadsNothing,
    BelievesNoAnswer, ///< An answer to a quarantined request counts for nothing.
};

/// What happens beside crash-inducing requests.
enum class Disturbance {
    None,
    Lossy, ///< Datagrams are lost, doubled, and late.
    Restarts, ///< Daemons are killed and start again with an empty memory; datagrams are lost, too.
    Crashes, ///< Half of the targets are killed at once, again and again, and connections break.
};

/// How a target ends.
enum class CrashForm {
    Reset, ///< Its connections close, its host refuses new ones, and its entry names another incarnation soon.
    Silent, ///< Nothing answers any more; its entry vanishes, and a target with another id takes its place.
    Either, ///< Drawn for each crash.
};

struct Setup
{
    std::size_t daemons = 8;
    bool isKeyed = false;
    bool isIdempotent = true;
    bool hasCrashInducing = true;
    bool isHot = false; ///< A third of the innocent requests are equal.
    Disturbance disturbance = Disturbance::None;
    PlantedFault fault = PlantedFault::None;
    std::size_t copies = 3; ///< Of the crash-inducing request that come at the same time, once in a while.
    CrashForm form = CrashForm::Reset;
    int interval = 60; ///< Between two arrivals of the crash-inducing request on average, in steps of 5 ms.
};

/// Simulates, in virtual time, daemons with a router and a keeper each, and targets that crash. Records what the
/// targets see of the crash-inducing request, and what becomes of the others.
class CrashWorld
{
public:
    static constexpr Duration endOfRun = 30s;
    static constexpr Duration silentTime = 3600ms; ///< Until a silent target's entry vanishes for the daemons.
    static constexpr RequestFingerprint crashInducing{0xdead, 1};
    static constexpr RequestFingerprint hot{0x407, 1};

    CrashWorld(std::uint64_t seed, const Setup &setup)
        : m_random(seed)
        , m_setup(setup)
    {
        for (const RegisteredTarget &entry : targetsOf(service(), 8))
            m_targets[entry.identity.id].entry = entry;
        for (std::size_t index = 0; index < setup.daemons; ++index)
            start(index);
        assignKeys();
    }

    void run()
    {
        const Duration step = 5ms;
        for (Time time = m_now; time < endOfRun; time += step) {
            at(time, [this] {
                for (auto &[index, daemon] : m_daemons) {
                    take(daemon, daemon.router.tick(m_now));
                    take(daemon, daemon.keeper.tick(m_now));
                }
                disturb();
                request(m_setup.isHot && isOneIn(3) ? hot : RequestFingerprint{1, ++m_requests});
                if (m_setup.hasCrashInducing && m_now > 2s && isOneIn(m_setup.interval)) {
                    for (std::size_t copies = isOneIn(3) ? m_setup.copies : 1; copies != 0; --copies)
                        request(crashInducing);
                }
            });
        }
        while (!m_due.empty()) {
            const auto next = m_due.begin();
            m_now = std::max(m_now, next->first);
            const auto action = std::move(next->second);
            m_due.erase(next);
            action();
        }
    }

    /// Requests that reached targets more than 3 s after the third equal one had ended with its target.
    std::size_t lateArrivals() const
    {
        std::vector<Time> ends;
        for (const End &end : m_ends) {
            if (!end.isForgotten)
                ends.push_back(end.time);
        }
        if (ends.size() < 3)
            return 0;
        return static_cast<std::size_t>(std::count_if(m_arrivals.begin(), m_arrivals.end(),
                                                      [&ends](Time arrival) { return arrival > ends[2] + 3s; }));
    }
    std::size_t ends() const { return m_ends.size(); }

    std::size_t innocents = 0;
    std::size_t innocentsAnswered = 0;
    std::size_t innocentsQuarantined = 0;
    std::size_t quarantined = 0;
    std::size_t falselyNotRun = 0; ///< Rejected as not run although a target had begun it.

private:
    struct Daemon
    {
        std::size_t index;
        std::uint64_t life;
        GatewayRouter router;
        QuarantineKeeper keeper;
        DaemonRanking ranking;
        std::map<RequestId, RequestFingerprint> requests = {};
        std::set<RequestId> begun = {};
        RequestId lastId = 0;
    };

    struct Attempt
    {
        SendToTarget send;
        std::size_t daemon = 0;
        std::uint64_t life = 0;
    };

    /// Of an attempt of the crash-inducing request, with its target.
    struct End
    {
        Time time = 0ms;
        std::uint64_t life = 0; ///< Of the daemon that had sent it.
        bool isForgotten = false; ///< That daemon was killed before anything showed that the target had ended.
    };

    struct SimTarget
    {
        RegisteredTarget entry;
        bool isUp = true;
        bool isSilent = false; ///< While it is down: its host doesn't refuse connections.
        bool isListed = true;
        std::map<std::uint64_t, Attempt> running; ///< By a number.
    };

    static std::string nameOf(std::size_t index) { return "daemon" + std::to_string(index); }
    std::string service() const { return m_setup.isKeyed ? keyed : plain; }

    Duration upTo(Duration most)
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(1, most.count())(m_random));
    }
    bool isOneIn(int count) { return std::uniform_int_distribution<int>(1, count)(m_random) == 1; }
    void at(Time time, std::function<void()> action) { m_due.emplace(time, std::move(action)); }

    std::vector<RegisteredTarget> listed() const
    {
        std::vector<RegisteredTarget> entries;
        for (const auto &[id, target] : m_targets) {
            if (target.isListed)
                entries.push_back(target.entry);
        }
        return entries;
    }

    void start(std::size_t index)
    {
        m_daemons.erase(index);
        Daemon &daemon = m_daemons
                             .emplace(index,
                                      Daemon{index, ++m_lives, GatewayRouter(m_random(), "a"),
                                             QuarantineKeeper(nameOf(index), m_random()), DaemonRanking(nameOf(index))})
                             .first->second;
        for (std::size_t other = 0; other < m_setup.daemons; ++other) {
            if (other == index)
                continue;
            daemon.ranking.add(nameOf(other));
            daemon.keeper.addDaemon(nameOf(other));
            send(index, nameOf(other),
                 [this, index](Daemon &to) { take(to, to.keeper.daemonStarted(nameOf(index), m_now)); });
        }
        daemon.router.setConfig(configOf());
        take(daemon, daemon.router.setTargets(listed(), m_now));
        take(daemon, daemon.router.setOwners(m_owners, m_now));
    }

    /// Gives the keys of targets that are down to others, as a controller does after a lease.
    void assignKeys()
    {
        std::vector<std::string> up;
        for (const auto &[id, target] : m_targets) {
            if (target.isUp)
                up.push_back(id);
        }
        if (up.empty())
            return;
        m_owners = {keyed, 1, m_owners.sequence + 1, {}};
        const std::uint32_t parts = 16;
        for (std::uint32_t part = 0; part < parts; ++part) {
            const KeyRange range{part * 4096, (part * 4096) + 4095};
            m_owners.ranges.push_back({range, up[part % up.size()], RangeState::Held});
        }
        for (auto &[index, daemon] : m_daemons)
            take(daemon, daemon.router.setOwners(m_owners, m_now));
    }

    void crash(const std::string &id)
    {
        SimTarget &target = m_targets.at(id);
        if (!std::exchange(target.isUp, false))
            return;
        const bool isSilent = m_setup.form == CrashForm::Silent || (m_setup.form == CrashForm::Either && isOneIn(2));
        for (const auto &[number, attempt] : std::exchange(target.running, {})) {
            if (m_crashInducing.contains(number))
                m_ends.push_back({m_now, attempt.life, false});
            if (isSilent)
                hang(attempt);
            else
                at(m_now + upTo(3ms), [this, attempt = attempt] { finish(attempt, AttemptEnd::AnswerLost); });
        }
        at(m_now + 1700ms, [this] { assignKeys(); });
        if (isSilent)
            return replace(id);
        at(m_now + 2500ms + upTo(1s), [this, id] {
            SimTarget &restarted = m_targets.at(id);
            ++restarted.entry.identity.incarnation;
            restarted.isUp = true;
            for (auto &[index, daemon] : m_daemons)
                take(daemon, daemon.router.setTargets(listed(), m_now));
            assignKeys();
        });
    }

    /// The registry drops a silent target's entry; the daemons keep it for a second more.
    void replace(const std::string &id)
    {
        m_targets.at(id).isSilent = true;
        at(m_now + silentTime, [this, id] {
            m_targets.at(id).isListed = false;
            for (auto &[index, daemon] : m_daemons)
                take(daemon, daemon.router.setTargets(listed(), m_now));
        });
        at(m_now + 4s + upTo(1s), [this, id] {
            RegisteredTarget entry = m_targets.at(id).entry;
            entry.identity.id = id + "'";
            m_targets[entry.identity.id].entry = entry;
            for (auto &[index, daemon] : m_daemons)
                take(daemon, daemon.router.setTargets(listed(), m_now));
            assignKeys();
        });
    }

    /// No response comes, until the adapter's time limit at the latest.
    void hang(const Attempt &attempt)
    {
        at(m_now + attempt.send.timeout + 100ms, [this, attempt] { finish(attempt, AttemptEnd::AnswerLost); });
    }

    void disturb()
    {
        if (m_setup.disturbance == Disturbance::Restarts && isOneIn(300)) {
            const auto index = std::uniform_int_distribution<std::size_t>(0, m_setup.daemons - 1)(m_random);
            if (const auto killed = m_daemons.find(index); killed != m_daemons.end()) {
                for (End &end : m_ends) {
                    if (end.life == killed->second.life && m_now - end.time < silentTime)
                        end.isForgotten = m_setup.form != CrashForm::Reset;
                }
                m_daemons.erase(killed);
                at(m_now + 500ms + upTo(2s), [this, index] { start(index); });
            }
        }
        if (m_setup.disturbance != Disturbance::Crashes)
            return;
        if (isOneIn(700)) {
            for (auto &[id, target] : m_targets) {
                if (isOneIn(2))
                    crash(id);
            }
        }
        if (isOneIn(20)) { // One connection breaks.
            for (auto &[id, target] : m_targets) {
                if (target.running.empty() || !isOneIn(4))
                    continue;
                const Attempt attempt = target.running.begin()->second;
                target.running.erase(target.running.begin());
                finish(attempt, AttemptEnd::AnswerLost);
                break;
            }
        }
    }

    void request(const RequestFingerprint &fingerprint)
    {
        if (m_daemons.empty())
            return;
        auto chosen = m_daemons.begin();
        std::advance(chosen, std::uniform_int_distribution<std::size_t>(0, m_daemons.size() - 1)(m_random));
        Daemon &daemon = chosen->second;
        const RequestId id = ++daemon.lastId;
        daemon.requests[id] = fingerprint;
        innocents += fingerprint == crashInducing ? 0 : 1;
        const std::string path = m_setup.isKeyed ? (m_setup.isIdempotent ? "/key/" : "/keywrite/")
                                                 : (m_setup.isIdempotent ? "/read/" : "/write/");
        const auto key = static_cast<std::uint32_t>((fingerprint.high * 31 + fingerprint.low * 7919) % (lastKey + 1));
        take(daemon,
             daemon.router.requestArrived(
                 {id, "h", path, m_setup.isKeyed ? std::optional(key) : std::nullopt, 3s, fingerprint}, m_now));
        if (m_setup.form != CrashForm::Reset && isOneIn(3)) {
            at(m_now + 200ms + upTo(500ms), [this, id, index = daemon.index, life = daemon.life] {
                if (Daemon *to = find(index, life))
                    take(*to, to->router.callerLeft(id, m_now));
            });
        }
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
                at(m_now + upTo(3ms), [this, attempt = Attempt{*send, daemon.index, daemon.life}] { arrive(attempt); });
            } else if (const auto *end = std::get_if<EndWithError>(&effect)) {
                const bool isInnocent = daemon.requests.at(end->id) != crashInducing;
                const bool isQuarantined = end->error == GatewayError::Quarantined;
                innocentsQuarantined += isInnocent && isQuarantined ? 1 : 0;
                quarantined += !isInnocent && isQuarantined ? 1 : 0;
                falselyNotRun += !end->mayHaveRun && daemon.begun.contains(end->id) ? 1 : 0;
            } else if (const auto *answer = std::get_if<ForwardAnswer>(&effect)) {
                innocentsAnswered += daemon.requests.at(answer->id) != crashInducing ? 1 : 0;
            } else if (const auto *probe = std::get_if<ProbeTarget>(&effect)) {
                at(m_now + upTo(4ms), [this, probe = *probe, index = daemon.index, life = daemon.life] {
                    const SimTarget &target = m_targets.at(probe.target.id);
                    const bool isRefused = !target.isUp && !target.isSilent;
                    if (Daemon *to = find(index, life))
                        take(*to, to->router.targetProbed(probe.service, probe.target, isRefused, m_now));
                });
            } else if (const auto *crashed = std::get_if<TargetCrashed>(&effect)) {
                if (m_setup.fault != PlantedFault::ReportsNothing)
                    take(daemon, daemon.keeper.crashed(crashed->report, daemon.ranking, m_now));
            } else if (const auto *refuted = std::get_if<QuarantineRefuted>(&effect)) {
                if (m_setup.fault != PlantedFault::BelievesNoAnswer)
                    take(daemon, daemon.keeper.refuted(refuted->request, m_now));
            }
        }
    }

    void take(Daemon &daemon, const QuarantineKeeper::Effects &effects)
    {
        for (const QuarantineEffect &effect : effects) {
            if (const auto *report = std::get_if<SendCrashReport>(&effect)) {
                send(daemon.index, report->to,
                     [this, report = report->report, from = nameOf(daemon.index)](Daemon &to) {
                         take(to, to.keeper.reported(report, from, m_now));
                     });
            } else if (const auto *sent = std::get_if<SendQuarantines>(&effect)) {
                if (m_setup.fault != PlantedFault::SpreadsNothing)
                    send(daemon.index, sent->to,
                         [this, entries = sent->entries](Daemon &to) { take(to, to.keeper.received(entries, m_now)); });
            } else if (const auto *digest = std::get_if<SendQuarantineDigest>(&effect)) {
                send(daemon.index, digest->to, [this, digest = *digest, from = nameOf(daemon.index)](Daemon &to) {
                    take(to, to.keeper.compared(from, digest.digest, digest.isReply, m_now));
                });
            } else if (const auto *changed = std::get_if<QuarantineChanged>(&effect)) {
                Quarantine quarantine = changed->quarantine;
                if (m_setup.fault == PlantedFault::BelievesNoAnswer)
                    quarantine.evidenceAge = 0ms;
                take(daemon, daemon.router.quarantineChanged(quarantine, m_now));
            }
        }
    }

    void send(std::size_t from, const std::string &to, const std::function<void(Daemon &)> &action)
    {
        const bool isDisturbed
            = m_setup.disturbance == Disturbance::Lossy || m_setup.disturbance == Disturbance::Restarts;
        const int copies = isDisturbed && isOneIn(10) ? 0 : (isDisturbed && isOneIn(30) ? 2 : 1);
        for (int copy = 0; copy < copies; ++copy) {
            at(m_now + upTo(isDisturbed && isOneIn(20) ? 300ms : 5ms), [this, from, to, action] {
                for (auto &[index, daemon] : m_daemons) {
                    if (nameOf(index) == to && index != from)
                        action(daemon);
                }
            });
        }
    }

    void arrive(const Attempt &attempt)
    {
        Daemon *daemon = find(attempt.daemon, attempt.life);
        SimTarget &target = m_targets.at(attempt.send.target.id);
        if (daemon == nullptr)
            return;
        if (target.isSilent && isOneIn(2))
            return hang(attempt); // On a connection that was open.
        if (target.isSilent) {
            constexpr Duration connectTimeout = 250ms;
            at(m_now + connectTimeout, [this, attempt] { finish(attempt, AttemptEnd::NothingSent, false); });
            return;
        }
        if (!target.isUp)
            return finish(attempt, AttemptEnd::NothingSent);
        if (target.entry.identity != attempt.send.target)
            return finish(attempt, AttemptEnd::NotOwner);
        const RequestFingerprint fingerprint = daemon->requests.at(attempt.send.id);
        daemon->begun.insert(attempt.send.id);
        const std::uint64_t number = ++m_attempts;
        target.running[number] = attempt;
        const std::string id = attempt.send.target.id;
        const std::uint64_t incarnation = attempt.send.target.incarnation;
        if (fingerprint == crashInducing) {
            m_arrivals.push_back(m_now);
            m_crashInducing.insert(number);
            at(m_now + upTo(50ms), [this, id, incarnation] {
                const SimTarget &ended = m_targets.at(id);
                if (!ended.isUp || ended.entry.identity.incarnation != incarnation)
                    return;
                crash(id);
            });
            return;
        }
        at(m_now + 20ms + upTo(100ms), [this, number, id] {
            auto &running = m_targets.at(id).running;
            const auto found = running.find(number);
            if (found == running.end())
                return;
            const Attempt done = found->second;
            running.erase(found);
            finish(done, AttemptEnd::Answered);
        });
    }

    void finish(const Attempt &attempt, AttemptEnd end, bool isRefused = true)
    {
        Daemon *daemon = find(attempt.daemon, attempt.life);
        if (daemon == nullptr)
            return;
        GatewayAttemptEnd result{attempt.send.id, attempt.send.attempt, end, false, {}};
        result.isRefused = end == AttemptEnd::NothingSent && isRefused;
        take(*daemon, daemon->router.attemptFinished(result, m_now));
    }

    std::mt19937_64 m_random;
    Setup m_setup;
    Time m_now = 1s;
    std::uint64_t m_lives = 0;
    std::uint64_t m_requests = 0;
    std::uint64_t m_attempts = 0;
    std::map<std::size_t, Daemon> m_daemons;
    std::map<std::string, SimTarget> m_targets;
    RangeOwners m_owners;
    std::multimap<Time, std::function<void()>> m_due;
    std::vector<End> m_ends;
    std::set<std::uint64_t> m_crashInducing; ///< Numbers of its attempts.
    std::vector<Time> m_arrivals; ///< Of the crash-inducing request, at targets.
};

/// A request comes every second or so: it takes the registry longer than that to notice a silent target.
Setup silently(std::size_t daemons, bool isKeyed, bool isIdempotent, Disturbance disturbance = Disturbance::None,
               CrashForm form = CrashForm::Silent)
{
    Setup setup{daemons, isKeyed, isIdempotent, true, false, disturbance};
    setup.copies = 1;
    setup.form = form;
    setup.interval = 200;
    return setup;
}

} // namespace

TEST_CASE("A request that has crashed three targets reaches no more of them, and others are served")
{
    struct Case
    {
        const char *name;
        Setup setup;
        double minAnswered = 0.8; ///< Of the other requests.
        std::size_t minEnds = 3;
        std::size_t minQuarantined = 11;
    };
    const auto [name, setup, minAnswered, minEnds, minQuarantined] = GENERATE(values<Case>({
        {"reads", {8, false, true, true, false, Disturbance::None}},
        {"writes", {8, false, false, true, false, Disturbance::None}},
        {"keyed reads", {8, true, true, true, false, Disturbance::None}},
        {"keyed writes", {11, true, false, true, false, Disturbance::None}},
        {"keyed reads, many copies at a time",
         {11, true, true, true, false, Disturbance::None, PlantedFault::None, 10}},
        {"reads, many copies at a time", {11, false, true, true, false, Disturbance::Lossy, PlantedFault::None, 10}},
        {"two daemons", {2, false, true, true, false, Disturbance::None}},
        {"many daemons", {75, true, true, true, false, Disturbance::Lossy}},
        {"lossy network", {11, false, true, true, false, Disturbance::Lossy}},
        {"daemons restart", {11, false, true, true, false, Disturbance::Restarts}},
        {"daemons restart, keyed", {11, true, true, true, true, Disturbance::Restarts}},
        {"half of the targets are killed again and again", {11, false, true, true, true, Disturbance::Crashes}, 0.7},
        // Silent: the request comes less often, and copies that found a silent target count, too.
        {"silent, reads", silently(8, false, true), 0.4, 2, 4},
        {"silent, writes", silently(8, false, false), 0.4, 2, 4},
        {"silent, keyed reads", silently(8, true, true), 0.4, 2, 4},
        {"silent, keyed writes", silently(11, true, false), 0.4, 2, 4},
        {"silent, lossy network", silently(11, false, true, Disturbance::Lossy), 0.4, 2, 4},
        {"silent, daemons restart", silently(11, false, true, Disturbance::Restarts), 0.4, 2, 4},
        {"silent, daemons restart, keyed", silently(11, true, true, Disturbance::Restarts), 0.4, 2, 4},
        {"either form, reads", silently(11, false, true, Disturbance::Lossy, CrashForm::Either), 0.4, 2, 4},
        {"either form, keyed reads", silently(11, true, true, Disturbance::Restarts, CrashForm::Either), 0.4, 2, 4},
    }));
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        INFO(name << ", seed " << seed);
        CrashWorld world(seed, setup);
        world.run();
        CHECK(world.ends() >= minEnds);
        CHECK(world.lateArrivals() <= 3);
        CHECK(world.quarantined >= minQuarantined);
        CHECK(world.falselyNotRun == 0);
        CHECK(static_cast<double>(world.innocentsAnswered) > minAnswered * static_cast<double>(world.innocents));
        CHECK(static_cast<double>(world.innocentsQuarantined) <= 0.002 * static_cast<double>(world.innocents));
    }
}

TEST_CASE("Requests that were only near crashes stay served, however often targets are killed")
{
    const auto [isKeyed, isHot] = GENERATE(table<bool, bool>({{false, false}, {false, true}, {true, true}}));
    const CrashForm form = GENERATE(CrashForm::Reset, CrashForm::Silent, CrashForm::Either);
    INFO((isKeyed ? "keyed" : "not keyed")
         << (isHot ? ", many equal requests" : "") << ", form " << static_cast<int>(form));
    for (std::uint64_t seed = 1; seed <= 15; ++seed) {
        INFO("seed " << seed);
        Setup setup{11, isKeyed, true, false, isHot, Disturbance::Crashes};
        setup.form = form;
        CrashWorld world(seed, setup);
        world.run();
        CHECK(static_cast<double>(world.innocentsQuarantined) <= 0.002 * static_cast<double>(world.innocents));
    }
}

TEST_CASE("The checks of quarantines fail without reports, spreading or the evidence of answers")
{
    const auto late = [](PlantedFault fault) {
        CrashWorld world(1, {11, true, true, true, false, Disturbance::None, fault});
        world.run();
        return world.lateArrivals();
    };
    CHECK(late(PlantedFault::ReportsNothing) > 3);
    CHECK(late(PlantedFault::SpreadsNothing) > 3);
    std::size_t quarantined = 0;
    for (std::uint64_t seed = 1; seed <= 15; ++seed) {
        CrashWorld world(seed, {11, false, true, false, true, Disturbance::Crashes, PlantedFault::BelievesNoAnswer});
        world.run();
        quarantined += world.innocentsQuarantined;
    }
    CHECK(quarantined > 100);
}
