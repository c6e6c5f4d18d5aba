#pragma once

#include <sardinehinge/core/types.h>

#include <algorithm>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Key ranges of a sharded service and their owners.
namespace sardinehinge::core {

/// Keys are numbers from 0 to lastKey.
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

/// One incarnation of a target. A target that restarts under the same id is a different owner.
struct TargetIdentity
{
    std::string id;
    std::uint64_t incarnation = 0; ///< Differs between processes with the same id; rises with each restart.

    auto operator<=>(const TargetIdentity &) const = default;
};

/// A range and its recorded owner. The owner's id is empty if the range has no owner.
struct OwnedRange
{
    KeyRange range;
    TargetIdentity owner;
    std::uint64_t fence = 0;

    bool operator==(const OwnedRange &) const = default;
};

/// An earlier controller that isn't known to have stopped and may still issue grants.
struct PastController
{
    DaemonIdentity identity;
    std::uint64_t term = 0;
    Duration lease = 0ms; ///< Longest lease that it grants.
    std::vector<DaemonIdentity> voters;

    bool operator==(const PastController &) const = default;
    /// Whether it stands for controllers, and owners of theirs, that the store has forgotten. It has no id then.
    bool isUnknown() const noexcept { return identity.id.empty(); }
};

/// The stored ownership state of a sharded service: its controller and the owners of its ranges. Ranges are in order,
/// without gaps, from 0 to `lastKey`; empty before the first assignment.
struct OwnershipRecord
{
    StoreEra era = 0; ///< Of the store that the record was written to. In a later era the record may be outdated.
    std::uint64_t term = 0; ///< Increases with each change of the controller.
    std::string controller; ///< Id of the controlling daemon.
    std::uint64_t controllerIncarnation = 0;
    Duration lease = 0ms; ///< Lease of every grant in this term.
    /// While the store is unreachable, the controller continues only with a majority of these daemons.
    std::vector<DaemonIdentity> voters;
    std::vector<PastController> predecessors;
    std::vector<OwnedRange> ranges;

    bool operator==(const OwnershipRecord &) const = default;
    /// Whether ranges without an owner may be held under grants that the store has forgotten.
    bool hasUnknownOwners() const noexcept
    {
        return std::any_of(predecessors.begin(), predecessors.end(),
                           [](const PastController &past) { return past.isUnknown(); });
    }
};

/// Whether requests for a range can be sent to its owner. The numeric values are sent to peers.
enum class RangeState {
    Held, ///< The owner holds a grant.
    Moving, ///< It is being handed over and will be available shortly.
    OwnerLost, ///< The owner is lost and its lease hasn't expired yet.
};

/// A range and its owner for routing.
struct RoutedRange
{
    KeyRange range;
    std::string owner;
    RangeState state = RangeState::Held;

    bool operator==(const RoutedRange &) const = default;
};

/// The owners of a service's ranges as announced by its controller. Announcements are ordered by (term, sequence).
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
    /// Returns the entry that contains `key`, or nullptr. The pointer is valid until `ranges` changes.
    const RoutedRange *find(std::uint32_t key) const noexcept;
};

/// The difference between two consecutive announcements, for receivers that have the earlier one.
struct RangeOwnersChange
{
    std::string service;
    std::uint64_t term = 0;
    std::uint64_t baseTerm = 0; ///< Term of the earlier announcement; it is lower after a change of the controller.
    std::uint64_t base = 0; ///< Sequence of the earlier announcement.
    std::uint64_t sequence = 0;
    std::vector<RoutedRange> ranges; ///< In order, without overlaps.

    bool operator==(const RangeOwnersChange &) const = default;
};

/// Returns the change from `before` to `after`, two announcements for the same service.
RangeOwnersChange changeBetween(const RangeOwners &before, const RangeOwners &after);

/// Returns `before` with `change` applied, or nothing if the change is based on another announcement.
std::optional<RangeOwners> applyChange(const RangeOwners &before, const RangeOwnersChange &change);

} // namespace sardinehinge::core
