#include <sardinehinge/core/rangecontrol.h>

#include <algorithm>
#include <utility>

/// Which target a range goes to, and how ranges are split and merged.
namespace sardinehinge::core {

namespace {

/// Assumed capacity of a target during its warm-up, as a share of its full capacity.
constexpr double warmUpCapacityShare = 0.5;
/// Adjacent ranges of an owner with more ranges than this are merged, since each range needs its own renewals.
constexpr std::size_t maxUnmergedRanges = 2;

} // namespace

std::vector<RegisteredTarget> RangeControl::readyTargets() const
{
    std::vector<RegisteredTarget> ready;
    for (const auto &[id, target] : m_targets) {
        const auto cooldown = m_cooldownUntil.find(id);
        if (!target.isDraining && (cooldown == m_cooldownUntil.end() || cooldown->second <= m_now))
            ready.push_back(target);
    }
    return ready;
}

std::vector<RangeCandidate> RangeControl::candidates() const
{
    std::vector<RangeCandidate> candidates;
    std::map<std::string, double> limits;
    // The load of a steady rate of one request a second, by decay().
    const double loadPerRate
        = std::chrono::duration<double>(m_timing.planInterval).count() / (1 - m_timing.loadDecayFactor);
    for (const RegisteredTarget &target : readyTargets()) {
        if (const auto limit = m_rateLimits.find(target.identity.id); limit != m_rateLimits.end())
            limits[target.identity.id] = limit->second * m_timing.rateLimitShare * loadPerRate;
        double capacity = static_cast<double>(target.slots) * m_speeds.speed(target.identity.id, m_now);
        if (target.warmupLeft > 0ms)
            capacity *= warmUpCapacityShare;
        candidates.push_back({target.identity.id, capacity});
    }
    return limits.empty() ? candidates : limitCapacities(std::move(candidates), limits, m_keyLoad.total());
}

std::map<std::string, double> RangeControl::loadByTarget() const
{
    std::map<std::string, double> loads;
    for (const RangeAssignment &assignment : m_assignments) {
        const double load = m_keyLoad.of(assignment.owned.range);
        const bool isLeavingOwner = assignment.phase == Phase::Free || assignment.phase == Phase::Releasing
            || assignment.phase == Phase::Expiring;
        loads[isLeavingOwner ? assignment.destination : assignment.owned.owner.id] += load;
    }
    return loads;
}

/// The first assignment: equal shares of the keys, in the order of the targets' failure domains and ids.
void RangeControl::assignInitialRanges(const std::vector<RegisteredTarget> &ready)
{
    const auto count = static_cast<std::uint32_t>(ready.size());
    const std::uint32_t keys = lastKey + 1;
    for (std::uint32_t index = 0; index < count; ++index) {
        RangeAssignment assignment;
        assignment.owned.range = {keys * index / count, (keys * (index + 1) / count) - 1};
        assignment.destination = ready[index].identity.id;
        m_assignments.push_back(assignment);
    }
}

/// Chooses a destination for each free range without an available one. A range with more than half of the mean load of
/// a target is split in two, so that no single target receives all of its load.
void RangeControl::chooseDestinations()
{
    const auto all = candidates();
    if (all.empty())
        return;
    std::vector<RangeAssignment> chosen;
    auto loads = loadByTarget();
    for (RangeAssignment &assignment : m_assignments) {
        const RegisteredTarget *planned = findTarget(assignment.destination);
        if (assignment.phase != Phase::Free || (planned != nullptr && !planned->isDraining)) {
            chosen.push_back(assignment);
            continue;
        }
        const double mean = m_keyLoad.total() / static_cast<double>(std::max<std::size_t>(m_targets.size(), 1));
        const bool isLarge = m_keyLoad.of(assignment.owned.range) > mean / 2;
        const auto pieces = isLarge ? m_keyLoad.halves(assignment.owned.range) : std::vector{assignment.owned.range};
        for (const KeyRange &piece : pieces) {
            RangeAssignment part = assignment;
            part.owned.range = piece;
            // The weight by size distributes ranges without load; otherwise the first target would get all of them.
            const double load = m_keyLoad.of(piece) + static_cast<double>(piece.size()) / (lastKey + 1);
            part.destination = leastLoadedTarget(all, loads, load);
            loads[part.destination] += load;
            chosen.push_back(part);
        }
    }
    m_assignments = std::move(chosen);
}

void RangeControl::planIfDue()
{
    if (m_now < m_nextPlanAt || !hasAuthority() || !mayChangeOwners() || m_isStopping)
        return;
    m_nextPlanAt = m_now + m_timing.planInterval;
    mergeAdjacentRanges();
    // A move is completed by a write to the store. Without contact to it, the moved keys would stay without an owner.
    const bool hasStoreContact = m_now - m_storeConfirmedAt < m_timing.storeContactTimeout;
    const auto moving
        = std::count_if(m_assignments.begin(), m_assignments.end(), [](const RangeAssignment &assignment) {
              return assignment.phase == Phase::Free || assignment.phase == Phase::Releasing;
          });
    constexpr int maxMovingRanges = 12;
    if (hasStoreContact && moving < maxMovingRanges) {
        std::vector<RoutedRange> ranges;
        for (const RangeAssignment &assignment : m_assignments) {
            // Ranges whose owner responds late to orders still count as held, so that they can be moved: the owner may
            // be overloaded.
            const RangeState state = assignment.phase == Phase::Held ? RangeState::Held : RangeState::Moving;
            const bool hasDestination = state == RangeState::Moving && !assignment.destination.empty();
            ranges.push_back(
                {assignment.owned.range, hasDestination ? assignment.destination : assignment.owned.owner.id, state});
        }
        for (const RangeMove &move : planRangeMoves(ranges, candidates(), m_keyLoad)) {
            splitOff(move.range);
            for (RangeAssignment &assignment : m_assignments) {
                if (assignment.owned.range == move.range && assignment.phase == Phase::Held)
                    startRelease(assignment, move.to);
            }
        }
    }
    m_keyLoad.decay(m_timing.loadDecayFactor);
}

/// Splits the assignment that contains `part`, so that `part` has an assignment of its own.
void RangeControl::splitOff(const KeyRange &part)
{
    std::vector<RangeAssignment> assignments;
    for (const RangeAssignment &assignment : m_assignments) {
        const KeyRange whole = assignment.owned.range;
        if (!whole.contains(part.first) || !whole.contains(part.last) || whole == part) {
            assignments.push_back(assignment);
            continue;
        }
        for (const auto &[first, last] :
             {std::pair<std::int64_t, std::int64_t>{whole.first, std::int64_t{part.first} - 1},
              {part.first, part.last},
              {std::int64_t{part.last} + 1, whole.last}}) {
            if (first > last)
                continue;
            RangeAssignment piece = assignment;
            piece.owned.range = {static_cast<std::uint32_t>(first), static_cast<std::uint32_t>(last)};
            assignments.push_back(piece);
        }
    }
    m_assignments = std::move(assignments);
}

/// Merges adjacent ranges of an owner that has more than maxUnmergedRanges. The owner already holds both, so granting
/// it the merged range under a new fence takes no key from another target.
void RangeControl::mergeAdjacentRanges()
{
    std::map<std::string, std::size_t> counts;
    for (const RangeAssignment &assignment : m_assignments)
        ++counts[assignment.owned.owner.id];
    const auto isSettled = [](const RangeAssignment &assignment) {
        return assignment.phase == Phase::Held && assignment.unansweredSince == 0ms;
    };
    std::vector<RangeAssignment> merged;
    for (const RangeAssignment &assignment : m_assignments) {
        const bool canMerge = !merged.empty() && isSettled(assignment) && isSettled(merged.back())
            && merged.back().owned.owner == assignment.owned.owner
            && counts[assignment.owned.owner.id] > maxUnmergedRanges;
        if (!canMerge) {
            merged.push_back(assignment);
            continue;
        }
        RangeAssignment &whole = merged.back();
        whole.owned.range.last = assignment.owned.range.last;
        whole.owned.fence = whole.initialFence = nextFence();
        whole.leaseExpiry = std::max(whole.leaseExpiry, assignment.leaseExpiry);
        whole.nextOrderAt = m_now;
    }
    m_assignments = std::move(merged);
}

} // namespace sardinehinge::core
