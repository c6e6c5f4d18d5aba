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

} // namespace sardinehinge::core
