#pragma once

#include <sardinehinge/core/types.h>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Ranges of a sharded service's keys and who owns them.
namespace sardinehinge::core {

/// Keys are numbers from 0 to this one.
constexpr std::uint32_t lastKey = 65535;

/// Keys from `first` to `last`, both inclusive.
struct KeyRange
{
    std::uint32_t first = 0;
    std::uint32_t last = lastKey;

    auto operator<=>(const KeyRange &) const = default;
    std::uint32_t size() const noexcept { return last - first + 1; }
    bool contains(std::uint32_t key) const noexcept { return first <= key && key <= last; }
};

/// One life of a target: a target that starts again under its id is another owner.
struct TargetLife
{
    std::string id;
    std::uint64_t born = 0; ///< Differs between lives.

    auto operator<=>(const TargetLife &) const = default;
};

/// A range and the owner it was recorded for. A range without an owner has an empty owner id.
struct OwnedRange
{
    KeyRange range;
    TargetLife owner;
    std::uint64_t fence = 0;

    bool operator==(const OwnedRange &) const = default;
};

/// A controller that may still give grants: nobody has learnt yet that it stopped.
struct PastController
{
    DaemonIdentity identity;
    std::uint64_t term = 0;
    Duration lease = 0ms; ///< Longest that it gives.
    std::vector<DaemonIdentity> voters;

    bool operator==(const PastController &) const = default;
};

/// What the store records of a sharded service: who may change its owners, and the owners. Ranges are in order, without
/// gaps, from 0 to `lastKey`; empty before the first assignment.
struct OwnershipRecord
{
    std::uint64_t term = 0; ///< Rises with each change of the controller.
    std::string controller; ///< Id of the daemon.
    std::uint64_t controllerIncarnation = 0;
    Duration lease = 0ms; ///< Of every grant in this term.
    /// Lives of daemons. While the store is away, the controller goes on only as long as most of them follow it.
    std::vector<DaemonIdentity> voters;
    std::vector<PastController> predecessors;
    std::vector<OwnedRange> ranges;

    bool operator==(const OwnershipRecord &) const = default;
};

/// Whether requests for a range can be sent to its owner now.
enum class RangeState {
    Held, ///< The owner holds it.
    Moving, ///< It is between two owners and soon back.
    Away, ///< Its owner is lost and the lease has yet to end.
};

/// A range as routers see it.
struct RoutedRange
{
    KeyRange range;
    std::string owner;
    RangeState state = RangeState::Held;

    bool operator==(const RoutedRange &) const = default;
};

/// A service's owners as its controller announces them. (term, sequence) orders the announcements.
struct RangeOwners
{
    std::string service;
    std::uint64_t term = 0;
    std::uint64_t sequence = 0;
    std::vector<RoutedRange> ranges;

    bool operator==(const RangeOwners &) const = default;
    bool isNewerThan(const RangeOwners &other) const noexcept
    {
        return term > other.term || (term == other.term && sequence > other.sequence);
    }
    /// The entry of `key`, or nullptr. The pointer lives as long as this value.
    const RoutedRange *find(std::uint32_t key) const noexcept;
};

/// What changed from one announcement to the next, for receivers that have the one before.
struct RangeOwnersChange
{
    std::string service;
    std::uint64_t term = 0;
    std::uint64_t baseTerm = 0; ///< Of the announcement before: a new controller goes on from its predecessor's last.
    std::uint64_t base = 0; ///< Sequence of the announcement before.
    std::uint64_t sequence = 0;
    std::vector<RoutedRange> ranges; ///< In order, without overlaps.

    bool operator==(const RangeOwnersChange &) const = default;
};

/// The change from `before` to `after`, two announcements of a service.
RangeOwnersChange changeBetween(const RangeOwners &before, const RangeOwners &after);

/// `before` with `change` applied; nothing when the change has another base.
std::optional<RangeOwners> applyChange(const RangeOwners &before, const RangeOwnersChange &change);

} // namespace sardinehinge::core
