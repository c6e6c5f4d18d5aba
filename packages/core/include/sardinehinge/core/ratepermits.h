#pragma once

#include <sardinehinge/core/daemonranking.h>
#include <sardinehinge/core/keyrange.h>
#include <sardinehinge/core/types.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Keeps the requests of all daemons together within the rate that a target accepts.
///
/// Every request to a rate-limited target needs a permit. One daemon per target, the coordinator, gives them out at the
/// target's rate (Raghavan et al. 2007 and Google's Doorman divide the rate among the clients instead; with permits no
/// share is wasted on a daemon without requests, and thousands of daemons need none in advance). The coordinator is
/// found by DaemonRanking. It needs no stored state: a new one starts without saved permits, and permits are
/// short-lived, so a change of coordinator exceeds the rate only briefly.
namespace sardinehinge::core {

/// How long an unused permit lasts. Longer than a delayed dispatch of the request that it was asked for.
constexpr Duration permitLifetime = std::chrono::milliseconds(250);

/// Requests a second to a target that accepts fewer, or none: its answers show whether it still limits its rate.
constexpr double minPermitRate = 0.25;

/// Asks the coordinator for permits.
struct PermitRequest
{
    std::string service;
    TargetIdentity target;
    double rate = 0; ///< Requests a second that the target accepts from all daemons, as the sender knows it.
    std::uint32_t wanted = 1; ///< 0: only whether the coordinator answers is wanted.
    Duration maxWait = 0ms; ///< Permits that can be used only after this time are not wanted.
    std::uint64_t number = 0; ///< Distinguishes the requests of one daemon for one target.

    bool operator==(const PermitRequest &) const = default;
};

/// The coordinator's answer.
struct PermitGrant
{
    std::string service;
    TargetIdentity target;
    std::uint64_t number = 0; ///< Of the request.
    std::uint32_t count = 0;
    Duration startsIn = 0ms; ///< Until the first permit may be used; below 0 for permits that were saved up.
    Duration interval = 0ms; ///< Between two permits.
    Duration retryIn = 0ms; ///< Time after which more may be asked for; 0: at any time.

    bool operator==(const PermitGrant &) const = default;
};

/// Gives out permits for targets at their rates (generic cell rate algorithm, ITU-T I.371). Does no I/O.
class PermitAllocator
{
public:
    /// Permits that weren't asked for are saved up for this long. With `permitLifetime` and delays on the way, the
    /// requests in any 4 s stay well below one and a half times the rate.
    static constexpr Duration burstTime = std::chrono::milliseconds(250);
    /// Requests for permits a second for one target. Daemons that are denied permits are spread over the time that this
    /// takes.
    static constexpr int maxRequestRate = 200;
    static constexpr Duration maxRetryTime = std::chrono::seconds(60);
    static constexpr std::size_t maxTargets = 4096;

    /// `from`: the daemon that asks. `firstWait`: before the first permit for a target that isn't known yet.
    PermitGrant handle(const PermitRequest &request, Time now, Duration firstWait = 0ms);

private:
    struct Target
    {
        double rate = 0;
        Time rateNamedAt = 0ms;
        Time next = 0ms; ///< When the next permit may be used.
        Time lastRequest = 0ms;
        Time nextRetry = 0ms; ///< When the daemon that is denied a permit next may ask again.
    };

    Target &targetFor(const TargetIdentity &identity, Time now, Duration firstWait);
    static void updateRate(Target &target, double rate, Time now);
    static Duration retryTime(Target &target, Time nextPermit, Time now);

    std::map<TargetIdentity, Target> m_targets;
};

/// Sends a request for permits to the coordinator.
struct AskCoordinator
{
    std::string to;
    PermitRequest request;

    bool operator==(const AskCoordinator &) const = default;
};

/// Answers another daemon's request.
struct AnswerDaemon
{
    std::string to;
    PermitGrant grant;

    bool operator==(const AnswerDaemon &) const = default;
};

/// Hands permits to this daemon's router.
struct DeliverPermits
{
    PermitGrant grant;

    bool operator==(const DeliverPermits &) const = default;
};

/// Reports, for the log, that a coordinator didn't answer.
struct CoordinatorSilent
{
    std::string daemon;
    TargetIdentity target;

    bool operator==(const CoordinatorSilent &) const = default;
};

using BrokerEffect = std::variant<AskCoordinator, AnswerDaemon, DeliverPermits, CoordinatorSilent>;

/// Gets permits for this daemon's router, and is the coordinator of the targets for which this daemon is the first.
/// Does no I/O.
class PermitBroker
{
public:
    using Effects = std::vector<BrokerEffect>;

    static constexpr Duration answerTime = std::chrono::milliseconds(60); ///< After it, the request is sent again.
    static constexpr int maxSends = 3; ///< To one coordinator; it counts as silent after that.
    /// Share of the rate that a daemon gives out while another one should be the coordinator.
    static constexpr double standInShare = 0.5;

    /// Takes in a request of this daemon's router. It is answered by one DeliverPermits, if need be after a while.
    Effects wanted(const PermitRequest &request, const DaemonRanking &ranking, Time now);
    /// Takes in another daemon's request. If by this daemon's knowledge another one is the coordinator, some daemons
    /// may ask that one: then it gets only a share of the rate, and the coordinator is asked whether it answers.
    Effects requested(const std::string &from, const PermitRequest &request, const DaemonRanking &ranking, Time now);
    /// Takes in a coordinator's answer.
    Effects granted(const PermitGrant &grant);
    /// Looks after requests without an answer. Call it every 30 ms or so while isWaiting().
    Effects tick(DaemonRanking &ranking, Time now);
    bool isWaiting() const noexcept { return !m_pending.empty(); }

private:
    struct Pending
    {
        PermitRequest request;
        std::string to;
        Time askedAt = 0ms;
        Time sentAt = 0ms;
        int sends = 1;
    };

    BrokerEffect ask(const PermitRequest &request, const DaemonRanking &ranking, Time now);

    PermitAllocator m_allocator;
    PermitAllocator m_standIn; ///< While another daemon should be the coordinator.
    PermitAllocator m_ownShare; ///< While no coordinator answers.
    std::map<TargetIdentity, Pending> m_pending;
};

/// The permits that a router holds for one target.
class RatePermits
{
public:
    /// A request for permits that isn't answered for so long was lost.
    static constexpr Duration answerTimeout = std::chrono::seconds(1);

    bool isUsable(Time now) noexcept;
    void take(Time now) noexcept;
    /// Number of permits that can be used now or later.
    std::size_t count(Time now) noexcept;
    /// When the permit at this position, from 0, can be used. `position` must be below count().
    Time usableFrom(std::size_t position) const noexcept { return m_usableFrom[position]; }
    /// Whether more permits may be asked for: no request is under way, and none was denied lately.
    bool mayAsk(Time now) const noexcept;
    bool isAsking(Time now) const noexcept { return m_isAsking && now < m_askedAt + answerTimeout; }
    /// Records a request for permits and returns its number.
    std::uint64_t ask(Time now) noexcept;
    void granted(const PermitGrant &grant, Time now);
    /// When more permits may be asked for, after a request was denied.
    Time deniedUntil() const noexcept { return m_deniedUntil; }

private:
    void dropExpired(Time now) noexcept;

    std::deque<Time> m_usableFrom; ///< In rising order.
    bool m_isAsking = false;
    Time m_askedAt = 0ms;
    std::uint64_t m_number = 0;
    Time m_deniedUntil = 0ms;
};

} // namespace sardinehinge::core
