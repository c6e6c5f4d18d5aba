#include <sardinehinge/core/keyrange.h>

#include <algorithm>

namespace sardinehinge::core {

const RoutedRange *RangeOwners::find(std::uint32_t key) const noexcept
{
    const auto after
        = std::upper_bound(ranges.begin(), ranges.end(), key,
                           [](std::uint32_t wanted, const RoutedRange &entry) { return wanted < entry.range.first; });
    if (after == ranges.begin())
        return nullptr;
    const auto entry = std::prev(after);
    return entry->range.contains(key) ? &*entry : nullptr;
}

RangeOwnersChange changeBetween(const RangeOwners &before, const RangeOwners &after)
{
    RangeOwnersChange change{after.service, after.term, before.term, before.sequence, after.sequence, {}};
    for (const RoutedRange &range : after.ranges) {
        const RoutedRange *known = before.find(range.range.first);
        const bool isSame = known != nullptr && known->owner == range.owner && known->state == range.state
            && known->range.last >= range.range.last;
        if (!isSame)
            change.ranges.push_back(range);
    }
    return change;
}

std::optional<RangeOwners> applyChange(const RangeOwners &before, const RangeOwnersChange &change)
{
    if (before.ranges.empty() || before.term != change.baseTerm || before.sequence != change.base)
        return std::nullopt;
    RangeOwners after{before.service, change.term, change.sequence, change.ranges};
    for (const RoutedRange &old : before.ranges) {
        // Keep the parts of the old range that the change doesn't cover.
        std::uint32_t first = old.range.first;
        for (const RoutedRange &changed : change.ranges) {
            if (changed.range.last < first || changed.range.first > old.range.last)
                continue;
            if (changed.range.first > first)
                after.ranges.push_back({{first, changed.range.first - 1}, old.owner, old.state});
            first = changed.range.last + 1;
        }
        if (first <= old.range.last)
            after.ranges.push_back({{first, old.range.last}, old.owner, old.state});
    }
    std::sort(after.ranges.begin(), after.ranges.end(),
              [](const RoutedRange &left, const RoutedRange &right) { return left.range < right.range; });
    return after;
}

} // namespace sardinehinge::core
