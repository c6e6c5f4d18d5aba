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
        : m_ranges(ranges)
        , m_candidates(candidates)
        , m_load(load)
        , m_limits(limits)
    {
        double capacity = 0;
        for (const RangeCandidate &candidate : candidates) {
            m_byId[candidate.id] = &candidate;
            m_counts[candidate.id] = candidate.ranges;
            capacity += candidate.capacity;
        }
        double total = 0;
        for (const RoutedRange &range : ranges) {
            const double rangeLoad = load.of(range.range);
            total += rangeLoad;
            if (m_byId.contains(range.owner))
                m_use[range.owner] += rangeLoad;
        }
        m_mean = capacity > 0 ? total / capacity : 0;
    }

    std::vector<RangeMove> run()
    {
        std::vector<RangeMove> moves;
        while (m_mean > 0 && moves.size() < m_limits.moves) {
            const RangeCandidate *busiest = findBusiest();
            if (busiest == nullptr || !isOverloaded(*busiest))
                break;
            const auto option = bestOption(*busiest);
            if (!option) {
                m_exhausted.insert(busiest->id);
                continue;
            }
            moves.push_back({option->piece, busiest->id, option->to});
            apply(*option);
        }
        return moves;
    }

private:
    struct Option
    {
        std::size_t source = 0; ///< Index of the range that the piece is of.
        KeyRange piece;
        std::string to;
        double load = 0;
    };

    double useOf(const RangeCandidate &candidate) { return m_use[candidate.id] / candidate.capacity; }

    /// Whether the target's load exceeds its fair share by more than the tolerance and the noise of so few requests:
    /// the deviation of a Poisson count is the root of its mean.
    bool isOverloaded(const RangeCandidate &candidate)
    {
        const double fair = m_mean * candidate.capacity;
        return m_use[candidate.id] > fair * m_limits.tolerance + m_limits.deviations * std::sqrt(fair);
    }

    const RangeCandidate *findBusiest()
    {
        const RangeCandidate *busiest = nullptr;
        for (const RangeCandidate &candidate : m_candidates) {
            if (!m_exhausted.contains(candidate.id) && (busiest == nullptr || useOf(candidate) > useOf(*busiest)))
                busiest = &candidate;
        }
        return busiest;
    }

    /// The target with most room that may take another range, or nullptr.
    const RangeCandidate *findRoomiest(const RangeCandidate &except)
    {
        const RangeCandidate *roomiest = nullptr;
        for (const RangeCandidate &candidate : m_candidates) {
            const bool mayTake = candidate.id != except.id && m_counts[candidate.id] < m_limits.rangesPerTarget;
            if (mayTake && (roomiest == nullptr || useOf(candidate) < useOf(*roomiest)))
                roomiest = &candidate;
        }
        return roomiest;
    }

    void consider(std::size_t source, const std::optional<KeyRange> &piece, const std::string &to, double wanted,
                  std::optional<Option> &best) const
    {
        const double load = piece ? m_load.of(*piece) : 0;
        if (load >= leastPiece * wanted && load <= mostPiece * wanted && load > 0 && (!best || load > best->load))
            best = Option{source, *piece, to, load};
    }

    std::optional<Option> bestOption(const RangeCandidate &from)
    {
        const RangeCandidate *to = findRoomiest(from);
        if (to == nullptr)
            return std::nullopt;
        const double excess = m_use[from.id] - (m_mean * from.capacity);
        const double wanted = std::min(excess, (m_mean * to->capacity) - m_use[to->id]);
        if (wanted < leastShare * m_mean * from.capacity)
            return std::nullopt;
        std::optional<Option> best;
        for (std::size_t index = 0; index < m_ranges.size(); ++index) {
            const RoutedRange &range = m_ranges[index];
            if (range.owner != from.id || range.state != RangeState::Held)
                continue;
            consider(index, m_load.part(range.range, wanted * mostPiece, false), to->id, wanted, best);
            consider(index, m_load.part(range.range, wanted * mostPiece, true), to->id, wanted, best);
            if (m_counts[from.id] > 1)
                consider(index, range.range, to->id, wanted, best);
        }
        return best;
    }

    void apply(const Option &option)
    {
        RoutedRange &source = m_ranges[option.source];
        m_use[source.owner] -= option.load;
        m_use[option.to] += option.load;
        ++m_counts[option.to];
        if (option.piece == source.range) {
            source.owner = option.to;
            source.state = RangeState::Moving;
        } else if (option.piece.first == source.range.first) {
            source.range.first = option.piece.last + 1;
        } else {
            source.range.last = option.piece.first - 1;
        }
    }

    static constexpr double leastPiece = 0.2; ///< Of the load that should move; smaller pieces aren't worth a move.
    static constexpr double mostPiece = 1.1;
    static constexpr double leastShare = 0.05; ///< Of a target's fair load; less isn't worth a move.

    std::vector<RoutedRange> m_ranges;
    const std::vector<RangeCandidate> &m_candidates;
    const KeyLoad &m_load;
    const PlanLimits &m_limits;
    std::map<std::string, const RangeCandidate *> m_byId;
    std::map<std::string, std::size_t> m_counts;
    std::map<std::string, double> m_use;
    std::set<std::string> m_exhausted;
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
