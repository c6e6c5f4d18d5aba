#pragma once

#include <sardinehinge/core/types.h>

#include <compare>

namespace sardinehinge::core {

/// Bounds the age of the copy that the store may return from.
constexpr Duration maxCopyAge = std::chrono::seconds(60);

/// A moment in the history of the platform's store. Moments are ordered by era first: a store that has returned from an
/// older copy gives out revisions again that it had given out before.
struct StorePoint
{
    StoreEra era = 0;
    std::uint64_t revision = 0;

    auto operator<=>(const StorePoint &) const = default;
};

/// How current a daemon's copy of one kind of objects in the platform's store is.
struct FeedPosition
{
    std::uint64_t changedAt = 0; ///< Store revision of the latest known change.
    std::uint64_t completeTo = 0; ///< No later change exists up to this store revision.
    std::uint64_t relistedAt = 0; ///< Revision of the last full list after the store had dropped history; 0: none.
                                  ///< Watches may have missed earlier changes, so followers list again too.
    StoreEra era = 0; ///< Of the revisions.

    StorePoint changed() const noexcept { return {era, changedAt}; }
    StorePoint complete() const noexcept { return {era, completeTo}; }
    StorePoint relisted() const noexcept { return {era, relistedAt}; }
    /// Whether there are changes that a copy at `known` lacks.
    bool hasNewsFor(const FeedPosition &known) const noexcept { return changed() > known.complete(); }

    bool operator==(const FeedPosition &) const = default;
};

} // namespace sardinehinge::core
