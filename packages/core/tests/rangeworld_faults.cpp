#include "rangeworld.h"

#include <algorithm>

/// The faults that a RangeWorld can play, and their ends.
namespace sardinehinge::core::tests {

void RangeWorld::restoreStore(Duration age, Duration away)
{
    const auto ageMs = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    addTrace("the store is away and will return as of " + std::to_string(ageMs) + " ms before");
    ++m_restoresUnderWay;
    schedule(away, [this, copiedAt = m_now - age] {
        --m_restoresUnderWay;
        const auto later = std::find_if(m_copies.begin(), m_copies.end(),
                                        [copiedAt](const StoreCopy &copy) { return copy.at > copiedAt; });
        const StoreCopy copy = later == m_copies.begin() ? StoreCopy{} : *std::prev(later);
        m_record = copy.record;
        m_recordRevision = copy.recordRevision;
        m_revision = copy.revision;
        ++m_era;
        keepCopy();
        addTrace("the store is back in era " + std::to_string(m_era));
        publishTargets();
        // Daemons learn of the era when a call of theirs, or another daemon's notice, brings it.
        for (std::size_t index = 0; index < m_daemons.size(); ++index) {
            schedule(randomDelay(5, 1500), [this, index] {
                if (m_daemons[index].control != nullptr && isStoreReachable(index))
                    publishEra(index);
            });
        }
    });
}

void RangeWorld::crashTarget(const std::string &id, bool isSilent)
{
    addTrace(id + (isSilent ? " stops responding" : " crashes"));
    Target &target = m_targets.at(id);
    if (isSilent) {
        target.isSilent = true;
    } else {
        target.isUp = false;
        target.holds.clear();
    }
    schedule(2600ms, [this, id] {
        if (Target &crashed = m_targets.at(id); !crashed.isUp || crashed.isSilent) {
            crashed.isRegistered = false;
            publishTargets();
        }
    });
}

void RangeWorld::drainTarget(const std::string &id)
{
    addTrace(id + " drains");
    m_targets.at(id).entry.isDraining = true;
    publishTargets();
}

void RangeWorld::rebearTarget(const std::string &id, bool keepsId, Duration listedAfter)
{
    Target &former = m_targets.at(id);
    former.holds.clear();
    former.highestFences.clear();
    Target reborn = former;
    reborn.entry.identity.incarnation = m_nextIncarnation++;
    reborn.listedFrom = m_now + listedAfter;
    if (!keepsId) {
        reborn.entry.identity.id = "target" + std::to_string(m_targets.size());
        reborn.listed = {};
        former.isUp = false;
        former.isReplaced = true;
        schedule(2600ms, [this, id] {
            m_targets.at(id).isRegistered = false;
            publishTargets();
        });
    }
    addTrace(id + "'s address is taken over by " + reborn.entry.identity.id + " incarnation "
             + std::to_string(reborn.entry.identity.incarnation));
    m_targets[reborn.entry.identity.id] = reborn;
    schedule(listedAfter, [this] { publishTargets(); });
}

void RangeWorld::cutLink(std::size_t daemon, const std::string &target, Duration length)
{
    addTrace("link from " + m_daemons[daemon].identity.id + " to " + target + " is cut");
    m_linkCutUntil[{daemon, m_targets.at(target).entry.address}] = m_now + length;
}

void RangeWorld::killDaemon(std::size_t index)
{
    addTrace(m_daemons[index].identity.id + " is killed");
    m_daemons[index].control.reset();
    m_daemons[index].deadUntil = m_now + randomDelay(500, 4000);
}

void RangeWorld::loseDaemon(std::size_t index)
{
    killDaemon(index);
    m_daemons[index].deadUntil = Time::max();
}

void RangeWorld::freezeDaemon(std::size_t index, Duration length)
{
    addTrace(m_daemons[index].identity.id + " freezes");
    m_daemons[index].frozenUntil = m_now + length;
}

void RangeWorld::forceHold(const std::string &id, const KeyRange &range)
{
    m_targets.at(id).holds.push_back({range, 1, m_now + 5s});
}

void RangeWorld::forceGrant(const std::string &id, const KeyRange &range, std::uint64_t fence)
{
    Target &target = m_targets.at(id);
    target.highestFences.clear();
    applyOrder(target, {0, false, id, target.entry.address, range, fence, 5s, 0ms, 0ms, {}}, m_now);
}

void RangeWorld::drawFault()
{
    const auto randomIndex
        = [this](std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random); };
    const std::size_t daemon = chance(0.5) ? controllerIndex() : randomIndex(m_daemons.size());
    if (m_faults.controllers) {
        const std::size_t kind = randomIndex(4);
        if (kind == 0)
            killDaemon(daemon);
        else if (kind == 1)
            freezeDaemon(daemon, randomDelay(200, 6000));
        else if (kind == 2)
            m_daemons[daemon].isCutFromPeers = !m_daemons[daemon].isCutFromPeers;
    }
    if (m_faults.store) {
        const std::size_t kind = randomIndex(4);
        if (kind == 0)
            m_daemons[daemon].isCutFromStore = !m_daemons[daemon].isCutFromStore;
        else if (kind == 1 && !m_isStoreDown)
            m_isStoreDown = true;
        else if (m_isStoreDown) {
            m_isStoreDown = false;
            publishTargets();
        }
    }
    if (m_faults.restores && m_restoresUnderWay == 0 && chance(0.25))
        restoreStore(randomDelay(0, 20000), randomDelay(0, 5000));
    if (!m_faults.targets && !m_faults.rebirths && !m_faults.links)
        return;
    auto victim = m_targets.begin();
    std::advance(victim, static_cast<std::ptrdiff_t>(randomIndex(m_targets.size())));
    const std::string id = victim->first;
    // One draw a statement: the order of draws in the arguments of a call differs between compilers.
    if (m_faults.links && chance(0.5)) {
        const std::size_t sender = chance(0.5) ? controllerIndex() : daemon;
        cutLink(sender, id, randomDelay(100, 5000));
    }
    if (m_faults.rebirths && victim->second.isUp && chance(0.5)) {
        const bool keepsId = chance(0.5);
        rebearTarget(id, keepsId, randomDelay(50, 1500));
    }
    if (!m_faults.targets || victim->second.isReplaced)
        return;
    const auto ready = std::count_if(m_targets.begin(), m_targets.end(), [](const auto &entry) {
        return entry.second.isUp && !entry.second.isSilent && !entry.second.entry.isDraining;
    });
    Target &target = victim->second;
    const bool isAvailable = target.isUp && !target.isSilent && !target.entry.isDraining;
    if (isAvailable && ready > 3) {
        const std::size_t kind = randomIndex(4);
        if (kind == 0)
            crashTarget(id, false);
        else if (kind == 1)
            crashTarget(id, true);
        else if (kind == 2)
            drainTarget(id);
        else
            target.isRegistered = !target.isRegistered;
        publishTargets();
    } else if (!isAvailable) {
        restore(id);
        publishTargets();
    }
}

void RangeWorld::restore(const std::string &id)
{
    Target &target = m_targets.at(id);
    // A silent target returns as the same incarnation. One that was down or draining restarts as a new one.
    if (!target.isUp || target.entry.isDraining) {
        target.holds.clear();
        target.highestFences.clear();
        target.entry.identity.incarnation = m_nextIncarnation++;
    }
    addTrace(id + " is back, incarnation " + std::to_string(target.entry.identity.incarnation));
    target.isUp = true;
    target.isSilent = false;
    target.isRegistered = true;
    target.entry.isDraining = false;
}

void RangeWorld::heal()
{
    m_faults = {};
    m_isStoreDown = false;
    m_linkCutUntil.clear();
    for (const auto &[id, target] : m_targets) {
        if (!target.isReplaced && (!target.isUp || target.isSilent || !target.isRegistered || target.entry.isDraining))
            restore(id);
    }
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        m_daemons[index].isCutFromPeers = m_daemons[index].isCutFromStore = false;
        m_daemons[index].frozenUntil = 0ms;
        if (m_daemons[index].control == nullptr)
            startDaemon(index);
    }
    publishPeers();
    publishTargets();
}

} // namespace sardinehinge::core::tests
