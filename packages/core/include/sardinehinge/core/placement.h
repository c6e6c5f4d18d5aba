#pragma once

#include <sardinehinge/core/assignment.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sardinehinge::core {

/// What placement knows of a target.
struct PlacementTarget
{
    std::string id;
    std::string failureDomain;
    bool usable = true; ///< False while it is leaving, drained, or its lease has ended: its shards move away.
    bool accepting = true; ///< False while it doesn't answer: it keeps its shards and gets no more.

    bool operator==(const PlacementTarget &) const = default;
};

/// A change of owner for one shard.
struct Move
{
    std::uint32_t shard = 0;
    std::string from; ///< Empty when the shard had no owner.
    std::string to;

    bool operator==(const Move &) const = default;
};

/// Limits of one placement round.
struct PlacementLimits
{
    std::uint32_t maxVoluntaryMoves = 4; ///< Moves away from usable targets in one round; each costs unavailable time.
    std::uint32_t imbalanceTolerance = 2; ///< Difference in shard count between two targets that is left alone.

    bool operator==(const PlacementLimits &) const = default;
};

/// Chooses new owners with the least movement: shards of unusable targets go to the least loaded usable target,
/// then shards move from the most to the least loaded one while they differ by more than the tolerance.
/// `load` gives each shard's share of work; a missing one counts as 1. A shard heavier than the mean target load keeps
/// its owner and its neighbours go. Ties go by id, so that the outcome is the same on every run.
/// Returns no move when no target is usable.
std::vector<Move> planMoves(const Assignment &assignment, const std::vector<PlacementTarget> &targets,
                            const std::map<std::uint32_t, double> &load, const PlacementLimits &limits);

} // namespace sardinehinge::core
