#include <sardinehinge/core/controlgroup.h>

#include <sardinehinge/core/eventnumbers.h>

#include <algorithm>
#include <iterator>

namespace sardinehinge::core {

namespace {

constexpr Duration pendingGrantCheckInterval
    = 100ms; ///< Interval for rechecking grants that wait for a lease to expire.
constexpr Duration firstPlanDelay = 150ms; ///< Time for targets to report before the first plan of a term.

} // namespace

bool ControlGroup::checksFences() const noexcept
{
    return m_config.spec && m_config.spec->targetsCheckFences;
}

void ControlGroup::sendOrders()
{
    if (!hasAuthority(m_now))
        return;
    if (m_config.shuttingDown && m_now - m_shutdownSince > m_config.shutdownGrace)
        return;
    // Without fencing a target accepts any order, which could restore a shard that it has lost. Only a controller,
    // which knows the assignment, may send orders to such targets.
    if (m_role == ControlRole::Steward && !checksFences())
        return;
    // Before the first record targets hold no leases to renew, and two candidates may still use the same term.
    if (m_record.witnesses.empty())
        return;
    if (m_now - m_lastPendingGrantCheck >= pendingGrantCheckInterval && unheldShards() != 0) {
        m_lastPendingGrantCheck = m_now;
        m_ownerChangesPending = true;
    }
    bool hasChanges = false;
    for (const Instance &target : m_targets)
        hasChanges |= sendOrder(target, m_leases[target.id]);
    m_ownerChangesPending = m_ownerChangesPending && hasChanges;
}

/// Sends an order if one is due. Returns whether the target has, or may have, grants or releases to act on.
bool ControlGroup::sendOrder(const Instance &target, TargetLease &lease)
{
    if (!isOrderDue(lease))
        return lease.orderPending || m_ownerChangesPending;
    TargetOrder order = orderFor(target.id, lease);
    const bool hasChanges = !order.grants.empty() || !order.releases.empty();
    if (!hasChanges && !needsFirstRenewal(lease) && m_now - lease.orderSentAt < m_timing.renewalInterval)
        return false;
    order.sequence = m_nextSequence++;
    lease.sentSequence = order.sequence;
    lease.orderSentAt = m_now;
    lease.orderPending = true;
    if (!order.grants.empty())
        lease.grantSequence = order.sequence;
    // The clock reading was taken before it arrived, so an expiry counted from its arrival is never too early. A target
    // that doesn't check fences counts from the receipt of the order, which has no bound here: see isLeaseExpired().
    lease.wasRenewed = order.targetIncarnation != 0;
    if (lease.wasRenewed)
        lease.latestExpiry
            = std::max(lease.latestExpiry, lease.anchorReceivedAt + withDrift(m_timing, m_timing.targetLease));
    m_effects.push_back(OrderTarget{target.id, target.address, std::move(order), authorityEnd()});
    return true;
}

TargetOrder ControlGroup::orderFor(const std::string &target, const TargetLease &lease) const
{
    TargetOrder order{m_group, m_term, 0, lease.incarnation, lease.anchor, m_timing.targetLease, {}, {}};
    const bool mayChangeOwners = m_role == ControlRole::Controller && m_assignmentFresh && m_assignmentWrittenThisTerm;
    if (!mayChangeOwners || lease.incarnation == 0)
        return order;
    for (const ShardEpoch &held : lease.held) {
        const bool isRecorded = held.shard < m_assignment.shards.size()
            && m_assignment.shards[held.shard].target == target && m_assignment.shards[held.shard].epoch == held.epoch;
        if (!isRecorded || m_config.shuttingDown)
            order.releases.push_back(held);
    }
    if (m_config.shuttingDown)
        return order;
    for (std::uint32_t shard = 0; shard < m_assignment.shards.size(); ++shard) {
        const ShardOwner &owner = m_assignment.shards[shard];
        if (owner.target == target && !lease.held.contains({shard, owner.epoch}) && mayGrant(owner, shard))
            order.grants.push_back({shard, owner.epoch});
    }
    return order;
}

/// Whether the target's grants have not been renewed in this term. After a takeover they are close to expiry: the first
/// order only fetches a clock reading, and the second, which renews, must follow at once.
bool ControlGroup::needsFirstRenewal(const TargetLease &lease) noexcept
{
    return lease.incarnation == 0 || !lease.wasRenewed;
}

bool ControlGroup::isOrderDue(const TargetLease &lease) const
{
    const Duration sinceLast = m_now - lease.orderSentAt;
    if (lease.orderPending)
        return sinceLast >= m_timing.orderTimeout;
    return needsFirstRenewal(lease)
        || sinceLast >= (m_ownerChangesPending ? m_timing.handoverPollInterval : m_timing.renewalInterval);
}

bool ControlGroup::mayGrant(const ShardOwner &owner, std::uint32_t shard) const
{
    return hasReleased(owner.previousTarget, shard, owner.epoch);
}

/// Whether `target` certainly holds no grant of `shard` with an epoch below `beforeEpoch` and can't receive one.
bool ControlGroup::hasReleased(const std::string &target, std::uint32_t shard, std::uint64_t beforeEpoch) const
{
    if (target.empty())
        return true;
    if (const auto found = m_leases.find(target); found != m_leases.end() && found->second.reportedThisTerm) {
        const TargetLease &lease = found->second;
        const auto holds = [&](const ShardEpoch &held) { return held.shard == shard && held.epoch < beforeEpoch; };
        const bool isHeld = std::any_of(lease.held.begin(), lease.held.end(), holds);
        // An order in flight could still grant the shard again until the target has answered that order or a later one.
        if (!isHeld && lease.reportSequence >= lease.grantSequence)
            return true;
    }
    return isLeaseExpired(target);
}

/// Whether all grants of `target` have certainly expired and no other daemon can have renewed one.
///
/// The expiry must precede the send time of a heartbeat that a majority of witnesses acknowledged. A later controller
/// needs a promise from one of these witnesses, given after that heartbeat, so its first renewal comes after the
/// expiry. A renewal doesn't restore an expired grant.
bool ControlGroup::isLeaseExpired(const std::string &target) const
{
    const auto found = m_leases.find(target);
    const bool isKnown = found != m_leases.end();
    if (isKnown && found->second.processGone && !checksFences())
        return true;
    if (!checksFences())
        return !m_listed.contains(target);
    const Time earlierTermsEnd
        = m_electedAt + withDrift(m_timing, m_timing.controlLease) + withDrift(m_timing, m_timing.targetLease);
    const Time end = isKnown && found->second.reportedThisTerm
        ? found->second.latestExpiry
        : std::max(earlierTermsEnd, isKnown ? found->second.latestExpiry : 0ms);
    return majorityAckedSendTime(m_record.witnesses) > end;
}

void ControlGroup::markLostTargets()
{
    for (auto &[target, lease] : m_leases) {
        if (lease.lost || !isLeaseExpired(target))
            continue;
        lease.lost = true;
        lease.held.clear();
        m_ownerChangesPending = true;
        note(events::targetLost, m_group + " " + target);
    }
    // Keep a target that left the instance list only while one of its grants could still be valid.
    std::erase_if(m_leases, [this](const auto &entry) { return entry.second.lost && !m_listed.contains(entry.first); });
}

std::vector<PlacementTarget> ControlGroup::placementTargets() const
{
    std::vector<PlacementTarget> targets;
    for (const Instance &instance : m_targets) {
        const auto found = m_leases.find(instance.id);
        const bool isLost = found != m_leases.end() && found->second.lost;
        const bool isLeaving = instance.leaving || m_config.drainedTargets.contains(instance.id);
        const bool answers = found != m_leases.end() && found->second.reportedThisTerm
            && m_now - found->second.lastReport < m_timing.renewalInterval + m_timing.orderTimeout;
        targets.push_back({instance.id, instance.failureDomain, !isLost && !isLeaving, answers});
    }
    return targets;
}

/// A shard may move only once its previous owner has certainly released it, since an assignment names just one previous
/// owner.
bool ControlGroup::isMovable(std::uint32_t shard) const
{
    const ShardOwner &owner = m_assignment.shards[shard];
    return owner.target.empty() || mayGrant(owner, shard);
}

Assignment ControlGroup::resizedAssignment() const
{
    Assignment next = m_assignment;
    next.term = m_term;
    next.shards.resize(m_config.spec->shardCount);
    return next;
}

bool ControlGroup::isReadyToPlan() const
{
    return m_assignmentFresh && mayCall(m_assignmentWrite) && hasAuthority(m_now)
        && m_now - m_roleSince >= firstPlanDelay;
}

void ControlGroup::readMissingState()
{
    if (!m_assignmentFresh && !m_assignmentWrite.pending && mayCall(m_assignmentRead)) {
        beginCall(m_assignmentRead);
        m_effects.push_back(ReadAssignment{});
    }
    if (!m_recordKnown && mayCall(m_recordRead)) {
        beginCall(m_recordRead);
        m_effects.push_back(ReadRecord{});
    }
}

std::size_t ControlGroup::applyMoves(Assignment &next, const std::vector<Move> &moves) const
{
    std::size_t moved = 0;
    for (const Move &move : moves) {
        if (move.shard < m_assignment.shards.size() && !isMovable(move.shard))
            continue;
        ShardOwner &owner = next.shards[move.shard];
        const auto from = m_leases.find(owner.target);
        const bool isAfterLoss = from != m_leases.end() && from->second.lost;
        owner = ShardOwner{move.to, owner.epoch + 1, owner.target, isAfterLoss};
        ++moved;
    }
    return moved;
}

void ControlGroup::planAndWrite()
{
    if (!isReadyToPlan())
        return;
    // Rate-limit voluntary moves, so that a target with cold caches gets its load gradually and no shard moves
    // repeatedly.
    const bool isRebalanceDue = m_now - m_lastPlan >= m_timing.rebalanceInterval && unheldShards() == 0;
    PlacementLimits limits = m_limits;
    if (isRebalanceDue)
        m_lastPlan = m_now;
    else
        limits.maxVoluntaryMoves = 0;
    Assignment next = resizedAssignment();
    const std::size_t moved = applyMoves(next, planMoves(next, placementTargets(), m_load, limits));
    if (m_assignmentWrittenThisTerm && moved == 0)
        return;
    if (moved != 0)
        note(events::movesPlanned, m_group + " " + std::to_string(moved) + " shards");
    beginCall(m_assignmentWrite);
    m_writing = std::move(next);
    m_effects.push_back(WriteAssignment{m_writing, m_assignmentRevision});
}

} // namespace sardinehinge::core
