#pragma once

#include <sardinehinge/core/crashsuspects.h>

#include <map>
#include <optional>
#include <vector>

/// Keeps crash-inducing requests from all targets.
///
/// A few daemons by request, found by DaemonRanking, count the targets that ended while they had the request, whichever
/// daemons reported it. After the third the request is quarantined. Quarantines spread from daemon to daemon (rumour
/// mongering and anti-entropy; Demers et al., 1987), at a cost for each daemon that doesn't grow with the fleet. No
/// daemon sends a quarantined request to a target until its time is over, or until a daemon reports that a target has
/// answered it since: then something else ended the targets. Nothing is stored: counts are lost with their daemon,
/// but others count, too, and all daemons know the quarantines.
namespace sardinehinge::core {

/// Targets that must have ended with a request before it is quarantined. Copies of it that ended with fewer targets are
/// weaker evidence: something else may have ended the target.
constexpr std::size_t crashesToQuarantine = 3;
/// Daemons that count the crashes of one request.
constexpr std::size_t crashCounters = 3;
constexpr Duration quarantineTime = std::chrono::minutes(10);
constexpr Duration quarantineTimeByWeakEvidence = std::chrono::minutes(1); ///< Until the next crash.

/// That a request is quarantined, or isn't any more.
struct Quarantine
{
    RequestFingerprint request;
    std::uint32_t generation = 1; ///< Rises with each change; the highest counts. Odd: in force; even: it was lifted.
    Duration evidenceAge = 0ms; ///< Since the first crash counted: an answer since then refutes the quarantine.
    Duration timeLeft = 0ms;

    bool isInForce() const noexcept { return generation % 2 == 1; }
    bool operator==(const Quarantine &) const = default;
};

/// Counts the targets that ended with each request. Does no I/O.
class CrashCounter
{
public:
    static constexpr Duration memory = quarantineTime; ///< Between two crashes of one request.
    static constexpr std::size_t maxRequests = 4096; ///< The one whose latest crash is oldest gives way.
    /// With weak evidence (fewer targets, or targets that ended at the same time), an answer to an equal request so
    /// shortly before the crashes refutes the quarantine, too.
    static constexpr Duration answerTimeBeforeCrashes = std::chrono::seconds(30);

    /// Counts a target once per request, and its copies once per daemon that reports. Returns the number of targets.
    std::size_t add(const CrashReport &report, const std::string &from, Time now);
    /// Returns the quarantine that the request's crashes justify, if there are enough.
    std::optional<Quarantine> quarantine(const RequestFingerprint &request, Time now) const;
    /// Forgets the crashes of a request whose quarantine was refuted. Of weak evidence, only the copies are forgotten:
    /// an answer from before the crashes says nothing of targets that end later.
    void forget(const RequestFingerprint &request);

private:
    struct Crash
    {
        TargetIdentity target;
        Time sentAt = 0ms;
        Time endedAt = 0ms;
        std::map<std::string, std::uint32_t> copies; ///< By the daemon that had sent them.
    };

    static bool isStrong(const std::vector<Crash> &crashes) noexcept;

    std::map<RequestFingerprint, std::vector<Crash>> m_crashes;
};

/// The quarantines that one daemon knows of. Merging is commutative, so lost, doubled and reordered messages are
/// harmless. Does no I/O.
class QuarantineList
{
public:
    static constexpr std::size_t maxRequests = 256; ///< The one that ends first gives way.

    /// Takes in a quarantine. Returns whether it is news.
    bool merge(const Quarantine &quarantine, Time now);
    /// Returns the entry that lifts the request's quarantine, or nothing if none is in force.
    std::optional<Quarantine> lifted(const RequestFingerprint &request, Time now) const;
    /// Returns the generation that a new quarantine of the request has.
    std::uint32_t nextGeneration(const RequestFingerprint &request) const;
    std::vector<Quarantine> all(Time now) const;
    /// A hash of all entries that haven't ended, the same for equal lists.
    std::uint64_t digest(Time now) const noexcept;
    /// Removes entries whose time is over, and returns those that were in force.
    std::vector<RequestFingerprint> expire(Time now);
    std::size_t inForce() const noexcept;
    bool isEmpty() const noexcept { return m_entries.empty(); }

private:
    struct Entry
    {
        std::uint32_t generation = 0;
        Time evidenceSince = 0ms;
        Time end = 0ms;
    };

    Quarantine toQuarantine(const RequestFingerprint &request, const Entry &entry, Time now) const noexcept;

    std::map<RequestFingerprint, Entry> m_entries;
};

} // namespace sardinehinge::core
