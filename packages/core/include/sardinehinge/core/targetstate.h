#pragma once

#include <sardinehinge/core/balancing/loadreport.h>
#include <sardinehinge/core/ratepermits.h>
#include <sardinehinge/core/target.h>
#include <sardinehinge/core/targetscore.h>

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace sardinehinge::core {

/// Longest quiet time that is obeyed. A longer one that a target asks for counts as this.
constexpr Duration maxQuietTime = std::chrono::minutes(5);

/// How long beliefs about a target whose entry has vanished from the registry are kept. A lapsed entry comes back
/// within seconds of the end of an outage; no quiet time is longer.
constexpr Duration beliefRetention = maxQuietTime;

/// What a target says about itself in an answer.
struct TargetNotice
{
    bool isLeaving = false; ///< It is about to stop.
    std::optional<Duration> quietFor = std::nullopt; ///< It wants no request from this daemon for this time.
    std::optional<double> rateLimit = std::nullopt; ///< Requests a second that it accepts from all daemons together.
    std::optional<LoadReport> load = std::nullopt;

    /// Whether it changes no belief about the target; its load isn't one.
    bool isEmpty() const noexcept { return !isLeaving && !quietFor && !rateLimit; }
    bool operator==(const TargetNotice &) const = default;
};

enum class TargetSignal {
    Leaving,
    Quiet,
    RateLimit,
};

/// Which answer carried a notice.
enum class SignalSource {
    Request, ///< The answer to a request.
    Order, ///< The answer to a grant or a release.
};

/// A belief about a target that began or ended.
struct BeliefChange
{
    TargetSignal signal = TargetSignal::Leaving;
    SignalSource source = SignalSource::Request;
    bool hasBegun = false; ///< False: it ended.
    Duration time = 0ms; ///< How long it will last when it begins, 0 if not known; how long it lasted when it ends.
    double rate = 0; ///< With TargetSignal::RateLimit: requests a second.

    bool operator==(const BeliefChange &) const = default;
};

/// The condition of a target that decides most about new requests, in rising order of severity.
enum class TargetCondition : std::uint8_t {
    Ready,
    WarmingUp,
    RateLimited,
    Ejected,
    Quiet,
    Draining, ///< The registry says so.
    Leaving, ///< The target says so.
};
constexpr std::size_t targetConditions = 7;

/// Parameters of TargetState.
struct TargetTiming
{
    Duration drainBound = std::chrono::seconds(2); ///< From a target's leaving to its last keyed request.
    Duration drainMargin = std::chrono::milliseconds(300); ///< For requests that are on their way at its end.
    Duration readmissionInterval = std::chrono::milliseconds(50); ///< Shortest time between requests after a quiet
                                                                  ///< time, so that not all that waited arrive at once.
    Duration readmissionTime = std::chrono::seconds(1); ///< How long that interval applies.

    bool operator==(const TargetTiming &) const = default;
};

/// What one daemon believes of one incarnation of a target from the target's own answers. Outlives the target's entry
/// in the registry, which may only have lapsed.
class TargetBeliefs
{
public:
    /// Takes in a notice and returns the beliefs that begin or have ended. Several quiet times are all obeyed: the one
    /// that ends last decides.
    std::vector<BeliefChange> take(const TargetNotice &notice, SignalSource source, Time now);
    /// Returns the beliefs that have ended since the last call.
    std::vector<BeliefChange> takeEnded(Time now);
    /// Returns all beliefs as ended: another incarnation runs, or the target's entry is gone for good.
    std::vector<BeliefChange> drop(Time now) const;

    /// Returns the belief that the target is leaving, if there is one, as if it began now.
    std::vector<BeliefChange> leaving() const;
    bool isLeaving() const noexcept { return m_leavingSince.has_value(); }
    std::optional<Time> leavingSince() const noexcept { return m_leavingSince; }
    bool isQuiet(Time now) const noexcept { return now < m_quietUntil; }
    Time quietUntil() const noexcept { return m_quietUntil; }
    /// Requests a second that the target accepts from all daemons together; std::nullopt: any number.
    std::optional<double> rateLimit() const noexcept { return m_rateLimit; }
    /// Ends the rate limit if a request sent at `sentAt` was answered without one. An answer to an earlier request may
    /// be older than the limit.
    std::vector<BeliefChange> answeredWithoutLimit(Time sentAt, Time now);
    bool isAny(Time now) const noexcept { return isLeaving() || isQuiet(now) || m_rateLimit; }

private:
    BeliefChange limitEnded(Time now) const;

    std::optional<Time> m_leavingSince;
    SignalSource m_leavingSource = SignalSource::Request;
    Time m_quietUntil = 0ms;
    Time m_quietSince = 0ms;
    SignalSource m_quietSource = SignalSource::Request;
    bool m_isQuietOpen = false; ///< The end of the quiet time hasn't been returned by takeEnded().
    std::optional<double> m_rateLimit;
    Time m_limitSince = 0ms; ///< When the current rate was first named.
    Time m_limitNamedAt = 0ms; ///< By the latest answer that named one.
    SignalSource m_limitSource = SignalSource::Request;
};

/// Everything that one daemon knows of whether an incarnation of a target may be sent requests: its own notices, its
/// entry in the registry, and its score. Does no I/O and reads no clock.
class TargetState
{
public:
    explicit TargetState(TargetTiming timing = {})
        : m_timing(timing)
    {
    }

    /// Takes in the target's entry in the registry.
    void registered(const RegisteredTarget &entry, Time now) noexcept;
    std::vector<BeliefChange> take(const TargetNotice &notice, SignalSource source, Time now);
    void requestSent(Time now) noexcept;

    /// Whether the target may be sent requests that another target could serve, now or after a quiet time.
    bool isStaying() const noexcept { return !m_beliefs.isLeaving() && !m_drainingSince; }
    /// Whether the target is staying and wants requests now. A target that has had a quiet time takes them at a pace.
    bool admits(Time now) const noexcept { return now >= m_admitsFrom; }
    /// When the next request may be sent, unless the target leaves.
    Time nextRequest() const noexcept { return m_nextRequest; }
    /// When a leaving owner's last request may be sent; std::nullopt if it stays. Its keys are handed over until then.
    std::optional<Time> keyedEnd() const noexcept;
    bool isQuiet(Time now) const noexcept { return m_beliefs.isQuiet(now); }
    bool isWarmingUp(Time now) const noexcept { return now < m_warmupEnd; }
    /// Whether each request to the target needs a permit.
    bool isRateLimited(Time now) const noexcept { return rateLimit(now).has_value(); }
    /// Requests a second that the target accepts from all daemons together, by its own answers and because it is cold;
    /// std::nullopt: any number.
    std::optional<double> rateLimit(Time now) const noexcept;
    /// Whether no permit is needed now, or one can be used.
    bool isPermitted(Time now) noexcept { return !isRateLimited(now) || m_permits.isUsable(now); }
    RatePermits &permits() noexcept { return m_permits; }
    const RatePermits &permits() const noexcept { return m_permits; }
    TargetCondition condition(Time now) const noexcept;

    TargetBeliefs &beliefs() noexcept { return m_beliefs; }
    const TargetBeliefs &beliefs() const noexcept { return m_beliefs; }
    /// As TargetBeliefs::answeredWithoutLimit().
    std::vector<BeliefChange> answeredWithoutLimit(Time sentAt, Time now)
    {
        return m_beliefs.answeredWithoutLimit(sentAt, now);
    }
    /// Restores what was believed of the same incarnation before its entry vanished.
    void restore(const TargetBeliefs &beliefs);
    TargetScore &score() noexcept { return m_score; }
    const TargetScore &score() const noexcept { return m_score; }
    /// Takes in the load that an answer reported.
    void loadReported(const LoadReport &report, Time now) noexcept { m_load.take(report, m_score.inFlight(), now); }
    const ReportedLoad &load() const noexcept { return m_load; }
    /// Expected cost of one more request, as TargetScore::cost(). `usualTime`: of a request of the service.
    double cost(bool isRemote, Duration usualTime, Time now) const noexcept;

private:
    void setNextRequest(Time next) noexcept;

    TargetTiming m_timing;
    TargetBeliefs m_beliefs;
    TargetScore m_score;
    ReportedLoad m_load;
    RatePermits m_permits;
    std::optional<Time> m_drainingSince; ///< By the registry.
    Time m_warmupEnd = 0ms;
    double m_coldRate = 0; ///< Until m_warmupEnd; 0: not limited.
    Time m_nextRequest = 0ms;
    Time m_admitsFrom = 0ms; ///< Of all the above, for the choice among many targets.
};

/// Beliefs about targets whose entries have vanished from the registry: a lapsed entry comes back with the same
/// incarnation. Bounded in time and number.
class DepartedTargets
{
public:
    static constexpr std::size_t maxTargets = 256; ///< The oldest gives way.

    struct Departed
    {
        TargetIdentity target;
        TargetBeliefs beliefs;
        Time since = 0ms;
    };

    /// Returns the beliefs about the target, which it creates if needed.
    TargetBeliefs &beliefs(const TargetIdentity &target, Time now);
    std::optional<TargetBeliefs> take(const TargetIdentity &target);
    /// Removes those whose retention has ended, and returns them.
    std::vector<Departed> expire(Time now);

private:
    std::vector<Departed> m_targets; ///< By age.
};

} // namespace sardinehinge::core
