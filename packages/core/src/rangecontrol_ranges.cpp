#include <sardinehinge/core/eventnumbers.h>
#include <sardinehinge/core/rangecontrol.h>

#include <algorithm>
#include <utility>

namespace sardinehinge::core {

namespace {

/// Margin for the time that an order spends between two processes and in their schedulers.
constexpr Duration orderMargin = std::chrono::milliseconds(50);
/// Minimum time between two grants that are sent because the owner rejected a key.
constexpr Duration refusalPause = std::chrono::milliseconds(40);
/// Share of a warming target's capacity that is counted on.
constexpr double warmingShare = 0.5;
/// Neighbouring ranges of an owner are merged when it has more than this many: each is renewed by itself.
constexpr std::size_t comfortableRanges = 2;

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
    m_targets.clear();
    for (const RegisteredTarget &target : event.targets) {
        m_targets[target.identity.id] = target;
        m_addresses[target.identity.id] = target.address;
    }
}

void RangeControl::on(const KeyLoadReport &event)
{
    if (m_role != Role::Controller)
        return;
    m_keyLoad.add(event.requests);
    for (const auto &[id, slowness] : event.slowness)
        m_speeds.add(id, slowness, m_now);
}

void RangeControl::on(const KeyRefused &event)
{
    for (RangeAssignment &assignment : m_assignments) {
        const bool isOwners = assignment.owned.range.contains(event.key) && assignment.owned.owner.id == event.target;
        if (!isOwners || m_now - assignment.lastOrderAt < refusalPause
            || (assignment.phase != Phase::Held && assignment.phase != Phase::Granting))
            continue;
        logEvent(events::keyRefused, event.target + " refused key " + std::to_string(event.key) + ": granted again");
        assignment.nextOrderAt = m_now;
    }
}

void RangeControl::advanceRanges()
{
    if (!hasAuthority())
        return;
    for (RangeAssignment &assignment : m_assignments)
        advance(assignment);
}

void RangeControl::advance(RangeAssignment &assignment)
{
    if (assignment.phase == Phase::Free)
        return;
    const RegisteredTarget *target = findTarget(assignment.owned.owner.id);
    if (target != nullptr && target->identity.incarnation > assignment.owned.owner.incarnation
        && assignment.phase != Phase::Releasing)
        adoptRestartedTarget(assignment, *target);
    switch (assignment.phase) {
    case Phase::Granting:
    case Phase::Held:
        if (target == nullptr || target->isDraining)
            startRelease(assignment, {});
        else if (assignment.unansweredSince != 0ms && m_now - assignment.unansweredSince > m_timing.unresponsiveTimeout)
            startExpiry(assignment, "no answer to orders");
        else if (m_now >= assignment.nextOrderAt)
            sendGrant(assignment);
        break;
    case Phase::Releasing:
        if (m_now >= assignment.releaseDeadline)
            startExpiry(assignment, "no answer to a release");
        break;
    case Phase::Expiring:
        if (m_now >= assignment.leaseExpiry)
            markFree(assignment, {});
        break;
    case Phase::Free:
        break;
    }
}

/// The target started again under its id: the earlier life holds nothing any more, and the later one may already have
/// taken a renewal that was meant for it. So it stays the owner, under a fence of its own.
void RangeControl::adoptRestartedTarget(RangeAssignment &assignment, const RegisteredTarget &target)
{
    assignment.owned.owner = target.identity;
    assignment.owned.fence = assignment.initialFence = nextFence();
    assignment.phase = Phase::Granting;
    assignment.handoverToken.clear();
    assignment.nextOrderAt = m_now;
    assignment.unansweredSince = 0ms;
    assignment.refusedConnections = 0;
    m_cooldownUntil.erase(target.identity.id);
}

void RangeControl::sendGrant(RangeAssignment &assignment)
{
    const std::string address = addressOf(assignment.owned.owner.id);
    const std::uint64_t id = m_nextOrderId++;
    if (std::exchange(assignment.needsNewFence, false))
        assignment.owned.fence = nextFence();
    m_pendingOrders[id]
        = {false, assignment.owned.owner, assignment.owned.range, assignment.owned.fence, assignment.leaseExpiry};
    assignment.lastOrderAt = m_now;
    assignment.nextOrderAt = m_now + m_timing.hedgedOrderDelay;
    assignment.leaseExpiry = std::max(assignment.leaseExpiry, m_now + maxHoldTime(m_storedRecord.lease));
    if (assignment.unansweredSince == 0ms)
        assignment.unansweredSince = m_now;
    m_effects.emplace_back(RangeOrder{id, false, assignment.owned.owner.id, address, assignment.owned.range,
                                      assignment.owned.fence, m_storedRecord.lease, m_timing.orderTimeout,
                                      assignment.handoverToken});
}

void RangeControl::startRelease(RangeAssignment &assignment, const std::string &destination)
{
    const std::string address = addressOf(assignment.owned.owner.id);
    assignment.destination = destination;
    if (address.empty())
        return startExpiry(assignment, "its address is not known");
    const std::uint64_t id = m_nextOrderId++;
    const std::uint64_t fence = nextFence();
    assignment.phase = Phase::Releasing;
    assignment.owned.fence = assignment.initialFence = fence;
    assignment.releaseDeadline = m_now + m_timing.releaseTimeout;
    assignment.lastOrderAt = m_now;
    m_pendingOrders[id] = {true, assignment.owned.owner, assignment.owned.range, fence, assignment.leaseExpiry};
    logEvent(events::rangeReleasing,
             text(assignment.owned.range) + " " + assignment.owned.owner.id + " to "
                 + (destination.empty() ? std::string("whoever has room") : destination));
    m_effects.emplace_back(RangeOrder{
        id, true, assignment.owned.owner.id, address, assignment.owned.range, fence, 0ms, m_timing.releaseTimeout, {}});
}

void RangeControl::startExpiry(RangeAssignment &assignment, const std::string &why)
{
    assignment.phase = Phase::Expiring;
    m_cooldownUntil[assignment.owned.owner.id] = m_now + m_timing.lostTargetCooldown;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(assignment.leaseExpiry - m_now).count();
    logEvent(events::rangeLeaseExpiring,
             text(assignment.owned.range) + " " + assignment.owned.owner.id + ": " + why + ", its lease may run for "
                 + std::to_string(left) + " ms");
}

void RangeControl::markFree(RangeAssignment &assignment, std::string handover)
{
    assignment.phase = Phase::Free;
    assignment.handoverToken = std::move(handover);
    logEvent(events::rangeFree, text(assignment.owned.range) + " no longer held by " + assignment.owned.owner.id);
}

void RangeControl::on(const OrderEnded &event)
{
    const auto found = m_pendingOrders.find(event.order);
    if (found == m_pendingOrders.end())
        return;
    const PendingOrder order = found->second;
    m_pendingOrders.erase(found);
    for (RangeAssignment &assignment : m_assignments) {
        // A range may have been cut or merged since: what was ordered under another fence says nothing of it.
        const bool isMeant = assignment.initialFence <= order.fence && order.fence <= assignment.owned.fence
            && assignment.owned.owner == order.target && order.range.first <= assignment.owned.range.first
            && assignment.owned.range.last <= order.range.last;
        if (!isMeant)
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
                     text(assignment.owned.range) + " to " + assignment.owned.owner.id + " fence "
                         + std::to_string(assignment.owned.fence));
        assignment.phase = Phase::Held;
        assignment.isInherited = false;
        assignment.handoverToken.clear();
        assignment.unansweredSince = 0ms;
        assignment.refusedConnections = 0;
        assignment.nextOrderAt = m_now + m_storedRecord.lease / m_timing.renewalsPerLease;
        if (!hasPendingGrant(assignment))
            assignment.leaseExpiry = m_now + maxHoldTime(m_storedRecord.lease) - m_timing.orderTimeout;
        m_cooldownUntil.erase(assignment.owned.owner.id);
    } else if (end == OrderEndKind::HigherFence) {
        if (order.fence != assignment.owned.fence)
            return; // An earlier order of ours came after a later one.
        // A later controller may have given it: nothing is ordered until the store has said who controls.
        assignment.owned.fence = nextFence();
        assignment.nextOrderAt = m_now;
        m_confirmationRequiredSince = m_now;
    } else if (end == OrderEndKind::Unanswered) {
        assignment.needsNewFence = true;
    } else {
        assignment.needsNewFence = true;
        ++assignment.refusedConnections;
        if (!hasPendingGrant(assignment))
            assignment.leaseExpiry = std::min(assignment.leaseExpiry, order.previousLeaseExpiry);
        constexpr std::uint32_t goneAfter = 2;
        if (assignment.refusedConnections >= goneAfter && assignment.phase != Phase::Expiring)
            startExpiry(assignment, "its host refuses connections");
    }
}

void RangeControl::finishRelease(RangeAssignment &assignment, const OrderEnded &event)
{
    if (assignment.phase != Phase::Releasing)
        return;
    if (event.end == OrderEndKind::Accepted)
        markFree(assignment, event.handover);
    else
        startExpiry(assignment, "the release came to no end");
}

std::vector<RegisteredTarget> RangeControl::readyTargets() const
{
    std::vector<RegisteredTarget> ready;
    for (const auto &[id, target] : m_targets) {
        const auto avoid = m_cooldownUntil.find(id);
        if (!target.isDraining && (avoid == m_cooldownUntil.end() || avoid->second <= m_now))
            ready.push_back(target);
    }
    return ready;
}

std::vector<RangeCandidate> RangeControl::candidates() const
{
    std::vector<RangeCandidate> candidates;
    for (const RegisteredTarget &target : readyTargets()) {
        double capacity = static_cast<double>(target.slots) * m_speeds.speed(target.identity.id, m_now);
        if (target.warmupLeft > 0ms)
            capacity *= warmingShare;
        candidates.push_back({target.identity.id, capacity});
    }
    return candidates;
}

std::map<std::string, double> RangeControl::loadByTarget() const
{
    std::map<std::string, double> use;
    for (const RangeAssignment &assignment : m_assignments) {
        const double load = m_keyLoad.of(assignment.owned.range);
        const bool goes = assignment.phase == Phase::Free || assignment.phase == Phase::Releasing
            || assignment.phase == Phase::Expiring;
        use[goes ? assignment.destination : assignment.owned.owner.id] += load;
    }
    return use;
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

/// Names a next owner for every free range that has none. A range that lost its owner is cut in two, so that no single
/// target gets all of its load.
void RangeControl::chooseDestinations()
{
    const auto all = candidates();
    if (all.empty())
        return;
    std::vector<RangeAssignment> chosen;
    auto used = loadByTarget();
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
            // Ranges without load get a small weight, or the first target in order would get all of them.
            const double load = m_keyLoad.of(piece) + static_cast<double>(piece.size()) / (lastKey + 1);
            part.destination = leastLoadedTarget(all, used, load);
            used[part.destination] += load;
            chosen.push_back(part);
        }
    }
    m_assignments = std::move(chosen);
}

OwnershipRecord RangeControl::makeRecord()
{
    OwnershipRecord record = m_storedRecord;
    // A write that was given up may still take effect: until that is known, only its voters may be written again.
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
        if (assignment.phase == Phase::Free) {
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
    if (m_assignments.empty()) {
        auto ready = readyTargets();
        if (ready.empty() || m_now - m_targetsChangedAt < m_timing.initialAssignmentDelay)
            return;
        std::sort(ready.begin(), ready.end(), [](const RegisteredTarget &left, const RegisteredTarget &right) {
            return std::tie(left.failureDomain, left.identity.id) < std::tie(right.failureDomain, right.identity.id);
        });
        assignInitialRanges(ready);
    }
    const bool isAnyFree
        = std::any_of(m_assignments.begin(), m_assignments.end(),
                      [](const RangeAssignment &assignment) { return assignment.phase == Phase::Free; });
    const bool areVotersDue = shouldReplaceVoters() && m_now >= m_nextVoterChangeAt;
    if (!isAnyFree && !areVotersDue)
        return;
    chooseDestinations();
    const bool isAnyChosen
        = std::any_of(m_assignments.begin(), m_assignments.end(), [this](const RangeAssignment &assignment) {
              return assignment.phase == Phase::Free && findTarget(assignment.destination) != nullptr;
          });
    if (!isAnyChosen && !areVotersDue)
        return;
    m_pendingRecord = makeRecord();
    m_isWritePending = true;
    m_nextWriteAt = m_now + m_timing.storeWriteTimeout;
    m_effects.emplace_back(WriteOwnership{m_pendingRecord, m_revision});
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
        assignment.isInherited = false;
        assignment.destination.clear();
        assignment.leaseExpiry = m_now;
        assignment.nextOrderAt = m_now;
        assignment.unansweredSince = 0ms;
        assignment.refusedConnections = 0;
        ++count;
    }
    logEvent(events::rangesRecorded,
             "revision " + std::to_string(m_revision) + ": " + std::to_string(count) + " ranges get their owner");
}

void RangeControl::planIfDue()
{
    if (m_now < m_nextPlanAt || !hasAuthority() || m_isStopping)
        return;
    m_nextPlanAt = m_now + m_timing.planInterval;
    mergeNeighbours();
    // No move can complete without the store: its keys would stay without an owner.
    const bool isStoreNear = m_now - m_storeConfirmedAt < m_timing.storeContactTimeout;
    const auto moving
        = std::count_if(m_assignments.begin(), m_assignments.end(), [](const RangeAssignment &assignment) {
              return assignment.phase == Phase::Free || assignment.phase == Phase::Releasing;
          });
    constexpr int mostMoving = 12;
    if (isStoreNear && moving < mostMoving) {
        std::vector<RoutedRange> ranges;
        for (const RangeAssignment &assignment : m_assignments) {
            // An owner that answers orders late may be overloaded: its ranges count as held, so that they can be moved.
            const RangeState state = assignment.phase == Phase::Held ? RangeState::Held : RangeState::Moving;
            const bool goes = state == RangeState::Moving && !assignment.destination.empty();
            ranges.push_back(
                {assignment.owned.range, goes ? assignment.destination : assignment.owned.owner.id, state});
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

/// Cuts the entry that holds `part` so that `part` is an entry of its own.
void RangeControl::splitOff(const KeyRange &part)
{
    std::vector<RangeAssignment> cut;
    for (const RangeAssignment &assignment : m_assignments) {
        const KeyRange whole = assignment.owned.range;
        if (!whole.contains(part.first) || !whole.contains(part.last) || whole == part) {
            cut.push_back(assignment);
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
            cut.push_back(piece);
        }
    }
    m_assignments = std::move(cut);
}

/// Joins neighbouring ranges of an owner that has many. The owner holds all of them, so a grant of the whole under a
/// new fence takes nothing away from anybody.
void RangeControl::mergeNeighbours()
{
    std::map<std::string, std::size_t> counts;
    for (const RangeAssignment &assignment : m_assignments)
        ++counts[assignment.owned.owner.id];
    const auto isQuiet = [](const RangeAssignment &assignment) {
        return assignment.phase == Phase::Held && assignment.unansweredSince == 0ms;
    };
    std::vector<RangeAssignment> merged;
    for (const RangeAssignment &assignment : m_assignments) {
        const bool canMerge = !merged.empty() && isQuiet(assignment) && isQuiet(merged.back())
            && merged.back().owned.owner == assignment.owned.owner
            && counts[assignment.owned.owner.id] > comfortableRanges;
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

void RangeControl::announceIfChanged()
{
    if (m_now < m_nextAnnouncementAt)
        return;
    std::vector<RoutedRange> ranges;
    const bool isStoreNear = m_now - m_storeConfirmedAt < m_timing.storeContactTimeout;
    for (const RangeAssignment &assignment : m_assignments) {
        RangeState state = RangeState::Moving;
        if (assignment.phase == Phase::Held || (assignment.phase == Phase::Granting && assignment.isInherited))
            state = RangeState::Held;
        else if (assignment.phase == Phase::Expiring || (assignment.phase == Phase::Free && !isStoreNear))
            state = RangeState::OwnerLost;
        // Routers don't need the owner of a moving range. Omitting it saves announcements.
        const std::string owner = state == RangeState::Moving ? std::string() : assignment.owned.owner.id;
        if (!ranges.empty() && ranges.back().owner == owner && ranges.back().state == state)
            ranges.back().range.last = assignment.owned.range.last;
        else
            ranges.push_back({assignment.owned.range, owner, state});
    }
    if (ranges == m_announcedRanges || ranges.empty())
        return;
    m_announcedRanges = std::move(ranges);
    m_nextAnnouncementAt = m_now + m_timing.announcementIntervalPerPeer * static_cast<Duration::rep>(m_peers.size());
    ++m_announcementSequence;
    m_effects.emplace_back(AnnounceOwners{owners()});
}

} // namespace sardinehinge::core
