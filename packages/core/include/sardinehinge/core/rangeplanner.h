#pragma once

#include <sardinehinge/core/keyrange.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sardinehinge::core {

/// A target that can be assigned key ranges.
struct RangeCandidate
{
    std::string id;
    double capacity = 1; ///< Relative throughput, above 0.

    bool operator==(const RangeCandidate &) const = default;
};

/// Lowers the capacity of targets that accept a limited load, so that their fair share of `load` stays within it; the
/// others get what is left. If all targets are limited, they share the load in proportion to their limits.
/// `limits`: greatest load by target.
std::vector<RangeCandidate> limitCapacities(std::vector<RangeCandidate> candidates,
                                            const std::map<std::string, double> &limits, double load);

/// Reassigns a key range from one target to another.
struct RangeMove
{
    KeyRange range;
    std::string from;
    std::string to;

    bool operator==(const RangeMove &) const = default;
};

/// Decaying request counts by key. Keys with a negligible count aren't stored.
class KeyLoad
{
public:
    /// Adds request counts by key.
    void add(const std::map<std::uint32_t, std::uint32_t> &requests) noexcept;
    /// Multiplies all counts by `factor`, 0 to 1. Call once per planning period.
    void decay(double factor);
    /// Total load of the keys in `range`.
    double of(const KeyRange &range) const noexcept;
    double total() const noexcept;
    /// Returns the longest slice at the start of `range` (at its end if `fromEnd`) whose load is at most `load`.
    /// Returns nothing if a single key with load already exceeds it, or if the slice would be the whole range.
    std::optional<KeyRange> sliceUpTo(const KeyRange &range, double load, bool fromEnd) const;
    /// Splits `range` into two parts of about equal load; returns `range` alone if it has only one key.
    std::vector<KeyRange> halves(const KeyRange &range) const;

private:
    std::map<std::uint32_t, double> m_rates;
};

/// Parameters of one planning step.
struct PlanLimits
{
    std::size_t maxMoves = 8; ///< Per step: keys are briefly unavailable while they move.
    /// A target is overloaded above overloadRatio times its fair load plus noiseDeviations standard deviations. The
    /// second term keeps random variation of the request rate from moving keys.
    double overloadRatio = 1.15;
    double noiseDeviations = 2;
    /// Above this mean, the least loaded ranges are merged into adjacent ones: each range costs a renewal of its own.
    double meanRangesPerTarget = 2;
    std::size_t maxRangesPerTarget = 8; ///< A target with this many ranges receives no more.

    bool operator==(const PlanLimits &) const = default;
};

/// Plans moves that bring each target's load closer to its share of the capacity, then moves that merge ranges with
/// little load into adjacent ones. `ranges` must be in key order, with the owners that result from the moves already in
/// progress. Only ranges in state Held are moved.
///
/// Suits few hot, adjacent keys that change over time: it moves slices from the ends of the busiest targets' ranges to
/// targets with spare capacity, preferably the owners of adjacent ranges. The load of one key can't be divided, so the
/// keys next to a hot key move instead.
std::vector<RangeMove> planRangeMoves(const std::vector<RoutedRange> &ranges,
                                      const std::vector<RangeCandidate> &candidates, const KeyLoad &load,
                                      const PlanLimits &limits = {});

/// Returns the candidate with the lowest load relative to its capacity after `extra` is added to it; empty if there are
/// no candidates. `use` is the load by target.
std::string leastLoadedTarget(const std::vector<RangeCandidate> &candidates, const std::map<std::string, double> &use,
                              double extra);

} // namespace sardinehinge::core
