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

namespace {

/// The state of one planning step: what each target would carry after the moves chosen so far.
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
            m_use[range.owner] += m_parts.back().load;
            ++m_counts[range.owner];
        }
        m_mean = capacity > 0 ? total / capacity : 0;
    }

    std::vector<RangeMove> run()
    {
        relieve();
        joinLeastUsed();
        return std::move(m_moves);
    }

private:
    /// A range and what it carries.
    struct Part
    {
        RoutedRange range;
        double load = 0;
    };

    struct Option
    {
        std::size_t source = 0; ///< Index of the part that the piece is of.
        KeyRange piece;
        std::string to;
        double load = 0;
        double worth = 0; ///< Load, more if the piece joins a range beside it.
    };

    bool mayMoveMore() const { return m_moves.size() < m_limits.moves; }

    double fairLoad(const RangeCandidate &candidate) const { return m_mean * candidate.capacity; }

    double useOf(const std::string &id) const
    {
        const auto found = m_use.find(id);
        return found == m_use.end() ? 0 : found->second;
    }

    double useRatio(const RangeCandidate &candidate) const { return useOf(candidate.id) / candidate.capacity; }

    /// Whether the load exceeds the target's fair share by more than the tolerance and the noise of so few requests:
    /// the deviation of a Poisson count is the root of its mean.
    bool isOverloaded(const RangeCandidate &candidate, double load) const
    {
        const double fair = fairLoad(candidate);
        return load > fair * m_limits.tolerance + m_limits.deviations * std::sqrt(fair);
    }

    void relieve()
    {
        while (m_mean > 0 && mayMoveMore()) {
            const RangeCandidate *busiest = findBusiest();
            if (busiest == nullptr || !isOverloaded(*busiest, useOf(busiest->id)))
                return;
            auto option = bestOption(*busiest, m_limits.tolerance);
            // Nobody has room for so large a piece: then it goes where it does less harm.
            if (!option)
                option = bestOption(*busiest, lessHarm * useRatio(*busiest) / m_mean);
            if (option)
                apply(*option);
            else
                m_exhausted.insert(busiest->id);
        }
    }

    const RangeCandidate *findBusiest() const
    {
        const RangeCandidate *busiest = nullptr;
        for (const RangeCandidate &candidate : m_candidates) {
            if (!m_exhausted.contains(candidate.id) && (busiest == nullptr || useRatio(candidate) > useRatio(*busiest)))
                busiest = &candidate;
        }
        return busiest;
    }

    /// What the target can take before it carries `most` times its fair load.
    double roomOf(const RangeCandidate &candidate, double most) const
    {
        return (fairLoad(candidate) * most) - useOf(candidate.id);
    }

    /// The target with most room that may take another range, or nullptr.
    const RangeCandidate *findRoomiest(const std::string &except) const
    {
        const RangeCandidate *roomiest = nullptr;
        for (const RangeCandidate &candidate : m_candidates) {
            const auto count = m_counts.find(candidate.id);
            const bool mayTake
                = candidate.id != except && (count == m_counts.end() || count->second < m_limits.mostRanges);
            if (mayTake && (roomiest == nullptr || roomOf(candidate, 1) > roomOf(*roomiest, 1)))
                roomiest = &candidate;
        }
        return roomiest;
    }

    /// The owner of the part before (`step` -1) or after (1) `index`; nullptr when it is no candidate.
    const RangeCandidate *ownerBeside(std::size_t index, int step) const
    {
        if ((index == 0 && step < 0) || (index + 1 == m_parts.size() && step > 0))
            return nullptr;
        const auto found = m_byId.find(m_parts[step < 0 ? index - 1 : index + 1].range.owner);
        return found == m_byId.end() ? nullptr : found->second;
    }

    double excessOf(const RangeCandidate &from) const { return useOf(from.id) - fairLoad(from); }

    void consider(const std::optional<KeyRange> &piece, std::size_t source, const RangeCandidate &from,
                  const RangeCandidate &to, double room, std::optional<Option> &best) const
    {
        if (!piece)
            return;
        const double load = m_load.of(*piece);
        // A piece larger than the excess makes up for less of it.
        const double gain = std::min(load, 2 * excessOf(from) - load);
        if (gain < leastGain * fairLoad(from) || load > room)
            return;
        const KeyRange &whole = m_parts[source].range.range;
        const bool joins = (piece->first == whole.first && &to == ownerBeside(source, -1))
            || (piece->last == whole.last && &to == ownerBeside(source, 1));
        const double worth = joins ? gain * joinFactor : gain;
        if (!best || worth > best->worth)
            best = Option{source, *piece, to.id, load, worth};
    }

    /// The best piece to take off `from`, for targets that carry `most` times their fair load afterwards at most.
    std::optional<Option> bestOption(const RangeCandidate &from, double most) const
    {
        const RangeCandidate *roomiest = findRoomiest(from.id);
        std::optional<Option> best;
        for (std::size_t index = 0; index < m_parts.size(); ++index) {
            const RoutedRange &range = m_parts[index].range;
            if (range.owner != from.id || range.state != RangeState::Held)
                continue;
            for (const int step : {-1, 1}) {
                const RangeCandidate *beside = ownerBeside(index, step);
                for (const RangeCandidate *to : {beside, roomiest}) {
                    if (to == nullptr || to->id == from.id)
                        continue;
                    const double room = roomOf(*to, most);
                    for (const double load : {std::min(excessOf(from), room), room})
                        consider(m_load.part(range.range, load, step > 0), index, from, *to, room, best);
                    if (m_counts.at(from.id) > 1)
                        consider(range.range, index, from, *to, room, best);
                }
            }
        }
        return best;
    }

    /// Gives the least used ranges to the owners beside them, while there are more ranges than is comfortable.
    void joinLeastUsed()
    {
        const auto comfortable
            = static_cast<std::size_t>(m_limits.rangesPerTarget * static_cast<double>(m_candidates.size()));
        while (mayMoveMore() && m_parts.size() > comfortable) {
            std::optional<Option> best;
            for (std::size_t index = 0; index < m_parts.size(); ++index) {
                const Part &part = m_parts[index];
                const auto owner = m_byId.find(part.range.owner);
                if (part.range.state != RangeState::Held || owner == m_byId.end() || m_counts.at(part.range.owner) < 2)
                    continue;
                for (const int step : {-1, 1}) {
                    const RangeCandidate *to = ownerBeside(index, step);
                    if (to == nullptr || to == owner->second || part.load > mostJoined * fairLoad(*to)
                        || useOf(to->id) + part.load > fairLoad(*to) * m_limits.tolerance)
                        continue;
                    if (!best || part.load < best->load)
                        best = Option{index, part.range.range, to->id, part.load, 0};
                }
            }
            if (!best)
                return;
            apply(*best);
        }
    }

    void apply(const Option &option)
    {
        const RoutedRange source = m_parts[option.source].range;
        m_moves.push_back({option.piece, source.owner, option.to});
        m_use[source.owner] -= option.load;
        m_use[option.to] += option.load;
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

    static constexpr double leastGain = 0.05; ///< Of a target's fair load; less isn't worth a move.
    static constexpr double lessHarm = 0.85; ///< Of the busiest target's use.
    static constexpr double joinFactor = 1.5; ///< A piece that joins its neighbour makes no further range.
    static constexpr double mostJoined = 0.25; ///< Of a target's fair load: what is busier isn't moved for tidiness.

    std::vector<Part> m_parts; ///< In order of their keys.
    const std::vector<RangeCandidate> &m_candidates;
    const KeyLoad &m_load;
    const PlanLimits &m_limits;
    std::map<std::string, const RangeCandidate *> m_byId;
    std::map<std::string, std::size_t> m_counts;
    std::map<std::string, double> m_use;
    std::set<std::string> m_exhausted;
    std::vector<RangeMove> m_moves;
    double m_mean = 0;
};

} // namespace

std::vector<RangeMove> planRangeMoves(const std::vector<RoutedRange> &ranges,
                                      const std::vector<RangeCandidate> &candidates, const KeyLoad &load,
                                      const PlanLimits &limits)
{
    return Planner(ranges, candidates, load, limits).run();
}

} // namespace sardinehinge::core
