#include <sardinehinge/core/targetqueue.h>

#include <algorithm>
#include <utility>

namespace sardinehinge::core {

namespace {

constexpr double decreaseFactor = 0.75;
constexpr Duration maxStartInterval = 100ms;
constexpr int smoothingWeight = 16; ///< A new measurement has a weight of 1/16.

Duration smooth(Duration known, Duration measured) noexcept
{
    return known == 0ms ? measured : known + (measured - known) / smoothingWeight;
}

} // namespace

TargetQueue::TargetQueue(std::string target, std::uint32_t slots, std::uint32_t longSlots, QueueTiming timing)
    : m_target(std::move(target))
    , m_slots(slots)
    , m_longSlots(longSlots)
    , m_timing(timing)
{
}

void TargetQueue::setSlots(std::uint32_t slots, std::uint32_t longSlots) noexcept
{
    m_slots = slots;
    m_longSlots = longSlots;
    m_limit = std::min<double>(m_limit, slots);
}

void TargetQueue::push(Id id, const std::string &caller, WorkClass workClass, Time now)
{
    add(id, caller, workClass, now, false);
}

void TargetQueue::pushFront(Id id, const std::string &caller, WorkClass workClass, Time now)
{
    add(id, caller, workClass, now, true);
}

void TargetQueue::add(Id id, const std::string &caller, WorkClass workClass, Time now, bool isFirst)
{
    ClassQueue &queue = queueOf(workClass);
    auto &own = queue.byCaller[caller];
    if (own.empty())
        queue.callerOrder.insert(isFirst ? queue.callerOrder.begin() : queue.callerOrder.end(), caller);
    own.insert(isFirst ? own.begin() : own.end(), Entry{id, now});
    ++queue.wanted;
    m_hasUnsentChanges = true;
    if (m_waiting++ == 0)
        m_waitingSince = now;
}

bool TargetQueue::remove(Id id, const std::string &caller, WorkClass workClass)
{
    ClassQueue &queue = queueOf(workClass);
    const auto own = queue.byCaller.find(caller);
    if (own == queue.byCaller.end())
        return false;
    const auto place
        = std::find_if(own->second.begin(), own->second.end(), [id](const Entry &entry) { return entry.id == id; });
    if (place == own->second.end())
        return false;
    own->second.erase(place);
    --m_waiting;
    // The permit that was requested for it still arrives and counts as finished.
    ++queue.started;
    ++queue.finished;
    m_hasUnsentChanges = true;
    if (own->second.empty()) {
        queue.byCaller.erase(own);
        std::erase(queue.callerOrder, caller);
    }
    return true;
}

std::optional<TargetQueue::Id> TargetQueue::takeNext(Time now)
{
    if (m_waiting == 0 || now < m_backoffUntil)
        return std::nullopt;
    for (const WorkClass workClass : {WorkClass::Short, WorkClass::Long}) {
        if (!queueOf(workClass).callerOrder.empty() && mayStart(workClass, now))
            return takeFrom(workClass, now);
    }
    return std::nullopt;
}

/// Whether a request of this class may start. Counts a permit as granted if the request may start without one.
bool TargetQueue::mayStart(WorkClass workClass, Time now)
{
    ClassQueue &queue = queueOf(workClass);
    if (queue.granted > queue.started)
        return true;
    const bool isLong = workClass == WorkClass::Long;
    const std::uint32_t longRunning = m_running[static_cast<std::size_t>(WorkClass::Long)];
    if (isLong && (m_longSlots == 0 || longRunning >= std::max(1U, m_longSlots / 2)))
        return false;
    const bool hasSpareSlots = now < m_spareSlotsUntil && running() < m_timing.maxStartsWithoutPermit;
    const bool mayStartByRefusals = isAllocatorSilent(now) && running() < static_cast<std::uint32_t>(m_limit);
    if (!hasSpareSlots && !mayStartByRefusals)
        return false;
    ++queue.granted;
    return true;
}

TargetQueue::Id TargetQueue::takeFrom(WorkClass workClass, Time now)
{
    ClassQueue &queue = queueOf(workClass);
    const std::string caller = std::move(queue.callerOrder.front());
    queue.callerOrder.pop_front();
    auto own = queue.byCaller.find(caller);
    const Entry entry = own->second.front();
    own->second.pop_front();
    if (own->second.empty())
        queue.byCaller.erase(own);
    else
        queue.callerOrder.push_back(caller);
    --m_waiting;
    ++queue.started;
    ++m_running[static_cast<std::size_t>(workClass)];
    m_hasUnsentChanges = true;
    // Ignore long pauses, which come from a frozen target or moved shards.
    if (m_wasBacklogged && now - m_lastStart < maxStartInterval)
        m_startInterval = smooth(m_startInterval, now - m_lastStart);
    m_lastStart = now;
    m_wasBacklogged = m_waiting != 0;
    if (workClass == WorkClass::Short)
        recordWait(now - entry.pushedAt, now);
    return entry.id;
}

void TargetQueue::recordWait(Duration wait, Time now) noexcept
{
    if (wait <= m_timing.acceptableWait || now < m_burstUntil) {
        m_longWaitsSince.reset();
        return;
    }
    if (!m_longWaitsSince)
        m_longWaitsSince = now;
    if (now - *m_longWaitsSince >= m_timing.overloadOnset || now < m_overloadedUntil)
        m_overloadedUntil = now + m_timing.overloadHold;
}

void TargetQueue::finished(WorkClass workClass, bool wasShed, Time now)
{
    const bool wasAtLimit = running() + 1 > static_cast<std::uint32_t>(m_limit);
    --m_running[static_cast<std::size_t>(workClass)];
    ++queueOf(workClass).finished;
    m_hasUnsentChanges = true;
    if (wasShed) {
        m_limit = std::max(1.0, m_limit * decreaseFactor);
        m_backoff = std::clamp(m_backoff * 2, m_timing.minShedBackoff, m_timing.maxShedBackoff);
        m_backoffUntil = now + m_backoff;
        m_spareSlotsUntil = 0ms;
        return;
    }
    m_backoff = 0ms;
    reusePermit(queueOf(workClass));
    if (wasAtLimit)
        m_limit = std::min<double>(m_slots, m_limit + 1.0 / m_limit);
}

/// Reuses a finished permit for the next waiting request, which saves a round trip to the allocator.
void TargetQueue::reusePermit(ClassQueue &queue) noexcept
{
    if (queue.callerOrder.empty() || queue.granted > queue.started || m_reuses >= m_timing.maxPermitReuses)
        return;
    ++m_reuses;
    ++queue.granted;
}

bool TargetQueue::isContended(Time now) const noexcept
{
    return m_waiting != 0 || now >= m_spareSlotsUntil;
}

std::optional<SlotDemand> TargetQueue::takeDueDemand(Time now)
{
    const Duration sinceLast = now - m_lastDemand;
    const bool isRepeatDue = m_waiting != 0 && sinceLast >= m_timing.demandRepeatInterval;
    // Without reports, the allocator expires the daemon's permits. A report while requests run shows their slots as
    // used until the next report, so it is delayed in favour of a moment without running requests.
    const Duration interval = running() == 0 ? m_timing.reportInterval : 2 * m_timing.reportInterval;
    const bool isReportDue = (m_hasUnsentChanges || running() != 0) && sinceLast >= interval;
    const bool isReturnDue
        = m_hasUnsentChanges && running() == 0 && m_allocatorCountsPermits && sinceLast >= m_timing.releaseReportDelay;
    if (!(m_hasUnsentChanges && isContended(now)) && !isRepeatDue && !isReportDue && !isReturnDue)
        return std::nullopt;
    m_hasUnsentChanges = false;
    m_allocatorCountsPermits = running() != 0;
    m_lastDemand = now;
    return SlotDemand{m_target,
                      m_slots,
                      m_longSlots,
                      counts(&ClassQueue::wanted),
                      counts(&ClassQueue::granted),
                      counts(&ClassQueue::finished)};
}

ClassCounts TargetQueue::counts(std::uint64_t ClassQueue::*count) const noexcept
{
    return {m_classQueues[0].*count, m_classQueues[1].*count};
}

void TargetQueue::take(const SlotGrant &grant, Time now)
{
    if (grant.granted.shortWork > m_classQueues[0].granted || grant.granted.longWork > m_classQueues[1].granted) {
        m_reuses = 0;
        m_allocatorCountsPermits = true;
        m_hasUnsentChanges = true;
    }
    m_classQueues[0].granted = std::max(m_classQueues[0].granted, grant.granted.shortWork);
    m_classQueues[1].granted = std::max(m_classQueues[1].granted, grant.granted.longWork);
    m_lastGrant = now;
    m_spareSlotsUntil = grant.isCalm ? now + m_timing.spareSlotsLifetime : 0ms;
}

bool TargetQueue::isAllocatorSilent(Time now) const noexcept
{
    return m_waiting != 0 && now - std::max(m_lastGrant, m_waitingSince) > m_timing.allocatorTimeout;
}

void TargetQueue::recordDuration(Duration taken) noexcept
{
    m_meanDuration = smooth(m_meanDuration, taken);
}

Duration TargetQueue::expectedWait() const noexcept
{
    return m_startInterval * static_cast<Duration::rep>(m_waiting);
}

void TargetQueue::expectBurst(Time now) noexcept
{
    m_burstUntil = now + m_timing.burstDuration;
    m_overloadedUntil = 0ms;
}

bool TargetQueue::isOverloaded(Time now) const noexcept
{
    return now < m_overloadedUntil && longestWait(now) > m_timing.acceptableWait;
}

/// The wait of the oldest waiting short request. O(callers).
Duration TargetQueue::longestWait(Time now) const noexcept
{
    Duration longest = 0ms;
    for (const auto &[caller, entries] : m_classQueues[static_cast<std::size_t>(WorkClass::Short)].byCaller)
        longest = std::max(longest, now - entries.front().pushedAt);
    return longest;
}

} // namespace sardinehinge::core
