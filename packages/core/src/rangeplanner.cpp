#include <sardinehinge/core/rangeplanner.h>

#include <algorithm>
#include <cmath>

namespace sardinehinge::core {

namespace {

/// Rates below this are forgotten: they move nothing.
constexpr double leastRate = 0.05;

} // namespace

void KeyLoad::add(const std::map<std::uint32_t, std::uint32_t> &requests) noexcept
{
    for (const auto &[key, count] : requests)
        m_rates[key] += count;
}

void KeyLoad::decay(double factor)
{
    for (auto &[key, rate] : m_rates)
        rate *= factor;
    std::erase_if(m_rates, [](const auto &entry) { return entry.second < leastRate; });
}

double KeyLoad::of(const KeyRange &range) const noexcept
{
    double sum = 0;
    for (auto entry = m_rates.lower_bound(range.first); entry != m_rates.end() && entry->first <= range.last; ++entry)
        sum += entry->second;
    return sum;
}

double KeyLoad::total() const noexcept
{
    return of({0, lastKey});
}

std::optional<KeyRange> KeyLoad::part(const KeyRange &range, double load, bool fromEnd) const
{
    double sum = 0;
    if (fromEnd) {
        std::uint32_t first = range.last + 1;
        for (auto entry = m_rates.upper_bound(range.last); entry != m_rates.begin();) {
            --entry;
            if (entry->first < range.first || sum + entry->second > load)
                break;
            sum += entry->second;
            first = entry->first;
        }
        if (sum == 0 || first <= range.first)
            return std::nullopt;
        return KeyRange{first, range.last};
    }
    std::uint32_t last = range.first;
    for (auto entry = m_rates.lower_bound(range.first); entry != m_rates.end() && entry->first <= range.last; ++entry) {
        if (sum + entry->second > load)
            break;
        sum += entry->second;
        last = entry->first;
    }
    if (sum == 0 || last >= range.last)
        return std::nullopt;
    return KeyRange{range.first, last};
}

std::vector<KeyRange> KeyLoad::halves(const KeyRange &range) const
{
    if (range.size() < 2)
        return {range};
    if (const auto first = part(range, of(range) / 2, false))
        return {*first, {first->last + 1, range.last}};
    const std::uint32_t middle = range.first + (range.size() / 2) - 1;
    return {{range.first, middle}, {middle + 1, range.last}};
}

std::string leastUsed(const std::vector<RangeCandidate> &candidates, const std::map<std::string, double> &use,
                      double extra)
{
    std::string best;
    double bestUse = 0;
    for (const RangeCandidate &candidate : candidates) {
        const auto load = use.find(candidate.id);
        const double after = ((load == use.end() ? 0 : load->second) + extra) / candidate.capacity;
        if (best.empty() || after < bestUse) {
            best = candidate.id;
            bestUse = after;
        }
    }
    return best;
}

std::vector<RangeMove> planRangeMoves(const std::vector<RoutedRange> &ranges,
                                      const std::vector<RangeCandidate> &candidates, const KeyLoad &load,
                                      const PlanLimits &limits)
{
    std::map<std::string, const RangeCandidate *> byId;
    std::map<std::string, double> use;
    std::map<std::string, std::size_t> counts;
    double capacity = 0;
    for (const RangeCandidate &candidate : candidates) {
        byId[candidate.id] = &candidate;
        use[candidate.id] = 0;
        counts[candidate.id] = candidate.ranges;
        capacity += candidate.capacity;
    }
    std::vector<RoutedRange> left;
    double total = 0;
    for (const RoutedRange &range : ranges) {
        const double rangeLoad = load.of(range.range);
        total += rangeLoad;
        if (!byId.contains(range.owner))
            continue;
        use[range.owner] += rangeLoad;
        if (range.state == RangeState::Held)
            left.push_back(range);
    }
    std::vector<RangeMove> moves;
    if (capacity <= 0 || total <= 0)
        return moves;
    const double mean = total / capacity;
    std::set<std::string> exhausted;
    while (moves.size() < limits.moves) {
        const RangeCandidate *busiest = nullptr;
        for (const RangeCandidate &candidate : candidates) {
            const bool isBusier
                = busiest == nullptr || use[candidate.id] / candidate.capacity > use[busiest->id] / busiest->capacity;
            if (!exhausted.contains(candidate.id) && isBusier)
                busiest = &candidate;
        }
        if (busiest == nullptr || use[busiest->id] / busiest->capacity < mean * limits.tolerance)
            break;
        std::vector<RangeCandidate> others;
        std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(others),
                     [&](const RangeCandidate &other) {
                         return other.id != busiest->id && counts[other.id] < limits.rangesPerTarget;
                     });
        const std::string to = leastUsed(others, use, 0);
        if (to.empty())
            break;
        const double spare = mean * byId[to]->capacity - use[to];
        const double wanted = std::min(use[busiest->id] - mean * busiest->capacity, spare);
        std::optional<KeyRange> best;
        double bestLoad = 0;
        RoutedRange *source = nullptr;
        for (RoutedRange &range : left) {
            if (range.owner != busiest->id)
                continue;
            for (const bool fromEnd : {false, true}) {
                const auto piece = load.part(range.range, wanted * 1.1, fromEnd);
                if (const double pieceLoad = piece ? load.of(*piece) : 0; pieceLoad > bestLoad) {
                    best = piece;
                    bestLoad = pieceLoad;
                    source = &range;
                }
            }
            // A whole range may go as well, when its owner has others.
            if (const double whole = load.of(range.range);
                whole <= wanted * 1.1 && whole > bestLoad && counts[busiest->id] > 1) {
                best = range.range;
                bestLoad = whole;
                source = &range;
            }
        }
        if (!best || bestLoad < 0.2 * wanted || bestLoad < 0.02 * mean * busiest->capacity) {
            exhausted.insert(busiest->id);
            continue;
        }
        moves.push_back({*best, busiest->id, to});
        use[busiest->id] -= bestLoad;
        use[to] += bestLoad;
        ++counts[to];
        if (*best == source->range)
            source->owner.clear();
        else if (best->first == source->range.first)
            source->range.first = best->last + 1;
        else
            source->range.last = best->first - 1;
    }
    return moves;
}

} // namespace sardinehinge::core
