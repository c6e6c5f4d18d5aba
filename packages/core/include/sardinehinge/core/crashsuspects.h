#pragma once

#include <sardinehinge/core/keyrange.h>
#include <sardinehinge/core/quarantine/targetloss.h>
#include <sardinehinge/core/types.h>

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

/// Finds the requests that may have crashed the targets that ran them.
namespace sardinehinge::core {

/// Identifies equal requests, whoever sends them on: a cryptographic hash of what the caller said, without what differs
/// between its attempts. The adapter computes it.
struct RequestFingerprint
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    bool isSet() const noexcept { return high != 0 || low != 0; }
    auto operator<=>(const RequestFingerprint &) const = default;
};

/// 32 hexadecimal digits.
std::string toString(const RequestFingerprint &fingerprint);

/// A target ended while it had the request.
struct CrashReport
{
    RequestFingerprint request;
    TargetIdentity target;
    Duration sentAgo = 0ms; ///< Since the request was sent to the target.
    Duration endedAgo = 0ms; ///< Since the request's connection closed, or the daemon stopped waiting.
    std::uint32_t copies = 1; ///< Equal requests that the daemon had sent to the target.

    bool operator==(const CrashReport &) const = default;
};

/// Whether two reports of equal requests at one target, of the same time, may both be of requests that it had when it
/// ended.
bool areCopies(const CrashReport &one, const CrashReport &other) noexcept;

/// What one daemon saw of requests whose response was lost. A lost response alone says little: connections break, and
/// overloaded targets close them or are slow. Only the end of the target's process makes its requests suspects, as
/// targetloss.h lists; those that didn't cause it are answered when they are sent again. Does no I/O.
class CrashSuspects
{
public:
    /// How long after a lost response the end of the target is put down to its requests. Covers the time in which the
    /// registry notices a silent target.
    static constexpr Duration evidenceTime = std::chrono::seconds(10);
    static constexpr Duration suspicionTime = std::chrono::seconds(60);
    static constexpr Duration probeInterval = std::chrono::milliseconds(300); ///< For one target.
    static constexpr std::size_t maxLosses = 512; ///< The oldest gives way, as below.
    static constexpr std::size_t maxSilent = 2048; ///< Silent losses. The oldest gives way.
    static constexpr std::size_t maxSilentOfTarget = 32; ///< The same of one target, so that a slow one takes no more.
    static constexpr std::size_t maxSuspects = 1024;
    static constexpr std::size_t maxSuccesses = 4096;

    /// Records that the request ended without a response. Returns whether to find out now whether the target still
    /// accepts connections: if it closed one.
    bool lost(const RequestFingerprint &request, const TargetIdentity &target, Time sentAt, Time now,
              TargetLoss loss = TargetLoss::ConnectionClosed);
    /// Records that the target answered a request sent at `sentAt`: it was alive later than that.
    void targetAnswered(const TargetIdentity &target, Time sentAt);
    /// Records that the target's process has ended. Returns a report for each request that this makes a suspect.
    std::vector<CrashReport> targetEnded(const TargetIdentity &target, LifeEnd end, Time now);
    /// Records that a target answered the request, which ends the suspicion.
    void answered(const RequestFingerprint &request, Time now);
    /// Whether a response to the request was lost, and none came since.
    bool isSuspect(const RequestFingerprint &request, Time now) const;
    /// Whether a target answered the request at this time or later.
    bool wasAnsweredSince(const RequestFingerprint &request, Time since) const;

private:
    struct Loss
    {
        RequestFingerprint request;
        TargetIdentity target;
        Time sentAt = 0ms;
        Time lostAt = 0ms;
        TargetLoss loss = TargetLoss::ConnectionClosed;
    };

    void addSilent(const Loss &loss, Time now);
    static void report(const Loss &loss, Time now, std::vector<CrashReport> &reports);

    std::deque<Loss> m_losses; ///< Of closed connections, by age.
    std::deque<Loss> m_silent; ///< The others, by age. They make no suspect until the target has ended.
    std::map<RequestFingerprint, Time> m_suspects; ///< Time of the latest loss.
    std::map<RequestFingerprint, Time> m_answered; ///< Time of the latest answer.
    std::deque<std::pair<Time, RequestFingerprint>> m_answeredOrder;
    std::map<TargetIdentity, Time> m_probed;
};

} // namespace sardinehinge::core
