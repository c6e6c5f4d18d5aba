#include <sardinehinge/core/targetstate.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace sardinehinge::core {

std::vector<BeliefChange> TargetBeliefs::take(const TargetNotice &notice, SignalSource source, Time now)
{
    std::vector<BeliefChange> changes = takeEnded(now);
    if (notice.isLeaving && !m_leavingSince) {
        m_leavingSince = now;
        m_leavingSource = source;
        changes.push_back({TargetSignal::Leaving, source, true, 0ms});
    }
    if (notice.quietFor && *notice.quietFor > 0ms) {
        if (!m_isQuietOpen) {
            const Duration time = std::min(*notice.quietFor, maxQuietTime);
            m_isQuietOpen = true;
            m_quietSince = now;
            m_quietSource = source;
            changes.push_back({TargetSignal::Quiet, source, true, time});
        }
        m_quietUntil = std::max(m_quietUntil, now + std::min(*notice.quietFor, maxQuietTime));
    }
    if (notice.rateLimit) {
        m_limitNamedAt = now;
        if (m_rateLimit != notice.rateLimit) {
            if (m_rateLimit)
                changes.push_back(limitEnded(now));
            m_rateLimit = notice.rateLimit;
            m_limitSince = now;
            m_limitSource = source;
            changes.push_back({TargetSignal::RateLimit, source, true, 0ms, *m_rateLimit});
        }
    }
    return changes;
}

BeliefChange TargetBeliefs::limitEnded(Time now) const
{
    return {TargetSignal::RateLimit, m_limitSource, false, now - m_limitSince, m_rateLimit.value_or(0)};
}

std::vector<BeliefChange> TargetBeliefs::answeredWithoutLimit(Time sentAt, Time now)
{
    if (!m_rateLimit || sentAt <= m_limitNamedAt)
        return {};
    const BeliefChange ended = limitEnded(now);
    m_rateLimit.reset();
    return {ended};
}

std::vector<BeliefChange> TargetBeliefs::takeEnded(Time now)
{
    if (!m_isQuietOpen || isQuiet(now))
        return {};
    m_isQuietOpen = false;
    return {{TargetSignal::Quiet, m_quietSource, false, m_quietUntil - m_quietSince}};
}

std::vector<BeliefChange> TargetBeliefs::drop(Time now) const
{
    std::vector<BeliefChange> ended;
    if (m_leavingSince)
        ended.push_back({TargetSignal::Leaving, m_leavingSource, false, now - *m_leavingSince});
    if (m_isQuietOpen)
        ended.push_back({TargetSignal::Quiet, m_quietSource, false, std::min(now, m_quietUntil) - m_quietSince});
    if (m_rateLimit)
        ended.push_back(limitEnded(now));
    return ended;
}

std::vector<BeliefChange> TargetBeliefs::leaving() const
{
    if (!m_leavingSince)
        return {};
    return {{TargetSignal::Leaving, m_leavingSource, true, 0ms}};
}

void TargetState::registered(const RegisteredTarget &entry, Time now) noexcept
{
    if (!entry.isDraining)
        m_drainingSince.reset();
    else if (!m_drainingSince)
        m_drainingSince = now;
    m_warmupEnd = now + entry.warmupLeft;
    m_coldRate = entry.coldRate;
    setNextRequest(m_nextRequest);
}

void TargetState::setNextRequest(Time next) noexcept
{
    m_nextRequest = std::max(m_nextRequest, next);
    m_admitsFrom = isStaying() ? m_nextRequest : Time::max();
}

std::vector<BeliefChange> TargetState::take(const TargetNotice &notice, SignalSource source, Time now)
{
    auto changes = m_beliefs.take(notice, source, now);
    setNextRequest(m_beliefs.quietUntil());
    return changes;
}

void TargetState::restore(const TargetBeliefs &beliefs)
{
    m_beliefs = beliefs;
    setNextRequest(m_beliefs.quietUntil());
}

void TargetState::requestSent(Time now) noexcept
{
    m_score.attemptStarted();
    if (isRateLimited(now))
        m_permits.take(now);
    if (m_beliefs.quietUntil() != 0ms && now < m_beliefs.quietUntil() + m_timing.readmissionTime)
        setNextRequest(now + m_timing.readmissionInterval);
}

std::optional<double> TargetState::rateLimit(Time now) const noexcept
{
    if (m_coldRate <= 0 || !isWarmingUp(now))
        return m_beliefs.rateLimit();
    return std::min(m_beliefs.rateLimit().value_or(m_coldRate), m_coldRate);
}

double TargetState::cost(bool isRemote, Duration usualTime, Time now) const noexcept
{
    if (!m_load.isKnown())
        return m_score.cost(isRemote, isWarmingUp(now), now);
    return m_score.cost(isRemote, isWarmingUp(now), now, m_load.relativeTime(m_score.inFlight(), usualTime, now));
}

std::optional<Time> TargetState::keyedEnd() const noexcept
{
    const auto leaving = m_beliefs.leavingSince();
    if (!leaving && !m_drainingSince)
        return std::nullopt;
    const Time since = std::min(leaving.value_or(Time::max()), m_drainingSince.value_or(Time::max()));
    return since + std::max(m_timing.drainBound - m_timing.drainMargin, Duration(0));
}

TargetCondition TargetState::condition(Time now) const noexcept
{
    if (m_beliefs.isLeaving())
        return TargetCondition::Leaving;
    if (m_drainingSince)
        return TargetCondition::Draining;
    if (m_beliefs.isQuiet(now))
        return TargetCondition::Quiet;
    if (m_score.isEjected(now))
        return TargetCondition::Ejected;
    if (m_beliefs.rateLimit())
        return TargetCondition::RateLimited;
    return isWarmingUp(now) ? TargetCondition::WarmingUp : TargetCondition::Ready;
}

TargetBeliefs &DepartedTargets::beliefs(const TargetIdentity &target, Time now)
{
    const auto found = std::find_if(m_targets.begin(), m_targets.end(),
                                    [&target](const Departed &each) { return each.target == target; });
    if (found != m_targets.end())
        return found->beliefs;
    if (m_targets.size() >= maxTargets)
        m_targets.erase(m_targets.begin());
    return m_targets.emplace_back(Departed{target, {}, now}).beliefs;
}

std::optional<TargetBeliefs> DepartedTargets::take(const TargetIdentity &target)
{
    const auto found = std::find_if(m_targets.begin(), m_targets.end(),
                                    [&target](const Departed &each) { return each.target == target; });
    if (found == m_targets.end())
        return std::nullopt;
    const TargetBeliefs beliefs = found->beliefs;
    m_targets.erase(found);
    return beliefs;
}

std::vector<DepartedTargets::Departed> DepartedTargets::expire(Time now)
{
    const auto kept = std::find_if(m_targets.begin(), m_targets.end(),
                                   [now](const Departed &each) { return now < each.since + beliefRetention; });
    std::vector<Departed> expired(std::make_move_iterator(m_targets.begin()), std::make_move_iterator(kept));
    m_targets.erase(m_targets.begin(), kept);
    return expired;
}

} // namespace sardinehinge::core
