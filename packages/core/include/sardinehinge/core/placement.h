#pragma once

#include <sardinehinge/core/assignment.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sardinehinge::core {

/// A target's state for placement.
struct PlacementTarget
{
    std::string id;
    std::string failureDomain;
    bool isUsable = true; ///< False if it is leaving, drained or its lease has expired: its shards are moved.
    bool isAccepting = true; ///< False while it doesn't answer: it keeps its shards but receives no more.

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
    std::uint32_t maxVoluntaryMoves = 4; ///< Per round, from usable targets; a moving shard is briefly unavailable.
    std::uint32_t imbalanceTolerance
        = 2; ///< Tolerated load difference between two targets, in multiples of the mean shard load.

    bool operator==(const PlacementLimits &) const = default;
};

/// Plans new owners with few moves: shards of unusable targets go to the least loaded accepting target, then shards
/// move from the most to the least loaded target until they differ by less than the tolerance. `load` is the load by
/// shard, 1 if missing. A shard heavier than the mean target load stays, and other shards of its owner move instead.
/// Ties are broken by id, so the result is deterministic. Empty if no target accepts shards.
std::vector<Move> planMoves(const Assignment &assignment, const std::vector<PlacementTarget> &targets,
                            const std::map<std::uint32_t, double> &load, const PlacementLimits &limits);

} // namespace sardinehinge::core
