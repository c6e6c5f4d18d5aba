#include <sardinehinge/core/targetqueue.h>

#include <algorithm>
#include <utility>

namespace sardinehinge::core {

namespace {

constexpr double decreaseFactor = 0.75;
constexpr Duration longestPace = 100ms;
constexpr int smoothing = 16; ///< Weight of the past against one new measurement.

Duration smooth(Duration known, Duration measured) noexcept
{
    return known == 0ms ? measured : known + (measured - known) / smoothing;
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
    Line &line = lineOf(workClass);
    auto &own = line.byCaller[caller];
    if (own.empty())
        line.turns.insert(isFirst ? line.turns.begin() : line.turns.end(), caller);
    own.insert(isFirst ? own.begin() : own.end(), Entry{id, now});
    ++line.wanted;
    m_isDirty = true;
    if (m_waiting++ == 0)
        m_waitingSince = now;
}

bool TargetQueue::remove(Id id, const std::string &caller, WorkClass workClass)
{
    Line &line = lineOf(workClass);
    const auto own = line.byCaller.find(caller);
    if (own == line.byCaller.end())
        return false;
    const auto place
        = std::find_if(own->second.begin(), own->second.end(), [id](const Entry &entry) { return entry.id == id; });
    if (place == own->second.end())
        return false;
    own->second.erase(place);
    --m_waiting;
    // The permit that was asked for it comes all the same, and counts as used up.
    ++line.started;
    ++line.finished;
    m_isDirty = true;
    if (own->second.empty()) {
        line.byCaller.erase(own);
        std::erase(line.turns, caller);
    }
    return true;
}

std::optional<TargetQueue::Id> TargetQueue::takeNext(Time now)
{
    if (m_waiting == 0 || now < m_restsUntil)
        return std::nullopt;
    for (const WorkClass workClass : {WorkClass::Short, WorkClass::Long}) {
        if (!lineOf(workClass).turns.empty() && mayStart(workClass, now))
            return takeFrom(workClass, now);
    }
    return std::nullopt;
}

/// Whether a request of the class may start; takes a permit of its own accord where that is allowed.
bool TargetQueue::mayStart(WorkClass workClass, Time now)
{
    Line &line = lineOf(workClass);
    if (line.granted > line.started)
        return true;
    const bool isLong = workClass == WorkClass::Long;
    const std::uint32_t longRunning = m_running[static_cast<std::size_t>(WorkClass::Long)];
    if (isLong && (m_longSlots == 0 || longRunning >= std::max(1U, m_longSlots / 2)))
        return false;
    const bool isCalm = now < m_calmUntil && running() < m_timing.calmStarts;
    const bool isAlone = isAllocatorSilent(now) && running() < static_cast<std::uint32_t>(m_limit);
    if (!isCalm && !isAlone)
        return false;
    ++line.granted;
    return true;
}

TargetQueue::Id TargetQueue::takeFrom(WorkClass workClass, Time now)
{
    Line &line = lineOf(workClass);
    const std::string caller = std::move(line.turns.front());
    line.turns.pop_front();
    auto own = line.byCaller.find(caller);
    const Entry entry = own->second.front();
    own->second.pop_front();
    if (own->second.empty())
        line.byCaller.erase(own);
    else
        line.turns.push_back(caller);
    --m_waiting;
    ++line.started;
    ++m_running[static_cast<std::size_t>(workClass)];
    m_isDirty = true;
    // A long pause is no pace: the target was frozen, or its shards moved.
    if (m_wasBacklogged && now - m_lastStart < longestPace)
        m_pace = smooth(m_pace, now - m_lastStart);
    m_lastStart = now;
    m_wasBacklogged = m_waiting != 0;
    if (workClass == WorkClass::Short)
        learnWait(now - entry.pushedAt, now);
    return entry.id;
}

void TargetQueue::learnWait(Duration wait, Time now) noexcept
{
    if (wait <= m_timing.waitBound || now < m_burstUntil) {
        m_overdueSince.reset();
        return;
    }
    if (!m_overdueSince)
        m_overdueSince = now;
    if (now - *m_overdueSince >= m_timing.waitPatience || now < m_crestUntil)
        m_crestUntil = now + m_timing.crestMemory;
}

void TargetQueue::finished(WorkClass workClass, bool wasShed, Time now)
{
    const bool wasAtLimit = running() + 1 > static_cast<std::uint32_t>(m_limit);
    --m_running[static_cast<std::size_t>(workClass)];
    ++lineOf(workClass).finished;
    m_isDirty = true;
    if (wasShed) {
        m_limit = std::max(1.0, m_limit * decreaseFactor);
        m_pause = std::clamp(m_pause * 2, m_timing.shedPause, m_timing.shedPauseMax);
        m_restsUntil = now + m_pause;
        m_calmUntil = 0ms;
        return;
    }
    m_pause = 0ms;
    reusePermit(lineOf(workClass));
    if (wasAtLimit)
        m_limit = std::min<double>(m_slots, m_limit + 1.0 / m_limit);
}

/// Saves the way to the allocator and back while this daemon has work for the slot that has just become free.
void TargetQueue::reusePermit(Line &line) noexcept
{
    if (line.turns.empty() || line.granted > line.started || m_reuses >= m_timing.permitReuses)
        return;
    ++m_reuses;
    ++line.granted;
}

bool TargetQueue::isContended(Time now) const noexcept
{
    return m_waiting != 0 || now >= m_calmUntil;
}

std::optional<SlotDemand> TargetQueue::demandDue(Time now)
{
    const Duration sinceLast = now - m_lastDemand;
    const bool isRepeatDue = m_waiting != 0 && sinceLast >= m_timing.demandRepeat;
    // A daemon with permits out must be heard from, or the allocator forgets it.
    // A report while requests run shows slots as taken until the next one: it waits for a moment without any.
    const Duration reportPeriod = running() == 0 ? m_timing.calmReport : 2 * m_timing.calmReport;
    const bool isReportDue = (m_isDirty || running() != 0) && sinceLast >= reportPeriod;
    const bool isReturnDue = m_isDirty && running() == 0 && m_allocatorSeesUse && sinceLast >= m_timing.returnDelay;
    if (!(m_isDirty && isContended(now)) && !isRepeatDue && !isReportDue && !isReturnDue)
        return std::nullopt;
    m_isDirty = false;
    m_allocatorSeesUse = running() != 0;
    m_lastDemand = now;
    return SlotDemand{
        m_target, m_slots, m_longSlots, counts(&Line::wanted), counts(&Line::granted), counts(&Line::finished)};
}

ClassCounts TargetQueue::counts(std::uint64_t Line::*count) const noexcept
{
    return {m_lines[0].*count, m_lines[1].*count};
}

void TargetQueue::take(const SlotGrant &grant, Time now)
{
    if (grant.granted.shortWork > m_lines[0].granted || grant.granted.longWork > m_lines[1].granted) {
        m_reuses = 0;
        m_allocatorSeesUse = true;
        m_isDirty = true;
    }
    m_lines[0].granted = std::max(m_lines[0].granted, grant.granted.shortWork);
    m_lines[1].granted = std::max(m_lines[1].granted, grant.granted.longWork);
    m_lastGrant = now;
    m_calmUntil = grant.isCalm ? now + m_timing.calmLifetime : 0ms;
}

bool TargetQueue::isAllocatorSilent(Time now) const noexcept
{
    return m_waiting != 0 && now - std::max(m_lastGrant, m_waitingSince) > m_timing.allocatorSilence;
}

void TargetQueue::learnDuration(Duration taken) noexcept
{
    m_meanDuration = smooth(m_meanDuration, taken);
}

Duration TargetQueue::expectedWait() const noexcept
{
    return m_pace * static_cast<Duration::rep>(m_waiting);
}

void TargetQueue::expectBurst(Time now) noexcept
{
    m_burstUntil = now + m_timing.burstTime;
    m_crestUntil = 0ms;
}

bool TargetQueue::isAtCrest(Time now) const noexcept
{
    return now < m_crestUntil && longestWait(now) > m_timing.waitBound;
}

/// How long the short request that came first has waited by now. Costs O(callers).
Duration TargetQueue::longestWait(Time now) const noexcept
{
    Duration longest = 0ms;
    for (const auto &[caller, entries] : m_lines[static_cast<std::size_t>(WorkClass::Short)].byCaller)
        longest = std::max(longest, now - entries.front().pushedAt);
    return longest;
}

} // namespace sardinehinge::core
