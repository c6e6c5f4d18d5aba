#include <sardinehinge/core/placement.h>

#include <algorithm>
#include <iterator>

namespace sardinehinge::core {

namespace {

/// A target with its planned shards and load.
struct Bin
{
    const PlacementTarget *target = nullptr;
    double load = 0;
    std::vector<std::uint32_t> shards;
};

class Planner
{
public:
    Planner(const Assignment &assignment, const std::vector<PlacementTarget> &targets,
            const std::map<std::uint32_t, double> &load, const PlacementLimits &limits)
        : m_load(load)
        , m_limits(limits)
    {
        for (const PlacementTarget &target : targets)
            m_bins[target.id] = Bin{&target, 0, {}};
        for (std::uint32_t shard = 0; shard < assignment.shards.size(); ++shard)
            place(shard, assignment.shards[shard].target);
    }

    std::vector<Move> plan()
    {
        if (leastLoadedAccepting() == nullptr)
            return {};
        for (const auto &[shard, from] : m_unassigned)
            moveTo(shard, from, *leastLoadedAccepting());
        balance();
        return std::move(m_moves);
    }

private:
    double loadOf(std::uint32_t shard) const
    {
        const auto found = m_load.find(shard);
        return found == m_load.end() ? 1.0 : found->second;
    }

    void place(std::uint32_t shard, const std::string &owner)
    {
        const auto found = m_bins.find(owner);
        if (found == m_bins.end() || !found->second.target->isUsable) {
            m_unassigned.emplace_back(shard, owner);
            return;
        }
        found->second.shards.push_back(shard);
        found->second.load += loadOf(shard);
    }

    /// The least loaded target that may receive shards, or nullptr.
    Bin *leastLoadedAccepting()
    {
        Bin *best = nullptr;
        for (auto &[id, bin] : m_bins) {
            if (bin.target->isUsable && bin.target->isAccepting && (best == nullptr || bin.load < best->load))
                best = &bin;
        }
        return best;
    }

    /// The most loaded target with more than one shard, or nullptr.
    Bin *mostLoaded()
    {
        Bin *worst = nullptr;
        for (auto &[id, bin] : m_bins) {
            if (bin.target->isUsable && bin.shards.size() > 1 && (worst == nullptr || bin.load > worst->load))
                worst = &bin;
        }
        return worst;
    }

    void moveTo(std::uint32_t shard, const std::string &from, Bin &to)
    {
        to.shards.push_back(shard);
        to.load += loadOf(shard);
        m_moves.push_back({shard, from, to.target->id});
    }

    double meanShardLoad() const
    {
        double sum = 0;
        std::size_t count = 0;
        for (const auto &[id, bin] : m_bins) {
            sum += bin.load;
            count += bin.shards.size();
        }
        return count == 0 ? 1.0 : sum / static_cast<double>(count);
    }

    double meanTargetLoad() const
    {
        double sum = 0;
        std::size_t count = 0;
        for (const auto &[id, bin] : m_bins) {
            sum += bin.load;
            count += bin.target->isUsable ? 1 : 0;
        }
        return count == 0 ? 0 : sum / static_cast<double>(count);
    }

    /// Index of the shard whose move best equalizes the two loads. Its load must be less than their difference. A shard
    /// heavier than the mean target load stays, as it would overload any other target too.
    std::optional<std::size_t> bestToMove(const Bin &from, const Bin &to) const
    {
        const double difference = from.load - to.load;
        const double heaviest = meanTargetLoad();
        std::optional<std::size_t> best;
        for (std::size_t index = 0; index < from.shards.size(); ++index) {
            const double load = loadOf(from.shards[index]);
            if (load <= 0 || load >= difference || load > heaviest)
                continue;
            const double remainder = std::abs(difference - 2 * load);
            if (!best || remainder < std::abs(difference - 2 * loadOf(from.shards[*best])))
                best = index;
        }
        return best;
    }

    void balance()
    {
        const double tolerance = m_limits.imbalanceTolerance * meanShardLoad();
        for (std::uint32_t round = 0; round < m_limits.maxVoluntaryMoves; ++round) {
            Bin *const from = mostLoaded();
            Bin *const to = leastLoadedAccepting();
            if (from == nullptr || to == nullptr || from == to || from->load - to->load < tolerance)
                return;
            const auto index = bestToMove(*from, *to);
            if (!index)
                return;
            const std::uint32_t shard = from->shards[*index];
            from->shards.erase(from->shards.begin() + static_cast<std::ptrdiff_t>(*index));
            from->load -= loadOf(shard);
            moveTo(shard, from->target->id, *to);
        }
    }

    const std::map<std::uint32_t, double> &m_load;
    PlacementLimits m_limits;
    std::map<std::string, Bin> m_bins;
    std::vector<std::pair<std::uint32_t, std::string>> m_unassigned;
    std::vector<Move> m_moves;
};

} // namespace

std::vector<Move> planMoves(const Assignment &assignment, const std::vector<PlacementTarget> &targets,
                            const std::map<std::uint32_t, double> &load, const PlacementLimits &limits)
{
    return Planner(assignment, targets, load, limits).plan();
}

} // namespace sardinehinge::core
