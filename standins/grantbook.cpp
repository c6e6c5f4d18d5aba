#include "grantbook.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace sardinehinge::standins {

GrantBook::GrantBook(std::uint64_t incarnation, bool checksFences, Listener listener)
    : m_incarnation(incarnation)
    , m_checksFences(checksFences)
    , m_listener(std::move(listener))
{
}

core::TargetReport GrantBook::handle(const core::TargetOrder &order, std::int64_t clock)
{
    Group &group = m_groups[order.group];
    expire(order.group, group, clock);
    const auto isOlder = std::pair(order.term, order.sequence) <= std::pair(group.term, group.sequence);
    const bool isOtherLife = order.targetIncarnation != 0 && order.targetIncarnation != m_incarnation;
    const bool accepted = !m_checksFences || (!isOlder && !isOtherLife);
    if (!m_checksFences || !isOlder) {
        group.term = std::max(group.term, order.term);
        group.sequence = order.sequence;
    }
    if (accepted && order.targetIncarnation != 0)
        obey(order, group, clock);
    core::TargetReport report{order.group, group.term, order.sequence, accepted, m_incarnation, clock, {}};
    for (const auto &[shard, grant] : group.grants)
        report.held.push_back({shard, grant.epoch});
    return report;
}

void GrantBook::obey(const core::TargetOrder &order, Group &group, std::int64_t clock)
{
    const std::int64_t until = (m_checksFences ? order.anchor : clock) + order.lease.count();
    for (auto &[shard, grant] : group.grants) {
        if (until <= grant.until)
            continue;
        grant.until = until;
        tell(HoldChange::Kind::Extended, order.group, {shard, grant.epoch}, clock, until);
    }
    for (const auto &[shard, epoch] : order.releases) {
        const auto found = group.grants.find(shard);
        if (found == group.grants.end() || found->second.epoch != epoch)
            continue;
        found->second.isReleasing = true;
        if (found->second.inProgress == 0)
            drop(order.group, group, shard, clock);
    }
    for (const auto &[shard, epoch] : order.grants) {
        const bool isStale = m_checksFences && epoch < group.highestEpoch[shard];
        if (until <= clock || isStale || group.grants.contains(shard))
            continue;
        group.highestEpoch[shard] = epoch;
        group.grants[shard] = Grant{epoch, until, false, 0};
        tell(HoldChange::Kind::Granted, order.group, {shard, epoch}, clock, until);
    }
}

bool GrantBook::mayStart(const std::string &group, core::ShardEpoch shard, std::int64_t clock)
{
    if (!holds(group, shard, clock))
        return false;
    return !m_groups[group].grants[shard.shard].isReleasing;
}

bool GrantBook::holds(const std::string &group, core::ShardEpoch shard, std::int64_t clock)
{
    Group &known = m_groups[group];
    expire(group, known, clock);
    const auto found = known.grants.find(shard.shard);
    return found != known.grants.end() && found->second.epoch == shard.epoch;
}

void GrantBook::begin(const std::string &group, core::ShardEpoch shard)
{
    ++m_groups[group].grants[shard.shard].inProgress;
}

void GrantBook::end(const std::string &group, core::ShardEpoch shard, std::int64_t clock)
{
    Group &known = m_groups[group];
    const auto found = known.grants.find(shard.shard);
    if (found == known.grants.end() || found->second.epoch != shard.epoch)
        return;
    --found->second.inProgress;
    if (found->second.isReleasing && found->second.inProgress == 0)
        drop(group, known, shard.shard, clock);
}

void GrantBook::expire(const std::string &name, Group &group, std::int64_t clock)
{
    std::vector<std::pair<std::uint32_t, std::int64_t>> ended;
    for (const auto &[shard, grant] : group.grants) {
        if (grant.until <= clock)
            ended.emplace_back(shard, grant.until);
    }
    for (const auto &[shard, at] : ended)
        drop(name, group, shard, at);
}

void GrantBook::drop(const std::string &name, Group &group, std::uint32_t shard, std::int64_t at)
{
    tell(HoldChange::Kind::Dropped, name, {shard, group.grants[shard].epoch}, at, at);
    group.grants.erase(shard);
}

void GrantBook::tell(HoldChange::Kind kind, const std::string &group, core::ShardEpoch shard, std::int64_t at,
                     std::int64_t until)
{
    if (m_listener)
        m_listener({kind, group, shard, at, until});
}

} // namespace sardinehinge::standins
