#include <sardinehinge/core/rangeplanner.h>

#include <algorithm>
#include <cmath>

namespace sardinehinge::core {

namespace {

/// Lower rates are dropped, as they are too small to affect planning.
constexpr double minRate = 0.05;

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
    std::erase_if(m_rates, [](const auto &entry) { return entry.second < minRate; });
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

std::optional<KeyRange> KeyLoad::sliceUpTo(const KeyRange &range, double load, bool fromEnd) const
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
    if (const auto first = sliceUpTo(range, of(range) / 2, false))
        return {*first, {first->last + 1, range.last}};
    const std::uint32_t middle = range.first + (range.size() / 2) - 1;
    return {{range.first, middle}, {middle + 1, range.last}};
}

std::vector<RangeCandidate> limitCapacities(std::vector<RangeCandidate> candidates,
                                            const std::map<std::string, double> &limits, double load)
{
    constexpr double minCapacity = 1e-3; ///< Keeps ratios to the capacity finite.
    /// Load that the other targets take on, as a multiple of their share without limits. What doesn't fit is rejected
    /// at the limited targets, at once, rather than after a wait in the queues of all.
    constexpr double maxLoadGrowth = 1.5;
    std::set<std::string> limited;
    for (bool isChanged = true; isChanged;) {
        isChanged = false;
        double restLoad = load;
        double restCapacity = 0;
        for (const RangeCandidate &candidate : candidates) {
            if (limited.contains(candidate.id))
                restLoad -= limits.at(candidate.id);
            else
                restCapacity += candidate.capacity;
        }
        if (restCapacity <= 0)
            break;
        // No load is left if the limits of some targets allow all of it: the others keep their capacity.
        const double meanLoad = std::max(restLoad, 0.0) / restCapacity;
        for (RangeCandidate &candidate : candidates) {
            const auto limit = limits.find(candidate.id);
            if (limit == limits.end() || limited.contains(candidate.id)
                || meanLoad * candidate.capacity <= limit->second)
                continue;
            limited.insert(candidate.id);
            isChanged = true;
        }
    }
    if (limited.empty())
        return candidates;
    double restLoad = load;
    double restCapacity = 0;
    double capacity = 0;
    for (const RangeCandidate &candidate : candidates) {
        capacity += candidate.capacity;
        if (limited.contains(candidate.id))
            restLoad -= limits.at(candidate.id);
        else
            restCapacity += candidate.capacity;
    }
    const double meanLoad = restCapacity > 0 ? std::min(restLoad / restCapacity, maxLoadGrowth * load / capacity) : 1;
    for (RangeCandidate &candidate : candidates) {
        if (limited.contains(candidate.id))
            candidate.capacity = std::max(limits.at(candidate.id) / meanLoad, minCapacity);
    }
    return candidates;
}

std::string leastLoadedTarget(const std::vector<RangeCandidate> &candidates, const std::map<std::string, double> &use,
                              double extra)
{
    std::string best;
    double lowestRatio = 0;
    for (const RangeCandidate &candidate : candidates) {
        const auto load = use.find(candidate.id);
        const double after = ((load == use.end() ? 0 : load->second) + extra) / candidate.capacity;
        if (best.empty() || after < lowestRatio) {
            best = candidate.id;
            lowestRatio = after;
        }
    }
    return best;
}

namespace {

/// The state of one planning step: the load of each target after the moves chosen so far.
class Planner
{
public:
    Planner(const std::vector<RoutedRange> &ranges, const std::vector<RangeCandidate> &candidates, const KeyLoad &load,
            const PlanLimits &limits)
        : m_candidates(candidates)
        , m_load(load)
        , m_limits(limits)
    {
        double capacity = 0;
        for (const RangeCandidate &candidate : candidates) {
            m_byId[candidate.id] = &candidate;
            capacity += candidate.capacity;
        }
        double total = 0;
        for (const RoutedRange &range : ranges) {
            m_parts.push_back({range, load.of(range.range)});
            total += m_parts.back().load;
            m_loads[range.owner] += m_parts.back().load;
            ++m_counts[range.owner];
        }
        m_meanLoadPerCapacity = capacity > 0 ? total / capacity : 0;
    }

    std::vector<RangeMove> run()
    {
        offloadOverloadedTargets();
        mergeSmallRanges();
        return std::move(m_moves);
    }

private:
    /// A range and its load.
    struct Part
    {
        RoutedRange range;
        double load = 0;
    };

    struct MoveOption
    {
        std::size_t source = 0; ///< Index in m_parts of the part that contains the piece.
        KeyRange piece;
        std::string to;
        double load = 0;
        double score = 0; ///< Gain, weighted by mergeFactor if the piece joins an adjacent range.
    };

    bool hasMovesLeft() const { return m_moves.size() < m_limits.maxMoves; }

    double fairLoad(const RangeCandidate &candidate) const { return m_meanLoadPerCapacity * candidate.capacity; }

    double loadOf(const std::string &id) const
    {
        const auto found = m_loads.find(id);
        return found == m_loads.end() ? 0 : found->second;
    }

    double loadRatio(const RangeCandidate &candidate) const { return loadOf(candidate.id) / candidate.capacity; }

    /// Whether `load` exceeds the fair load by more than overloadRatio and random variation. The standard deviation of
    /// a Poisson count is the square root of its mean.
    bool isOverloaded(const RangeCandidate &candidate, double load) const
    {
        const double fair = fairLoad(candidate);
        return load > fair * m_limits.overloadRatio + m_limits.noiseDeviations * std::sqrt(fair);
    }

    void offloadOverloadedTargets()
    {
        while (m_meanLoadPerCapacity > 0 && hasMovesLeft()) {
            const RangeCandidate *busiest = findBusiest();
            if (busiest == nullptr || !isOverloaded(*busiest, loadOf(busiest->id)))
                return;
            auto option = bestOption(*busiest, m_limits.overloadRatio);
            // No target has enough spare load: accept a new owner that is less loaded than the busiest target is now.
            if (!option)
                option = bestOption(*busiest, fallbackLoadRatio * loadRatio(*busiest) / m_meanLoadPerCapacity);
            if (option)
                apply(*option);
            else
                m_unmovable.insert(busiest->id);
        }
    }

    const RangeCandidate *findBusiest() const
    {
        const RangeCandidate *busiest = nullptr;
        for (const RangeCandidate &candidate : m_candidates) {
            if (!m_unmovable.contains(candidate.id)
                && (busiest == nullptr || loadRatio(candidate) > loadRatio(*busiest)))
                busiest = &candidate;
        }
        return busiest;
    }

    /// Load that the target can take on before it exceeds `maxRatio` times its fair load.
    double spareLoad(const RangeCandidate &candidate, double maxRatio) const
    {
        return (fairLoad(candidate) * maxRatio) - loadOf(candidate.id);
    }

    /// The target with the most spare load that may receive another range, or nullptr.
    const RangeCandidate *findMostSpare(const std::string &except) const
    {
        const RangeCandidate *mostSpare = nullptr;
        for (const RangeCandidate &candidate : m_candidates) {
            const auto count = m_counts.find(candidate.id);
            const bool mayTake
                = candidate.id != except && (count == m_counts.end() || count->second < m_limits.maxRangesPerTarget);
            if (mayTake && (mostSpare == nullptr || spareLoad(candidate, 1) > spareLoad(*mostSpare, 1)))
                mostSpare = &candidate;
        }
        return mostSpare;
    }

    /// The owner of the part before (`step` -1) or after (`step` 1) `index`; nullptr if there is no such candidate.
    const RangeCandidate *adjacentOwner(std::size_t index, int step) const
    {
        if ((index == 0 && step < 0) || (index + 1 == m_parts.size() && step > 0))
            return nullptr;
        const auto found = m_byId.find(m_parts[step < 0 ? index - 1 : index + 1].range.owner);
        return found == m_byId.end() ? nullptr : found->second;
    }

    double excessLoad(const RangeCandidate &from) const { return loadOf(from.id) - fairLoad(from); }

    void considerPiece(const std::optional<KeyRange> &piece, std::size_t source, const RangeCandidate &from,
                       const RangeCandidate &to, double spare, std::optional<MoveOption> &best) const
    {
        if (!piece)
            return;
        const double load = m_load.of(*piece);
        // The part of a piece beyond the excess leaves `from` below its fair load, which reduces the gain.
        const double gain = std::min(load, 2 * excessLoad(from) - load);
        if (gain < minGainShare * fairLoad(from) || load > spare)
            return;
        const KeyRange &whole = m_parts[source].range.range;
        const bool merges = (piece->first == whole.first && &to == adjacentOwner(source, -1))
            || (piece->last == whole.last && &to == adjacentOwner(source, 1));
        const double score = merges ? gain * mergeFactor : gain;
        if (!best || score > best->score)
            best = MoveOption{source, *piece, to.id, load, score};
    }

    /// The best piece to move from `from` to a target that then carries at most `maxRatio` times its fair load.
    std::optional<MoveOption> bestOption(const RangeCandidate &from, double maxRatio) const
    {
        const RangeCandidate *mostSpare = findMostSpare(from.id);
        std::optional<MoveOption> best;
        for (std::size_t index = 0; index < m_parts.size(); ++index) {
            const RoutedRange &range = m_parts[index].range;
            if (range.owner != from.id || range.state != RangeState::Held)
                continue;
            for (const int step : {-1, 1}) {
                const RangeCandidate *adjacent = adjacentOwner(index, step);
                for (const RangeCandidate *to : {adjacent, mostSpare}) {
                    if (to == nullptr || to->id == from.id)
                        continue;
                    const double spare = spareLoad(*to, maxRatio);
                    for (const double load : {std::min(excessLoad(from), spare), spare})
                        considerPiece(m_load.sliceUpTo(range.range, load, step > 0), index, from, *to, spare, best);
                    if (m_counts.at(from.id) > 1)
                        considerPiece(range.range, index, from, *to, spare, best);
                }
            }
        }
        return best;
    }

    /// Merges the least loaded ranges into adjacent ones while there are too many ranges.
    void mergeSmallRanges()
    {
        const auto maxRanges
            = static_cast<std::size_t>(m_limits.meanRangesPerTarget * static_cast<double>(m_candidates.size()));
        while (hasMovesLeft() && m_parts.size() > maxRanges) {
            std::optional<MoveOption> best;
            for (std::size_t index = 0; index < m_parts.size(); ++index) {
                const Part &part = m_parts[index];
                const auto owner = m_byId.find(part.range.owner);
                if (part.range.state != RangeState::Held || owner == m_byId.end() || m_counts.at(part.range.owner) < 2)
                    continue;
                for (const int step : {-1, 1}) {
                    const RangeCandidate *to = adjacentOwner(index, step);
                    if (to == nullptr || to == owner->second || part.load > maxMergedShare * fairLoad(*to)
                        || loadOf(to->id) + part.load > fairLoad(*to) * m_limits.overloadRatio)
                        continue;
                    if (!best || part.load < best->load)
                        best = MoveOption{index, part.range.range, to->id, part.load, 0};
                }
            }
            if (!best)
                return;
            apply(*best);
        }
    }

    void apply(const MoveOption &option)
    {
        const RoutedRange source = m_parts[option.source].range;
        m_moves.push_back({option.piece, source.owner, option.to});
        m_loads[source.owner] -= option.load;
        m_loads[option.to] += option.load;
        ++m_counts[option.to];
        std::vector<Part> pieces;
        if (source.range.first < option.piece.first)
            pieces.push_back(heldPart(source, {source.range.first, option.piece.first - 1}));
        pieces.push_back({{option.piece, option.to, RangeState::Moving}, option.load});
        if (option.piece.last < source.range.last)
            pieces.push_back(heldPart(source, {option.piece.last + 1, source.range.last}));
        if (pieces.size() == 1)
            --m_counts[source.owner];
        const auto place = m_parts.erase(m_parts.begin() + static_cast<std::ptrdiff_t>(option.source));
        m_parts.insert(place, pieces.begin(), pieces.end());
    }

    Part heldPart(const RoutedRange &source, const KeyRange &range) const
    {
        return {{range, source.owner, source.state}, m_load.of(range)};
    }

    static constexpr double minGainShare = 0.05; ///< Of the source's fair load; a smaller gain doesn't justify a move.
    static constexpr double fallbackLoadRatio = 0.85; ///< Of the busiest target's load ratio.
    static constexpr double mergeFactor = 1.5; ///< Prefers moves that don't add a range.
    static constexpr double maxMergedShare
        = 0.25; ///< Of a target's fair load; busier ranges aren't moved just to merge them.

    std::vector<Part> m_parts; ///< In order of their keys.
    const std::vector<RangeCandidate> &m_candidates;
    const KeyLoad &m_load;
    const PlanLimits &m_limits;
    std::map<std::string, const RangeCandidate *> m_byId;
    std::map<std::string, std::size_t> m_counts;
    std::map<std::string, double> m_loads;
    std::set<std::string> m_unmovable;
    std::vector<RangeMove> m_moves;
    double m_meanLoadPerCapacity = 0;
};

} // namespace

std::vector<RangeMove> planRangeMoves(const std::vector<RoutedRange> &ranges,
                                      const std::vector<RangeCandidate> &candidates, const KeyLoad &load,
                                      const PlanLimits &limits)
{
    return Planner(ranges, candidates, load, limits).run();
}

} // namespace sardinehinge::core
