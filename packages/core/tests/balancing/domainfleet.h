#pragma once

#include "../routerbench.h"

#include <cstdint>
#include <deque>
#include <queue>

namespace sardinehinge::core::tests {

/// Settings of DomainFleet.
struct FleetSettings
{
    std::size_t daemons = 20; ///< In each failure domain.
    std::size_t targets = 8; ///< In each failure domain.
    std::uint32_t slots = 4; ///< Of each target.
    std::size_t waiting = 12; ///< Requests that a target queues beyond its slots; it refuses more.
    Duration work = 100ms; ///< In the mean; half to one and a half times as long.
    Duration crossing = 2ms; ///< There and back to the other failure domain.
    std::array<double, 2> load = {0.5, 0.5}; ///< Demand of each failure domain as a share of its own slots.
    bool reportsLoad = false; ///< Whether targets report their load.
    Duration reportAge = 0ms; ///< Of an answer, and of the report in it, when it arrives.
    double slowest
        = 1; ///< Work takes from 1 to this many times as long, by target, and another factor each `factorTime`.
    Duration factorTime = 150ms;
    GatewayLimits limits;
    std::uint64_t seed = 1;
};

/// Two failure domains with daemons and targets in virtual time. The daemons know nothing of each other.
class DomainFleet
{
public:
    struct Counts
    {
        std::array<std::uint64_t, 2> arrived{}; ///< By failure domain of the caller.
        std::array<std::uint64_t, 2> served{};
        std::array<std::uint64_t, 2> rejected{};
        std::array<std::uint64_t, 2> crossed{}; ///< Attempts sent to the other failure domain.
        std::array<Duration, 2> time{}; ///< Of the served ones.

        double crossedShare(std::size_t domain) const
        {
            return static_cast<double>(crossed.at(domain))
                / static_cast<double>(std::max<std::uint64_t>(1, arrived.at(domain)));
        }
        double meanMs(std::size_t domain) const
        {
            return std::chrono::duration<double, std::milli>(time.at(domain)).count()
                / static_cast<double>(std::max<std::uint64_t>(1, served.at(domain)));
        }
        double servedShare(std::size_t domain) const
        {
            return static_cast<double>(served.at(domain))
                / static_cast<double>(std::max<std::uint64_t>(1, arrived.at(domain)));
        }
    };

    explicit DomainFleet(const FleetSettings &settings)
        : m_settings(settings)
        , m_random(settings.seed)
    {
        for (std::size_t domain = 0; domain < 2; ++domain) {
            for (std::size_t index = 0; index < settings.targets; ++index)
                m_targets.push_back({domain, 0, {}, 1, 1});
            for (std::size_t index = 0; index < settings.daemons; ++index) {
                m_daemons.push_back(
                    {domain, std::make_unique<GatewayRouter>(m_random(), nameOf(domain), settings.limits), {}});
                m_daemons.back().router->setConfig(configOf());
                m_daemons.back().router->setDaemonCount(2 * settings.daemons);
            }
        }
        announceTargets();
        changeFactors();
        schedule(m_now + 10ms, [this] { observe(); });
        for (std::size_t daemon = 0; daemon < m_daemons.size(); ++daemon) {
            scheduleArrival(daemon);
            schedule(m_now + 10ms, [this, daemon] { tick(daemon); });
        }
    }

    void setLoad(std::size_t domain, double load) { m_settings.load.at(domain) = load; }
    /// Removes the targets of a failure domain, with the requests that they run, or brings them back.
    void setLost(std::size_t domain, bool isLost)
    {
        m_isLost.at(domain) = isLost;
        for (Target &target : m_targets) {
            if (target.domain != domain)
                continue;
            target.running = 0;
            target.queue.clear();
            ++target.incarnation;
        }
        announceTargets();
    }

    void run(Duration time)
    {
        for (const Time end = m_now + time; !m_events.empty() && m_events.top().at <= end;) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.act();
        }
    }

    /// Returns the highest number of requests at a target, relative to the mean over all, in the mean over time.
    double meanPeak() const { return m_peakSum / static_cast<double>(std::max<std::uint64_t>(1, m_observations)); }
    Counts takeCounts() { return std::exchange(m_counts, {}); }
    Time now() const noexcept { return m_now; }

private:
    struct Target
    {
        std::size_t domain = 0;
        std::uint32_t running = 0;
        std::deque<std::function<void()>> queue;
        std::uint64_t incarnation = 1;
        double factor = 1;
    };

    struct Daemon
    {
        std::size_t domain = 0;
        std::unique_ptr<GatewayRouter> router;
        std::map<RequestId, Time> arrivals;
    };

    struct Event
    {
        Time at;
        std::uint64_t number;
        std::function<void()> act;

        bool operator<(const Event &other) const noexcept
        {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };

    static std::string nameOf(std::size_t domain) { return domain == 0 ? "a" : "b"; }

    void schedule(Time at, std::function<void()> act) { m_events.push({at, ++m_eventNumber, std::move(act)}); }

    void announceTargets()
    {
        std::vector<RegisteredTarget> registered;
        for (std::size_t index = 0; index < m_targets.size(); ++index) {
            const Target &target = m_targets[index];
            if (m_isLost.at(target.domain))
                continue;
            RegisteredTarget entry;
            entry.identity = {std::to_string(index), target.incarnation};
            entry.service = plain;
            entry.address = entry.identity.id;
            entry.failureDomain = nameOf(target.domain);
            entry.slots = m_settings.slots;
            registered.push_back(entry);
        }
        for (std::size_t daemon = 0; daemon < m_daemons.size(); ++daemon)
            carryOut(daemon, m_daemons[daemon].router->setTargets(registered, m_now));
    }

    void changeFactors()
    {
        std::uniform_real_distribution<double> factor(1, std::max(m_settings.slowest, 1.000001));
        for (Target &target : m_targets)
            target.factor = factor(m_random);
        schedule(m_now + m_settings.factorTime, [this] { changeFactors(); });
    }

    void observe()
    {
        double sum = 0;
        double most = 0;
        for (const Target &target : m_targets) {
            const double held = static_cast<double>(target.running) + static_cast<double>(target.queue.size());
            sum += held;
            most = std::max(most, held);
        }
        if (sum > 0) {
            m_peakSum += most * static_cast<double>(m_targets.size()) / sum;
            ++m_observations;
        }
        schedule(m_now + 10ms, [this] { observe(); });
    }

    void scheduleArrival(std::size_t daemon)
    {
        const std::size_t domain = m_daemons[daemon].domain;
        const double capacity = static_cast<double>(m_settings.targets * m_settings.slots)
            / std::chrono::duration<double>(m_settings.work).count();
        const double rate = m_settings.load.at(domain) * capacity / static_cast<double>(m_settings.daemons);
        std::exponential_distribution<double> gap(rate);
        schedule(m_now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(m_random))),
                 [this, daemon] { arrive(daemon); });
    }

    void arrive(std::size_t index)
    {
        Daemon &daemon = m_daemons[index];
        ++m_counts.arrived.at(daemon.domain);
        daemon.arrivals[++m_lastId] = m_now;
        carryOut(index, daemon.router->requestArrived({m_lastId, "h", "/read/x", std::nullopt, 3s}, m_now));
        scheduleArrival(index);
    }

    void tick(std::size_t daemon)
    {
        carryOut(daemon, m_daemons[daemon].router->tick(m_now));
        schedule(m_now + 10ms, [this, daemon] { tick(daemon); });
    }

    void carryOut(std::size_t daemon, const GatewayRouter::Effects &effects)
    {
        for (const GatewayEffect &effect : effects) {
            if (const auto *send = std::get_if<SendToTarget>(&effect))
                this->send(daemon, *send);
            else if (const auto *end = std::get_if<EndWithError>(&effect))
                ended(daemon, end->id, false);
            else if (const auto *answer = std::get_if<ForwardAnswer>(&effect))
                ended(daemon, answer->id, true);
        }
    }

    void ended(std::size_t index, RequestId id, bool isServed)
    {
        Daemon &daemon = m_daemons[index];
        const auto arrival = daemon.arrivals.extract(id);
        if (arrival.empty())
            return;
        ++(isServed ? m_counts.served : m_counts.rejected).at(daemon.domain);
        if (isServed)
            m_counts.time.at(daemon.domain) += m_now - arrival.mapped();
    }

    void send(std::size_t daemon, const SendToTarget &send)
    {
        const std::size_t index = std::stoul(send.target.id);
        const bool crosses = m_targets[index].domain != m_daemons[daemon].domain;
        m_counts.crossed.at(m_daemons[daemon].domain) += crosses ? 1 : 0;
        const Duration way = crosses ? m_settings.crossing / 2 : Duration(0);
        schedule(m_now + way, [this, daemon, send, index, way] { reach(daemon, send, index, way); });
    }

    void reach(std::size_t daemon, const SendToTarget &send, std::size_t index, Duration way)
    {
        Target &target = m_targets[index];
        if (m_isLost.at(target.domain) || target.incarnation != send.target.incarnation)
            return answer(daemon, send, AttemptEnd::NothingSent, way);
        if (target.running < m_settings.slots)
            return work(daemon, send, index, way);
        if (target.queue.size() >= m_settings.waiting)
            return answer(daemon, send, AttemptEnd::Shed, way);
        target.queue.push_back([this, daemon, send, index, way] { work(daemon, send, index, way); });
    }

    void work(std::size_t daemon, const SendToTarget &send, std::size_t index, Duration way)
    {
        ++m_targets[index].running;
        std::uniform_real_distribution<double> spread(0.5, 1.5);
        const auto time
            = std::chrono::duration_cast<Duration>(m_settings.work * spread(m_random) * m_targets[index].factor);
        const std::uint64_t incarnation = m_targets[index].incarnation;
        schedule(m_now + time, [this, daemon, send, index, way, incarnation] {
            Target &target = m_targets[index];
            if (target.incarnation != incarnation)
                return answer(daemon, send, AttemptEnd::AnswerLost, way);
            --target.running;
            if (!target.queue.empty()) {
                const auto next = std::move(target.queue.front());
                target.queue.pop_front();
                next();
            }
            answer(daemon, send, AttemptEnd::Answered, way, index);
        });
    }

    void answer(std::size_t daemon, const SendToTarget &send, AttemptEnd end, Duration way,
                std::optional<std::size_t> reporting = std::nullopt)
    {
        TargetNotice notice;
        if (reporting && m_settings.reportsLoad) {
            const Target &target = m_targets[*reporting];
            notice.load = LoadReport{target.running, static_cast<std::uint32_t>(target.queue.size()), m_settings.slots,
                                     target.factor};
        }
        schedule(m_now + way + m_settings.reportAge, [this, daemon, send, end, notice] {
            carryOut(daemon,
                     m_daemons[daemon].router->attemptFinished({send.id, send.attempt, end, false, notice}, m_now));
        });
    }

    FleetSettings m_settings;
    std::mt19937_64 m_random;
    Time m_now = 1s;
    std::uint64_t m_eventNumber = 0;
    RequestId m_lastId = 0;
    std::priority_queue<Event> m_events;
    std::vector<Target> m_targets;
    std::vector<Daemon> m_daemons;
    std::array<bool, 2> m_isLost{};
    Counts m_counts;
    double m_peakSum = 0;
    std::uint64_t m_observations = 0;
};

} // namespace sardinehinge::core::tests
