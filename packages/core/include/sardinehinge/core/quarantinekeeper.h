#pragma once

#include <sardinehinge/core/daemonranking.h>
#include <sardinehinge/core/quarantine.h>

#include <random>
#include <string>
#include <variant>
#include <vector>

/// Counts the crashes of requests and spreads quarantines among the daemons.
namespace sardinehinge::core {

/// Sends a report to a daemon that counts the request's crashes.
struct SendCrashReport
{
    std::string to;
    CrashReport report;

    bool operator==(const SendCrashReport &) const = default;
};

/// Sends quarantines that a daemon may not know of.
struct SendQuarantines
{
    std::string to;
    std::vector<Quarantine> entries; ///< QuarantineKeeper::maxEntries at most.

    bool operator==(const SendQuarantines &) const = default;
};

/// Asks a daemon whether it knows the same quarantines; see QuarantineKeeper::compared().
struct SendQuarantineDigest
{
    std::string to;
    std::uint64_t digest = 0;
    bool isReply = false;

    bool operator==(const SendQuarantineDigest &) const = default;
};

/// A quarantine began, or was lifted. For this daemon's router, and the log.
struct QuarantineChanged
{
    Quarantine quarantine;

    bool operator==(const QuarantineChanged &) const = default;
};

/// A quarantine's time is over. For the log.
struct QuarantineExpired
{
    RequestFingerprint request;

    bool operator==(const QuarantineExpired &) const = default;
};

/// A crash was counted. For the log.
struct CrashCounted
{
    CrashReport report;
    std::size_t crashes = 0; ///< Of equal requests.

    bool operator==(const CrashCounted &) const = default;
};

using QuarantineEffect = std::variant<SendCrashReport, SendQuarantines, SendQuarantineDigest, QuarantineChanged,
                                      QuarantineExpired, CrashCounted>;

/// One daemon's part in it. Does no I/O.
class QuarantineKeeper
{
public:
    using Effects = std::vector<QuarantineEffect>;

    /// Daemons to which each one passes news on. With 8, some 0.03% of a large fleet miss it and learn of it by
    /// comparison.
    static constexpr std::size_t spreadWidth = 8;
    /// Daemons with which each one compares its quarantines at each `comparisonInterval` while it knows any. A daemon
    /// that missed news is asked by four others a second on average.
    static constexpr std::size_t comparisonWidth = 2;
    static constexpr Duration comparisonInterval = std::chrono::milliseconds(500);
    static constexpr std::size_t maxEntries = 32; ///< Of one message.

    QuarantineKeeper(std::string self, std::uint64_t seed);

    /// Adds another daemon. Call it once for each.
    void addDaemon(const std::string &daemon);
    /// Takes in a crash that this daemon saw.
    Effects crashed(const CrashReport &report, const DaemonRanking &ranking, Time now);
    /// Takes in a crash that another daemon reported.
    Effects reported(const CrashReport &report, const std::string &from, Time now);
    /// Takes in that a target has answered a quarantined request.
    Effects refuted(const RequestFingerprint &request, Time now);
    /// Takes in another daemon's quarantines.
    Effects received(const std::vector<Quarantine> &quarantines, Time now);
    /// Takes in another daemon's digest.
    Effects compared(const std::string &from, std::uint64_t digest, bool isReply, Time now);
    /// Takes in that a daemon has started. A few of all daemons send it the quarantines.
    Effects daemonStarted(const std::string &daemon, Time now);
    /// Call it several times a second.
    Effects tick(Time now);
    std::size_t inForce() const noexcept { return m_list.inForce(); }

private:
    void count(const CrashReport &report, const std::string &from, Time now);
    void spread(const Quarantine &quarantine, Time now);
    void sendAll(const std::string &to, Time now);
    std::vector<std::string> randomDaemons(std::size_t count);
    Effects takeEffects();

    std::string m_self;
    std::mt19937_64 m_random;
    std::vector<std::string> m_others;
    CrashCounter m_counter;
    QuarantineList m_list;
    Time m_nextComparison = 0ms;
    Effects m_effects;
};

} // namespace sardinehinge::core
