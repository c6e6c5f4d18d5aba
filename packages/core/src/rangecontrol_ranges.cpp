#include <sardinehinge/core/eventnumbers.h>
#include <sardinehinge/core/rangecontrol.h>
#include <sardinehinge/core/text.h>

#include <algorithm>
#include <utility>

namespace sardinehinge::core {

namespace {

/// Allowance for network and scheduling delays of an order.
constexpr Duration orderMargin = std::chrono::milliseconds(50);
/// Minimum time from an order for a range to a repeated grant after the owner refused a key of the range.
constexpr Duration minRegrantInterval = std::chrono::milliseconds(40);

std::string text(const KeyRange &range)
{
    return std::to_string(range.first) + ".." + std::to_string(range.last);
}

} // namespace

Duration RangeControl::maxHoldTime(Duration lease) const noexcept
{
    return m_timing.orderTimeout + std::chrono::duration_cast<Duration>(lease * m_timing.clockDriftFactor)
        + orderMargin;
}

Duration RangeControl::leaseDuration() const noexcept
{
    const auto wanted = m_timing.leasePerTarget * static_cast<Duration::rep>(m_targets.size());
    return std::clamp(wanted, m_timing.minLease, m_timing.maxLease);
}

Duration RangeControl::maxInheritedLease() const noexcept
{
    Duration longest = m_timing.minLease;
    for (const PastController &past : m_storedRecord.predecessors)
        longest = std::max(longest, past.lease);
    return longest;
}

const RegisteredTarget *RangeControl::findTarget(const std::string &id) const
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : &found->second;
}

std::string RangeControl::addressOf(const std::string &target) const
{
    const auto found = m_addresses.find(target);
    return found == m_addresses.end() ? std::string() : found->second;
}

bool RangeControl::hasPendingGrant(const RangeAssignment &assignment) const
{
    return std::any_of(m_pendingOrders.begin(), m_pendingOrders.end(), [&assignment](const auto &item) {
        const PendingOrder &order = item.second;
        return !order.isRelease && order.target.id == assignment.owned.owner.id
            && order.range.first <= assignment.owned.range.last && assignment.owned.range.first <= order.range.last;
    });
}

void RangeControl::on(const ControlTargets &event)
{
    if (event.targets.size() > m_targets.size())
        m_targetsChangedAt = m_now;
    const bool isSame = std::equal(event.targets.begin(), event.targets.end(), m_targets.begin(), m_targets.end(),
                                   [](const auto &target, const auto &known) { return target == known.second; });
    if (isSame)
        return;
    ++m_targetsRevision;
    m_targets.clear();
    std::erase_if(m_rateLimits, [&event](const auto &limit) {
        return std::none_of(event.targets.begin(), event.targets.end(),
                            [&limit](const RegisteredTarget &target) { return target.identity.id == limit.first; });
    });
    for (const RegisteredTarget &target : event.targets) {
        m_targets[target.identity.id] = target;
        m_addresses[target.identity.id] = target.address;
    }
    m_speeds.keepOnly(m_targets);
}

void RangeControl::on(const KeyLoadReport &event)
{
    if (m_role != Role::Controller)
        return;
    m_keyLoad.add(event.requests);
    for (const auto &[id, slowness] : event.slowness) {
        if (m_targets.contains(id))
            m_speeds.add(id, slowness, m_now);
    }
}

void RangeControl::on(const KeyRefused &event)
{
    for (RangeAssignment &assignment : m_assignments) {
        const bool isOwnedByTarget
            = assignment.owned.range.contains(event.key) && assignment.owned.owner.id == event.target;
        if (!isOwnedByTarget || m_now - assignment.lastOrderAt < minRegrantInterval
            || (assignment.phase != Phase::Held && assignment.phase != Phase::Granting))
            continue;
        logEvent(events::keyRefused,
                 logValue(event.target) + " refused key " + std::to_string(event.key) + "; granting its range again");
        assignment.nextOrderAt = m_now;
    }
}

void RangeControl::advanceRanges()
{
    if (!hasAuthority())
        return;
    for (RangeAssignment &assignment : m_assignments) {
        if (!isSettled(assignment))
            advance(assignment);
        else if (m_now >= assignment.nextOrderAt)
            m_isLinkUnconfirmed = true;
    }
}

bool RangeControl::isSettled(const RangeAssignment &assignment) const noexcept
{
    const bool isOwned = assignment.phase == Phase::Granting || assignment.phase == Phase::Held;
    const bool isOverdue
        = assignment.unansweredSince != 0ms && m_now - assignment.unansweredSince > m_timing.unresponsiveTimeout;
    return isOwned && !isOverdue && assignment.checkedTargets == m_targetsRevision
        && (m_now < assignment.nextOrderAt || isAwaitingConfirmation(assignment));
}

bool RangeControl::isAwaitingConfirmation(const RangeAssignment &assignment) const noexcept
{
    return assignment.unconfirmedLink != 0ms && m_storeConfirmedAt < assignment.unconfirmedLink
        && m_now - assignment.unconfirmedLink <= m_timing.linkVoterDelay;
}

void RangeControl::advance(RangeAssignment &assignment)
{
    if (assignment.phase == Phase::Free)
        return;
    ++m_work.rangeChecks;
    const RegisteredTarget *target = findTarget(assignment.owned.owner.id);
    if (target != nullptr && target->identity.incarnation > assignment.owned.owner.incarnation
        && assignment.phase != Phase::Releasing)
        adoptRestartedTarget(assignment, *target);
    switch (assignment.phase) {
    case Phase::Granting:
    case Phase::Held:
        if ((target == nullptr || target->isDraining) && mayChangeOwners())
            startRelease(assignment, {});
        else if (assignment.unansweredSince != 0ms && m_now - assignment.unansweredSince > m_timing.unresponsiveTimeout)
            startExpiry(assignment, "no response to orders");
        else if (m_now >= assignment.nextOrderAt)
            sendGrant(assignment);
        if (target != nullptr && !target->isDraining)
            assignment.checkedTargets = m_targetsRevision;
        break;
    case Phase::Releasing:
        if (m_now >= assignment.releaseDeadline)
            startExpiry(assignment, "no response to a release");
        break;
    case Phase::Expiring:
        if (m_now >= assignment.leaseExpiry)
            markFree(assignment, {});
        break;
    case Phase::Free:
        break;
    }
}

/// Makes the new incarnation of a restarted target the owner, under a new fence. The earlier incarnation no longer
/// holds anything, and the new one may already have accepted a renewal that was meant for the earlier one.
void RangeControl::adoptRestartedTarget(RangeAssignment &assignment, const RegisteredTarget &target)
{
    assignment.owned.owner = target.identity;
    assignment.owned.fence = assignment.initialFence = nextFence();
    assignment.phase = Phase::Granting;
    assignment.handoverToken.clear();
    assignment.nextOrderAt = m_now;
    assignment.unansweredSince = 0ms;
    assignment.failedConnections = 0;
    m_cooldownUntil.erase(target.identity.id);
}

void RangeControl::sendGrant(RangeAssignment &assignment)
{
    const std::string address = addressOf(assignment.owned.owner.id);
    const bool isReady = prepareLink(address);
    const TargetLink &link = m_links[address];
    assignment.unconfirmedLink = !isReady && link.isOpen ? link.openedAt : 0ms;
    if (!isReady)
        return;
    // Silence counts from the first order: until then this daemon's own connection or confirmation is missing.
    if (assignment.unansweredSince == 0ms)
        assignment.unansweredSince = m_now;
    if (assignment.phase == Phase::Held)
        m_work.latestRenewal = std::max(m_work.latestRenewal, m_now - assignment.nextOrderAt);
    ++m_work.grants;
    const std::uint64_t id = m_nextOrderId++;
    // No two grants share a fence. A renewal may reach another process that has started at the target's address, and
    // must not grant it keys under a fence that the owner held them with.
    assignment.owned.fence = nextFence();
    m_pendingOrders[id] = {
        false, assignment.owned.owner, assignment.owned.range, assignment.owned.fence, assignment.leaseExpiry, address,
        m_now};
    assignment.lastOrderAt = m_now;
    assignment.nextOrderAt = m_now + m_timing.hedgedOrderDelay;
    assignment.leaseExpiry = std::max(assignment.leaseExpiry, m_now + maxHoldTime(m_storedRecord.lease));
    m_effects.emplace_back(RangeOrder{id, false, assignment.owned.owner.id, address, assignment.owned.range,
                                      assignment.owned.fence, m_storedRecord.lease, m_timing.orderTimeout,
                                      m_timing.orderTimeout, assignment.handoverToken});
}

void RangeControl::startRelease(RangeAssignment &assignment, const std::string &destination)
{
    const std::string address = addressOf(assignment.owned.owner.id);
    assignment.destination = destination;
    if (address.empty())
        return startExpiry(assignment, "the address of the target is unknown");
    const std::uint64_t id = m_nextOrderId++;
    const std::uint64_t fence = nextFence();
    assignment.phase = Phase::Releasing;
    assignment.owned.fence = assignment.initialFence = fence;
    assignment.releaseDeadline = m_now + m_timing.releaseTimeout;
    assignment.lastOrderAt = m_now;
    m_pendingOrders[id]
        = {true, assignment.owned.owner, assignment.owned.range, fence, assignment.leaseExpiry, address, m_now};
    // The next owner's connection is confirmed by the write that records it.
    if (const std::string next = addressOf(destination); !next.empty())
        openLink(next);
    logEvent(events::rangeReleasing,
             text(assignment.owned.range) + " " + logValue(assignment.owned.owner.id) + " to "
                 + (destination.empty() ? std::string("a target that is not chosen yet") : logValue(destination)));
    m_effects.emplace_back(RangeOrder{id,
                                      true,
                                      assignment.owned.owner.id,
                                      address,
                                      assignment.owned.range,
                                      fence,
                                      0ms,
                                      m_timing.releaseTimeout,
                                      m_timing.orderTimeout,
                                      {}});
}

void RangeControl::startExpiry(RangeAssignment &assignment, const std::string &why)
{
    assignment.phase = Phase::Expiring;
    m_cooldownUntil[assignment.owned.owner.id] = m_now + m_timing.lostTargetCooldown;
    const auto remainingMs
        = std::chrono::duration_cast<std::chrono::milliseconds>(assignment.leaseExpiry - m_now).count();
    logEvent(events::rangeLeaseExpiring,
             text(assignment.owned.range) + " " + logValue(assignment.owned.owner.id) + ": " + why
                 + ", the lease expires within " + std::to_string(remainingMs) + " ms");
}

void RangeControl::markFree(RangeAssignment &assignment, std::string handover)
{
    assignment.phase = Phase::Free;
    assignment.handoverToken = std::move(handover);
    logEvent(events::rangeFree,
             text(assignment.owned.range) + " no longer held by " + logValue(assignment.owned.owner.id));
}

void RangeControl::on(const OrderEnded &event)
{
    const auto found = m_pendingOrders.find(event.order);
    if (found == m_pendingOrders.end())
        return;
    const PendingOrder order = found->second;
    m_pendingOrders.erase(found);
    if (event.rateLimit)
        m_rateLimits[order.target.id] = *event.rateLimit;
    else if (event.end == OrderEndKind::Accepted)
        m_rateLimits.erase(order.target.id);
    TargetLink &link = m_links[order.address];
    if (event.end == OrderEndKind::NotConnected && link.openedAt <= order.sentAt)
        link.isOpen = false;
    for (RangeAssignment &assignment : m_assignments) {
        // Ranges may have been split or merged since the order was sent. Its result applies to the ranges that it
        // covers completely and whose owner received it under a fence of the current assignment.
        const bool isAffected = assignment.initialFence <= order.fence && order.fence <= assignment.owned.fence
            && assignment.owned.owner == order.target && order.range.first <= assignment.owned.range.first
            && assignment.owned.range.last <= order.range.last;
        if (!isAffected)
            continue;
        if (order.isRelease)
            finishRelease(assignment, event);
        else
            finishGrant(assignment, order, event.end);
    }
}

void RangeControl::finishGrant(RangeAssignment &assignment, const PendingOrder &order, OrderEndKind end)
{
    if (assignment.phase != Phase::Granting && assignment.phase != Phase::Held && assignment.phase != Phase::Expiring)
        return;
    if (end == OrderEndKind::Accepted) {
        if (assignment.phase != Phase::Held)
            logEvent(events::rangeGranted,
                     text(assignment.owned.range) + " to " + logValue(assignment.owned.owner.id) + " fence "
                         + std::to_string(assignment.owned.fence));
        assignment.phase = Phase::Held;
        assignment.isInherited = false;
        assignment.handoverToken.clear();
        assignment.unansweredSince = 0ms;
        assignment.failedConnections = 0;
        assignment.nextOrderAt = m_now + m_storedRecord.lease / m_timing.renewalsPerLease;
        if (!hasPendingGrant(assignment))
            assignment.leaseExpiry = m_now + maxHoldTime(m_storedRecord.lease) - m_timing.orderTimeout;
        m_cooldownUntil.erase(assignment.owned.owner.id);
    } else if (end == OrderEndKind::HigherFence) {
        if (order.fence != assignment.owned.fence)
            return; // This order arrived after a later one of this controller.
        // A later controller may have granted the range. No orders are sent until the store confirms this controller.
        assignment.nextOrderAt = m_now;
        m_confirmationRequiredSince = m_now;
    } else if (end == OrderEndKind::NotConnected || end == OrderEndKind::Unreachable) {
        assignment.nextOrderAt = m_now;
        if (!hasPendingGrant(assignment))
            assignment.leaseExpiry = std::min(assignment.leaseExpiry, order.previousLeaseExpiry);
    }
}

/// Handles a failed connection to a target. One that other daemons still reach refuses some.
void RangeControl::connectionFailed(const std::string &address)
{
    for (RangeAssignment &assignment : m_assignments) {
        const bool isWaiting = (assignment.phase == Phase::Granting || assignment.phase == Phase::Held)
            && m_now >= assignment.nextOrderAt && addressOf(assignment.owned.owner.id) == address;
        if (!isWaiting)
            continue;
        ++assignment.failedConnections;
        assignment.nextOrderAt = m_now + m_timing.hedgedOrderDelay;
        constexpr std::uint32_t failedConnectionThreshold = 2;
        if (assignment.failedConnections >= failedConnectionThreshold)
            startExpiry(assignment, "connections to the target fail");
    }
}

void RangeControl::finishRelease(RangeAssignment &assignment, const OrderEnded &event)
{
    if (assignment.phase != Phase::Releasing)
        return;
    if (event.end == OrderEndKind::Accepted)
        markFree(assignment, event.handover);
    else
        startExpiry(assignment, "the release failed");
}

OwnershipRecord RangeControl::makeRecord()
{
    OwnershipRecord record = m_storedRecord;
    // An abandoned write may still take effect. Until its result is known, further writes keep its voters, so that the
    // store holds either these or the old ones.
    if (m_isVoterChangePending) {
        record.voters = m_pendingRecord.voters;
    } else if (shouldReplaceVoters() && m_now >= m_nextVoterChangeAt) {
        record.voters = chooseVoters();
        m_nextVoterChangeAt = m_now + m_timing.minVoterChangeInterval;
        m_isVoterChangePending = record.voters != m_storedRecord.voters;
    }
    if (m_activePredecessors.empty() && m_now >= m_inheritedLeaseExpiry)
        record.predecessors.clear();
    record.ranges.clear();
    for (RangeAssignment &assignment : m_assignments) {
        OwnedRange owned = assignment.owned;
        if (assignment.phase == Phase::Free && mayChangeOwners()) {
            const RegisteredTarget *target = findTarget(assignment.destination);
            assignment.isWritePending = target != nullptr;
            owned.owner = target == nullptr ? TargetIdentity{} : target->identity;
            assignment.owned.fence = owned.fence = nextFence();
        }
        record.ranges.push_back(owned);
    }
    return record;
}

void RangeControl::writeRecordIfDue()
{
    if (m_isWritePending || m_now < m_nextWriteAt)
        return;
    if (m_needsRestore)
        return;
    if (m_assignments.empty()) {
        if (m_storedRecord.hasUnknownOwners() && m_now < inheritedLeaseBound())
            return;
        auto ready = readyTargets();
        if (ready.empty() || m_now - m_targetsChangedAt < m_timing.initialAssignmentDelay)
            return;
        std::sort(ready.begin(), ready.end(), [](const RegisteredTarget &left, const RegisteredTarget &right) {
            return std::tie(left.failureDomain, left.identity.id) < std::tie(right.failureDomain, right.identity.id);
        });
        assignInitialRanges(ready);
    }
    const bool isAnyFree = mayChangeOwners()
        && std::any_of(m_assignments.begin(), m_assignments.end(),
                       [](const RangeAssignment &assignment) { return assignment.phase == Phase::Free; });
    const bool isVoterChangeDue = shouldReplaceVoters() && m_now >= m_nextVoterChangeAt;
    if (!isAnyFree && !isVoterChangeDue)
        return;
    if (isAnyFree)
        chooseDestinations();
    const bool isAnyChosen
        = isAnyFree
        && std::any_of(m_assignments.begin(), m_assignments.end(), [this](const RangeAssignment &assignment) {
               return assignment.phase == Phase::Free && findTarget(assignment.destination) != nullptr;
           });
    if (!isAnyChosen && !isVoterChangeDue)
        return;
    m_pendingRecord = makeRecord();
    m_isWritePending = true;
    m_nextWriteAt = m_now + m_timing.storeWriteTimeout;
    writePendingRecord(m_revision);
}

void RangeControl::applyWrittenRecord()
{
    m_isWritePending = false;
    m_nextWriteAt = m_now;
    m_storedRecord = m_pendingRecord;
    m_isVoterChangePending = false;
    std::size_t count = 0;
    for (RangeAssignment &assignment : m_assignments) {
        if (!assignment.isWritePending)
            continue;
        assignment.isWritePending = false;
        const auto recorded
            = std::find_if(m_storedRecord.ranges.begin(), m_storedRecord.ranges.end(), [&](const OwnedRange &owned) {
                  return owned.range == assignment.owned.range && owned.fence == assignment.owned.fence;
              });
        if (recorded == m_storedRecord.ranges.end() || assignment.phase != Phase::Free)
            continue;
        assignment.owned = *recorded;
        assignment.initialFence = recorded->fence;
        assignment.phase = Phase::Granting;
        assignment.checkedTargets = 0;
        assignment.unconfirmedLink = 0ms;
        assignment.isInherited = false;
        assignment.destination.clear();
        assignment.leaseExpiry = m_now;
        assignment.nextOrderAt = m_now;
        assignment.unansweredSince = 0ms;
        assignment.failedConnections = 0;
        ++count;
    }
    logEvent(events::rangesRecorded,
             "revision " + std::to_string(m_revision) + ": " + std::to_string(count) + " ranges assigned");
}

} // namespace sardinehinge::core
