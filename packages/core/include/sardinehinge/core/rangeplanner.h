#pragma once

#include <sardinehinge/core/keyrange.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sardinehinge::core {

/// A target that may own keys.
struct RangeCandidate
{
    std::string id;
    double capacity = 1; ///< Requests that it can run in a unit of time, relative to the others.

    bool operator==(const RangeCandidate &) const = default;
};

/// Keys that should go from one target to another.
struct RangeMove
{
    KeyRange range;
    std::string from;
    std::string to;

    bool operator==(const RangeMove &) const = default;
};

/// Smoothed request rates by key. Keys without requests are not stored.
class KeyLoad
{
public:
    /// Takes in the requests seen in `span`.
    void add(const std::map<std::uint32_t, std::uint32_t> &requests) noexcept;
    /// Lets the past count for less; call once per planning period.
    void decay(double factor);
    double of(const KeyRange &range) const noexcept;
    double total() const noexcept;
    /// The longest part of `range`, from its first key on (or, with `fromEnd`, up to its last), whose load is at most
    /// `load`; nothing when already the first key exceeds it or the part would be the whole range.
    std::optional<KeyRange> part(const KeyRange &range, double load, bool fromEnd) const;
    /// `range` cut in two of about equal load; one piece when it can't be cut.
    std::vector<KeyRange> halves(const KeyRange &range) const;

private:
    std::map<std::uint32_t, double> m_rates;
};

/// Limits of one planning step.
struct PlanLimits
{
    std::size_t moves = 8; ///< At most this many at a time: each keeps keys away for a moment.
    double tolerance = 1.15; ///< A target is relieved above this multiple of its fair load,
    double deviations = 2; ///< and this many standard deviations, so that noise moves no keys.
    double rangesPerTarget = 2; ///< Mean over all targets; above it, the least used ranges join their neighbours: each
                                ///< range is renewed by itself.
    std::size_t mostRanges = 8; ///< Of one target.

    bool operator==(const PlanLimits &) const = default;
};

/// The moves that bring every target's load nearer to its capacity's share, then those that join little used ranges to
/// the owners beside them. `ranges` in order; each owner as it will be when the moves under way have ended, and only
/// ranges in state Held are moved.
///
/// Meant for few hot, neighbouring keys that change: it takes pieces off the ends of the busiest targets' ranges and
/// gives them to targets with room, those beside them first. One key's load can't be divided: its neighbours go.
std::vector<RangeMove> planRangeMoves(const std::vector<RoutedRange> &ranges,
                                      const std::vector<RangeCandidate> &candidates, const KeyLoad &load,
                                      const PlanLimits &limits = {});

/// The least used candidate after `extra` has been given to it; empty when there is none. `use` is load by target.
std::string leastUsed(const std::vector<RangeCandidate> &candidates, const std::map<std::string, double> &use,
                      double extra);

} // namespace sardinehinge::core
