#include <sardinehinge/core/eventnumbers.h>
#include <sardinehinge/core/rangecontrol.h>

#include <algorithm>
#include <utility>

namespace sardinehinge::core {

namespace {

/// Margin for the time that an order spends between two processes and in their schedulers.
constexpr Duration orderMargin = std::chrono::milliseconds(50);
/// A range's owner whose keys are refused is told again no sooner than this.
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

Duration RangeControl::longestHold(Duration lease) const noexcept
{
    return m_timing.orderTimeout + std::chrono::duration_cast<Duration>(lease * m_timing.clockSlack) + orderMargin;
}

Duration RangeControl::leaseForTargets() const noexcept
{
    const auto wanted = m_timing.leasePerTarget * static_cast<Duration::rep>(m_targets.size());
    return std::clamp(wanted, m_timing.leaseMin, m_timing.leaseMax);
}

Duration RangeControl::longestInheritedLease() const noexcept
{
    Duration longest = m_timing.leaseMin;
    for (const PastController &past : m_written.predecessors)
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

bool RangeControl::hasOpenGrant(const Entry &entry) const
{
    return std::any_of(m_orders.begin(), m_orders.end(), [&entry](const auto &item) {
        const OpenOrder &order = item.second;
        return !order.isRelease && order.target.id == entry.owned.owner.id
            && order.range.first <= entry.owned.range.last && entry.owned.range.first <= order.range.last;
    });
}

void RangeControl::on(const ControlTargets &event)
{
    if (event.targets.size() > m_targets.size())
        m_targetsChangedAt = m_now;
    m_targets.clear();
    for (const RegisteredTarget &target : event.targets) {
        m_targets[target.life.id] = target;
        m_addresses[target.life.id] = target.address;
    }
}

void RangeControl::on(const KeyLoadReport &event)
{
    if (m_role != Role::Controller)
        return;
    m_load.add(event.requests);
    for (const auto &[id, slowness] : event.slowness)
        m_speeds.add(id, slowness, m_now);
}

void RangeControl::on(const KeyRefused &event)
{
    for (Entry &entry : m_entries) {
        const bool isOwners = entry.owned.range.contains(event.key) && entry.owned.owner.id == event.target;
        if (!isOwners || m_now - entry.lastOrder < refusalPause
            || (entry.phase != Phase::Held && entry.phase != Phase::Granting))
            continue;
        note(events::keyRefused, event.target + " refused key " + std::to_string(event.key) + ": granted again");
        entry.nextOrder = m_now;
    }
}

void RangeControl::driveRanges()
{
    if (!hasAuthority())
        return;
    for (Entry &entry : m_entries)
        drive(entry);
}

void RangeControl::drive(Entry &entry)
{
    if (entry.phase == Phase::Free)
        return;
    const RegisteredTarget *target = findTarget(entry.owned.owner.id);
    if (target != nullptr && target->life.born > entry.owned.owner.born && entry.phase != Phase::Releasing)
        adoptLaterLife(entry, *target);
    switch (entry.phase) {
    case Phase::Granting:
    case Phase::Held:
        if (target == nullptr || target->isDraining)
            startRelease(entry, {});
        else if (entry.unansweredSince != 0ms && m_now - entry.unansweredSince > m_timing.lostAfter)
            startLapse(entry, "no answer to orders");
        else if (m_now >= entry.nextOrder)
            sendGrant(entry);
        break;
    case Phase::Releasing:
        if (m_now >= entry.releaseEnd)
            startLapse(entry, "no answer to a release");
        break;
    case Phase::Lapsing:
        if (m_now >= entry.mayHoldUntil)
            setFree(entry, {});
        break;
    case Phase::Free:
        break;
    }
}

/// The target started again under its id: the earlier life holds nothing any more, and the later one may already have
/// taken a renewal that was meant for it. So it stays the owner, under a fence of its own.
void RangeControl::adoptLaterLife(Entry &entry, const RegisteredTarget &target)
{
    entry.owned.owner = target.life;
    entry.owned.fence = entry.firstFence = nextFence();
    entry.phase = Phase::Granting;
    entry.handover.clear();
    entry.nextOrder = m_now;
    entry.unansweredSince = 0ms;
    entry.refusedConnections = 0;
    m_avoidUntil.erase(target.life.id);
}

void RangeControl::sendGrant(Entry &entry)
{
    const std::string address = addressOf(entry.owned.owner.id);
    const std::uint64_t id = m_nextOrder++;
    if (std::exchange(entry.needsFence, false))
        entry.owned.fence = nextFence();
    m_orders[id] = {false, entry.owned.owner, entry.owned.range, entry.owned.fence, entry.mayHoldUntil};
    entry.lastOrder = m_now;
    entry.nextOrder = m_now + m_timing.secondOrder;
    entry.mayHoldUntil = std::max(entry.mayHoldUntil, m_now + longestHold(m_written.lease));
    if (entry.unansweredSince == 0ms)
        entry.unansweredSince = m_now;
    m_effects.emplace_back(RangeOrder{id, false, entry.owned.owner.id, address, entry.owned.range, entry.owned.fence,
                                      m_written.lease, m_timing.orderTimeout, entry.handover});
}

void RangeControl::startRelease(Entry &entry, const std::string &destination)
{
    const std::string address = addressOf(entry.owned.owner.id);
    entry.destination = destination;
    if (address.empty())
        return startLapse(entry, "its address is not known");
    const std::uint64_t id = m_nextOrder++;
    const std::uint64_t fence = nextFence();
    entry.phase = Phase::Releasing;
    entry.owned.fence = entry.firstFence = fence;
    entry.releaseEnd = m_now + m_timing.releaseTimeout;
    entry.lastOrder = m_now;
    m_orders[id] = {true, entry.owned.owner, entry.owned.range, fence, entry.mayHoldUntil};
    note(events::rangeReleasing,
         text(entry.owned.range) + " " + entry.owned.owner.id + " to "
             + (destination.empty() ? std::string("whoever has room") : destination));
    m_effects.emplace_back(RangeOrder{
        id, true, entry.owned.owner.id, address, entry.owned.range, fence, 0ms, m_timing.releaseTimeout, {}});
}

void RangeControl::startLapse(Entry &entry, const std::string &why)
{
    entry.phase = Phase::Lapsing;
    m_avoidUntil[entry.owned.owner.id] = m_now + m_timing.avoidTime;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(entry.mayHoldUntil - m_now).count();
    note(events::rangeLeaseExpiring,
         text(entry.owned.range) + " " + entry.owned.owner.id + ": " + why + ", its lease may run for "
             + std::to_string(left) + " ms");
}

void RangeControl::setFree(Entry &entry, std::string handover)
{
    entry.phase = Phase::Free;
    entry.handover = std::move(handover);
    note(events::rangeFree, text(entry.owned.range) + " let go by " + entry.owned.owner.id);
}

void RangeControl::on(const OrderEnded &event)
{
    const auto found = m_orders.find(event.order);
    if (found == m_orders.end())
        return;
    const OpenOrder order = found->second;
    m_orders.erase(found);
    for (Entry &entry : m_entries) {
        // A range may have been cut or merged since: what was ordered under another fence says nothing of it.
        const bool isMeant = entry.firstFence <= order.fence && order.fence <= entry.owned.fence
            && entry.owned.owner == order.target && order.range.first <= entry.owned.range.first
            && entry.owned.range.last <= order.range.last;
        if (!isMeant)
            continue;
        if (order.isRelease)
            finishRelease(entry, event);
        else
            finishGrant(entry, order, event.end);
    }
}

void RangeControl::finishGrant(Entry &entry, const OpenOrder &order, OrderEndKind end)
{
    if (entry.phase != Phase::Granting && entry.phase != Phase::Held && entry.phase != Phase::Lapsing)
        return;
    if (end == OrderEndKind::Accepted) {
        if (entry.phase != Phase::Held)
            note(events::rangeGranted,
                 text(entry.owned.range) + " to " + entry.owned.owner.id + " fence "
                     + std::to_string(entry.owned.fence));
        entry.phase = Phase::Held;
        entry.isInherited = false;
        entry.handover.clear();
        entry.unansweredSince = 0ms;
        entry.refusedConnections = 0;
        entry.nextOrder = m_now + m_written.lease / m_timing.renewalsPerLease;
        if (!hasOpenGrant(entry))
            entry.mayHoldUntil = m_now + longestHold(m_written.lease) - m_timing.orderTimeout;
        m_avoidUntil.erase(entry.owned.owner.id);
    } else if (end == OrderEndKind::HigherFence) {
        if (order.fence != entry.owned.fence)
            return; // An earlier order of ours came after a later one.
        // A later controller may have given it: nothing is ordered until the store has said who controls.
        entry.owned.fence = nextFence();
        entry.nextOrder = m_now;
        m_confirmFrom = m_now;
    } else if (end == OrderEndKind::Unanswered) {
        entry.needsFence = true;
    } else {
        entry.needsFence = true;
        ++entry.refusedConnections;
        if (!hasOpenGrant(entry))
            entry.mayHoldUntil = std::min(entry.mayHoldUntil, order.holdBefore);
        constexpr std::uint32_t goneAfter = 2;
        if (entry.refusedConnections >= goneAfter && entry.phase != Phase::Lapsing)
            startLapse(entry, "its host refuses connections");
    }
}

void RangeControl::finishRelease(Entry &entry, const OrderEnded &event)
{
    if (entry.phase != Phase::Releasing)
        return;
    if (event.end == OrderEndKind::Accepted)
        setFree(entry, event.handover);
    else
        startLapse(entry, "the release came to no end");
}

std::vector<RegisteredTarget> RangeControl::readyTargets() const
{
    std::vector<RegisteredTarget> ready;
    for (const auto &[id, target] : m_targets) {
        const auto avoid = m_avoidUntil.find(id);
        if (!target.isDraining && (avoid == m_avoidUntil.end() || avoid->second <= m_now))
            ready.push_back(target);
    }
    return ready;
}

std::vector<RangeCandidate> RangeControl::candidates() const
{
    std::vector<RangeCandidate> candidates;
    for (const RegisteredTarget &target : readyTargets()) {
        double capacity = static_cast<double>(target.slots) * m_speeds.speed(target.life.id, m_now);
        if (target.warmupLeft > 0ms)
            capacity *= warmingShare;
        candidates.push_back({target.life.id, capacity});
    }
    return candidates;
}

std::map<std::string, double> RangeControl::use() const
{
    std::map<std::string, double> use;
    for (const Entry &entry : m_entries) {
        const double load = m_load.of(entry.owned.range);
        const bool goes
            = entry.phase == Phase::Free || entry.phase == Phase::Releasing || entry.phase == Phase::Lapsing;
        use[goes ? entry.destination : entry.owned.owner.id] += load;
    }
    return use;
}

/// The first assignment: equal shares of the keys, in the order of the targets' failure domains and ids.
void RangeControl::initialRanges(const std::vector<RegisteredTarget> &ready)
{
    const auto count = static_cast<std::uint32_t>(ready.size());
    const std::uint32_t keys = lastKey + 1;
    for (std::uint32_t index = 0; index < count; ++index) {
        Entry entry;
        entry.owned.range = {keys * index / count, (keys * (index + 1) / count) - 1};
        entry.destination = ready[index].life.id;
        m_entries.push_back(entry);
    }
}

/// Names a next owner for every free range that has none. A range that lost its owner is cut in two, so that no single
/// target gets all of its load.
void RangeControl::chooseDestinations()
{
    const auto all = candidates();
    if (all.empty())
        return;
    std::vector<Entry> chosen;
    auto used = use();
    for (Entry &entry : m_entries) {
        const RegisteredTarget *planned = findTarget(entry.destination);
        if (entry.phase != Phase::Free || (planned != nullptr && !planned->isDraining)) {
            chosen.push_back(entry);
            continue;
        }
        const double mean = m_load.total() / static_cast<double>(std::max<std::size_t>(m_targets.size(), 1));
        const bool isLarge = m_load.of(entry.owned.range) > mean / 2;
        const auto pieces = isLarge ? m_load.halves(entry.owned.range) : std::vector{entry.owned.range};
        for (const KeyRange &piece : pieces) {
            Entry part = entry;
            part.owned.range = piece;
            // A range that nobody uses still weighs something, or the first target in order would get all of them.
            const double load = m_load.of(piece) + static_cast<double>(piece.size()) / (lastKey + 1);
            part.destination = leastUsed(all, used, load);
            used[part.destination] += load;
            chosen.push_back(part);
        }
    }
    m_entries = std::move(chosen);
}

OwnershipRecord RangeControl::recordToWrite()
{
    OwnershipRecord record = m_written;
    // A write that was given up may still take effect: until that is known, only its voters may be written again.
    if (m_isVoterWriteOpen) {
        record.voters = m_pending.voters;
    } else if (areVotersWorn() && m_now >= m_nextVoters) {
        record.voters = chooseVoters();
        m_nextVoters = m_now + m_timing.votersPause;
        m_isVoterWriteOpen = record.voters != m_written.voters;
    }
    if (m_unsettled.empty() && m_now >= m_inheritedUntil)
        record.predecessors.clear();
    record.ranges.clear();
    for (Entry &entry : m_entries) {
        OwnedRange owned = entry.owned;
        if (entry.phase == Phase::Free) {
            const RegisteredTarget *target = findTarget(entry.destination);
            entry.isBeingWritten = target != nullptr;
            owned.owner = target == nullptr ? TargetLife{} : target->life;
            entry.owned.fence = owned.fence = nextFence();
        }
        record.ranges.push_back(owned);
    }
    return record;
}

void RangeControl::writeIfDue()
{
    if (m_isWriting || m_now < m_nextWrite)
        return;
    if (m_entries.empty()) {
        auto ready = readyTargets();
        if (ready.empty() || m_now - m_targetsChangedAt < m_timing.firstWait)
            return;
        std::sort(ready.begin(), ready.end(), [](const RegisteredTarget &left, const RegisteredTarget &right) {
            return std::tie(left.failureDomain, left.life.id) < std::tie(right.failureDomain, right.life.id);
        });
        initialRanges(ready);
    }
    const bool isAnyFree = std::any_of(m_entries.begin(), m_entries.end(),
                                       [](const Entry &entry) { return entry.phase == Phase::Free; });
    const bool areVotersDue = areVotersWorn() && m_now >= m_nextVoters;
    if (!isAnyFree && !areVotersDue)
        return;
    chooseDestinations();
    const bool isAnyChosen = std::any_of(m_entries.begin(), m_entries.end(), [this](const Entry &entry) {
        return entry.phase == Phase::Free && findTarget(entry.destination) != nullptr;
    });
    if (!isAnyChosen && !areVotersDue)
        return;
    m_pending = recordToWrite();
    m_isWriting = true;
    m_nextWrite = m_now + m_timing.writeTimeout;
    m_effects.emplace_back(WriteOwnership{m_pending, m_revision});
}

void RangeControl::applyWritten()
{
    m_isWriting = false;
    m_nextWrite = m_now;
    m_written = m_pending;
    m_isVoterWriteOpen = false;
    std::size_t count = 0;
    for (Entry &entry : m_entries) {
        if (!entry.isBeingWritten)
            continue;
        entry.isBeingWritten = false;
        const auto recorded
            = std::find_if(m_written.ranges.begin(), m_written.ranges.end(), [&](const OwnedRange &owned) {
                  return owned.range == entry.owned.range && owned.fence == entry.owned.fence;
              });
        if (recorded == m_written.ranges.end() || entry.phase != Phase::Free)
            continue;
        entry.owned = *recorded;
        entry.firstFence = recorded->fence;
        entry.phase = Phase::Granting;
        entry.isInherited = false;
        entry.destination.clear();
        entry.mayHoldUntil = m_now;
        entry.nextOrder = m_now;
        entry.unansweredSince = 0ms;
        entry.refusedConnections = 0;
        ++count;
    }
    note(events::rangesRecorded,
         "revision " + std::to_string(m_revision) + ": " + std::to_string(count) + " ranges get their owner");
}

void RangeControl::planIfDue()
{
    if (m_now < m_nextPlan || !hasAuthority() || m_isStopping)
        return;
    m_nextPlan = m_now + m_timing.planEvery;
    mergeNeighbours();
    // Without the store no move could be finished, and the keys would be without an owner.
    const bool isStoreNear = m_now - m_confirmedAt < m_timing.storeSilence;
    const auto moving = std::count_if(m_entries.begin(), m_entries.end(), [](const Entry &entry) {
        return entry.phase == Phase::Free || entry.phase == Phase::Releasing;
    });
    constexpr int mostMoving = 12;
    if (isStoreNear && moving < mostMoving) {
        std::vector<RoutedRange> ranges;
        for (const Entry &entry : m_entries) {
            // A busy target answers orders late, and is the one to relieve.
            const RangeState state = entry.phase == Phase::Held ? RangeState::Held : RangeState::Moving;
            const bool goes = state == RangeState::Moving && !entry.destination.empty();
            ranges.push_back({entry.owned.range, goes ? entry.destination : entry.owned.owner.id, state});
        }
        for (const RangeMove &move : planRangeMoves(ranges, candidates(), m_load)) {
            split(move.range);
            for (Entry &entry : m_entries) {
                if (entry.owned.range == move.range && entry.phase == Phase::Held)
                    startRelease(entry, move.to);
            }
        }
    }
    m_load.decay(m_timing.loadMemory);
}

/// Cuts the entry that holds `part` so that `part` is an entry of its own.
void RangeControl::split(const KeyRange &part)
{
    std::vector<Entry> cut;
    for (const Entry &entry : m_entries) {
        const KeyRange whole = entry.owned.range;
        if (!whole.contains(part.first) || !whole.contains(part.last) || whole == part) {
            cut.push_back(entry);
            continue;
        }
        for (const auto &[first, last] :
             {std::pair<std::int64_t, std::int64_t>{whole.first, std::int64_t{part.first} - 1},
              {part.first, part.last},
              {std::int64_t{part.last} + 1, whole.last}}) {
            if (first > last)
                continue;
            Entry piece = entry;
            piece.owned.range = {static_cast<std::uint32_t>(first), static_cast<std::uint32_t>(last)};
            cut.push_back(piece);
        }
    }
    m_entries = std::move(cut);
}

/// Joins neighbouring ranges of an owner that has many. The owner holds all of them, so a grant of the whole under a
/// new fence takes nothing away from anybody.
void RangeControl::mergeNeighbours()
{
    std::map<std::string, std::size_t> counts;
    for (const Entry &entry : m_entries)
        ++counts[entry.owned.owner.id];
    const auto isQuiet = [](const Entry &entry) { return entry.phase == Phase::Held && entry.unansweredSince == 0ms; };
    std::vector<Entry> merged;
    for (const Entry &entry : m_entries) {
        const bool canMerge = !merged.empty() && isQuiet(entry) && isQuiet(merged.back())
            && merged.back().owned.owner == entry.owned.owner && counts[entry.owned.owner.id] > comfortableRanges;
        if (!canMerge) {
            merged.push_back(entry);
            continue;
        }
        Entry &whole = merged.back();
        whole.owned.range.last = entry.owned.range.last;
        whole.owned.fence = whole.firstFence = nextFence();
        whole.mayHoldUntil = std::max(whole.mayHoldUntil, entry.mayHoldUntil);
        whole.nextOrder = m_now;
    }
    m_entries = std::move(merged);
}

void RangeControl::announceIfChanged()
{
    if (m_now < m_nextAnnouncement)
        return;
    std::vector<RoutedRange> ranges;
    const bool isStoreNear = m_now - m_confirmedAt < m_timing.storeSilence;
    for (const Entry &entry : m_entries) {
        RangeState state = RangeState::Moving;
        if (entry.phase == Phase::Held || (entry.phase == Phase::Granting && entry.isInherited))
            state = RangeState::Held;
        else if (entry.phase == Phase::Lapsing || (entry.phase == Phase::Free && !isStoreNear))
            state = RangeState::Away;
        // Who owns a moving range matters to nobody yet; leaving it out saves announcements.
        const std::string owner = state == RangeState::Moving ? std::string() : entry.owned.owner.id;
        if (!ranges.empty() && ranges.back().owner == owner && ranges.back().state == state)
            ranges.back().range.last = entry.owned.range.last;
        else
            ranges.push_back({entry.owned.range, owner, state});
    }
    if (ranges == m_announced || ranges.empty())
        return;
    m_announced = std::move(ranges);
    m_nextAnnouncement = m_now + m_timing.announceStep * static_cast<Duration::rep>(m_peers.size());
    ++m_sequence;
    m_effects.emplace_back(AnnounceOwners{owners()});
}

} // namespace sardinehinge::core
