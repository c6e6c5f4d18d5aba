#include <sardinehinge/core/targetqueue.h>

#include <algorithm>

namespace sardinehinge::core {

namespace {

constexpr double decreaseFactor = 0.75;
constexpr int durationSmoothing = 16; ///< Weight of the past against one new measurement.

} // namespace

TargetQueue::TargetQueue(std::uint32_t slots, std::uint32_t longSlots) noexcept
    : m_slots(slots)
    , m_longSlots(longSlots)
{
}

void TargetQueue::setSlots(std::uint32_t slots, std::uint32_t longSlots) noexcept
{
    m_slots = slots;
    m_longSlots = longSlots;
    m_limit = std::min<double>(m_limit, slots);
}

void TargetQueue::push(Id id, const std::string &caller, WorkClass workClass)
{
    Line &line = lineOf(workClass);
    auto &own = line.byCaller[caller];
    if (own.empty())
        line.turns.push_back(caller);
    own.push_back(id);
    ++m_waiting;
}

void TargetQueue::pushFront(Id id, const std::string &caller, WorkClass workClass)
{
    Line &line = lineOf(workClass);
    auto &own = line.byCaller[caller];
    if (own.empty())
        line.turns.push_front(caller);
    own.push_front(id);
    ++m_waiting;
}

bool TargetQueue::remove(Id id, const std::string &caller, WorkClass workClass)
{
    Line &line = lineOf(workClass);
    const auto own = line.byCaller.find(caller);
    if (own == line.byCaller.end())
        return false;
    const auto place = std::find(own->second.begin(), own->second.end(), id);
    if (place == own->second.end())
        return false;
    own->second.erase(place);
    --m_waiting;
    if (own->second.empty()) {
        line.byCaller.erase(own);
        std::erase(line.turns, caller);
    }
    return true;
}

std::optional<TargetQueue::Id> TargetQueue::takeNext(Time now)
{
    if (m_waiting == 0 || now < m_restsUntil || running() >= static_cast<std::uint32_t>(m_limit))
        return std::nullopt;
    if (auto id = takeFrom(WorkClass::Short))
        return id;
    if (m_running[static_cast<std::size_t>(WorkClass::Long)] >= longLimit())
        return std::nullopt;
    return takeFrom(WorkClass::Long);
}

std::optional<TargetQueue::Id> TargetQueue::takeFrom(WorkClass workClass)
{
    Line &line = lineOf(workClass);
    if (line.turns.empty())
        return std::nullopt;
    const std::string caller = std::move(line.turns.front());
    line.turns.pop_front();
    auto own = line.byCaller.find(caller);
    const Id id = own->second.front();
    own->second.pop_front();
    if (own->second.empty())
        line.byCaller.erase(own);
    else
        line.turns.push_back(caller);
    --m_waiting;
    ++m_running[static_cast<std::size_t>(workClass)];
    return id;
}

/// Long work may hold `longSlots`, but must leave one of the slots learnt so far to short work where there are two.
std::uint32_t TargetQueue::longLimit() const noexcept
{
    const auto learnt = static_cast<std::uint32_t>(m_limit);
    return std::min(m_longSlots, learnt > 1 ? learnt - 1 : learnt);
}

void TargetQueue::finished(WorkClass workClass, bool wasShed, Time now, Duration pause, Duration pauseMax)
{
    const bool wasAtLimit = running() + 1 > static_cast<std::uint32_t>(m_limit);
    --m_running[static_cast<std::size_t>(workClass)];
    if (wasShed) {
        m_limit = std::max(1.0, m_limit * decreaseFactor);
        m_pause = std::clamp(m_pause * 2, pause, pauseMax);
        m_restsUntil = now + m_pause;
        return;
    }
    m_pause = 0ms;
    if (wasAtLimit)
        m_limit = std::min<double>(m_slots, m_limit + 1.0 / m_limit);
}

void TargetQueue::learnDuration(Duration taken) noexcept
{
    m_meanDuration = m_meanDuration == 0ms ? taken : m_meanDuration + (taken - m_meanDuration) / durationSmoothing;
}

Duration TargetQueue::expectedWait() const noexcept
{
    const double rounds = static_cast<double>(m_waiting) / std::max(1.0, m_limit);
    return Duration(static_cast<Duration::rep>(rounds * static_cast<double>(m_meanDuration.count())));
}

} // namespace sardinehinge::core
