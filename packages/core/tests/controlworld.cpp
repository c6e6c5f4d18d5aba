#include "controlworld.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <utility>

namespace sardinehinge::core::testing {

namespace {

const ServiceId service{"kanalstivej", "report-status"};
constexpr Duration tickPeriod = 5ms;
constexpr Duration storeTimeout = 300ms;
constexpr Duration orderTimeout = 120ms;
constexpr double lossShare = 0.15;
constexpr double duplicateShare = 0.1;

std::string daemonName(std::uint32_t index)
{
    return "daemon-" + std::to_string(index);
}

std::string targetName(std::uint32_t index)
{
    return "target-" + std::to_string(index);
}

std::uint32_t indexOf(const std::string &name)
{
    return static_cast<std::uint32_t>(std::stoul(name.substr(name.rfind('-') + 1)));
}

} // namespace

std::string describe(const Fault &fault)
{
    static constexpr std::array names
        = {"kill daemon", "pause daemon",  "kill target",  "pause target",     "cut peers",
           "cut target",  "cut store",     "store down",   "store slow",       "drop write answers",
           "stale reads", "lose messages", "drain target", "ignore heartbeats"};
    return std::string(names[static_cast<std::size_t>(fault.kind)]) + " " + std::to_string(fault.subject) + "/"
        + std::to_string(fault.other) + " at " + std::to_string(fault.at / 1ms) + " ms for "
        + std::to_string(fault.length / 1ms) + " ms";
}

ControlWorld::ControlWorld(WorldOptions options)
    : m_options(options)
    , m_random(options.seed)
    , m_daemons(options.daemons)
    , m_targets(options.targets)
{
    std::uniform_real_distribution<double> drift(1 - options.clockDrift, 1 + options.clockDrift);
    for (std::uint32_t index = 0; index < options.targets; ++index) {
        m_targets[index].rate = drift(m_random);
        startTarget(index);
    }
    for (std::uint32_t index = 0; index < options.daemons; ++index) {
        m_daemons[index].rate = drift(m_random);
        startDaemon(index);
    }
}

void ControlWorld::schedule(Duration wait, std::function<void()> action)
{
    m_queue.push({m_now + wait, m_order++, std::move(action)});
}

Duration ControlWorld::delay(int leastUs, int mostUs)
{
    return std::chrono::microseconds(std::uniform_int_distribution<int>(leastUs, mostUs)(m_random));
}

bool ControlWorld::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

void ControlWorld::runFor(Duration length)
{
    runUntil([] { return false; }, length);
}

bool ControlWorld::runUntil(const std::function<bool()> &holds, Duration limit)
{
    const Time end = m_now + limit;
    while (!m_queue.empty() && m_queue.top().at <= end) {
        const Scheduled next = m_queue.top();
        m_queue.pop();
        m_now = next.at;
        next.action();
        if (holds())
            return true;
    }
    m_now = end;
    return holds();
}

Time ControlWorld::daemonClock(const Daemon &daemon) const
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(m_now.count()) * daemon.rate));
}

std::int64_t ControlWorld::targetClock(const Target &target) const
{
    return static_cast<std::int64_t>(static_cast<double>(m_now.count()) * target.rate);
}

Time ControlWorld::trueTime(const Target &target, std::int64_t clock) const
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(clock) / target.rate));
}

void ControlWorld::startDaemon(std::uint32_t index)
{
    Daemon &daemon = m_daemons[index];
    daemon.isAlive = true;
    daemon.deferredEvents.clear();
    daemon.identity = {daemonName(index), static_cast<std::uint64_t>(m_now.count()) + index};
    daemon.group = std::make_unique<ControlGroup>(service, daemon.identity, LeaseTiming{});
    const std::uint64_t incarnation = daemon.identity.incarnation;
    deliver(index, incarnation, serviceChanged(false));
    deliver(index, incarnation, InstancesChanged{view()});
    // A new daemon receives its peers' documents soon after its start.
    schedule(delay(1000, 300'000), [this, index, incarnation] {
        if (!m_records.empty())
            deliver(index, incarnation, RecordReceived{m_records.back().record, m_records.back().revision});
        if (!m_assignments.empty())
            deliver(index, incarnation,
                    AssignmentReceived{m_assignments.back().assignment, m_assignments.back().revision});
    });
    tick(index, incarnation);
}

ServiceChanged ControlWorld::serviceChanged(bool shuttingDown) const
{
    ServiceSpec spec;
    spec.name = service.service;
    spec.division = Division::Hash;
    spec.shardCount = m_options.shards;
    spec.targetsCheckFences = m_options.targetsCheckFences;
    return {spec, {m_drained.begin(), m_drained.end()}, shuttingDown, 3s};
}

void ControlWorld::shutDown()
{
    for (std::uint32_t index = 0; index < m_daemons.size(); ++index)
        deliver(index, m_daemons[index].identity.incarnation, serviceChanged(true));
}

void ControlWorld::runRequest(std::uint32_t shard, Duration length)
{
    Target &target = m_targets[*holder(shard)];
    const ShardEpoch held{shard, m_assignments.back().assignment.shards[shard].epoch};
    target.grants->begin(toString(service), held);
    schedule(length, [this, &target, held] { target.grants->end(toString(service), held, targetClock(target)); });
}

void ControlWorld::startTarget(std::uint32_t index)
{
    Target &target = m_targets[index];
    target.isAlive = true;
    target.deferredEvents.clear();
    target.incarnation = static_cast<std::uint64_t>(m_now.count()) + ++target.startCount;
    target.grants = std::make_unique<standins::GrantBook>(
        target.incarnation, m_options.targetsCheckFences,
        [this, index](const standins::HoldChange &change) { onHold(index, change); });
}

void ControlWorld::tick(std::uint32_t index, std::uint64_t incarnation)
{
    Daemon &daemon = m_daemons[index];
    if (!daemon.isAlive || daemon.identity.incarnation != incarnation)
        return;
    if (!daemon.isPaused) {
        deliver(index, incarnation, Tick{});
        // Simulates gossip of incarnations.
        for (Daemon &other : m_daemons) {
            if (other.isAlive && chance(0.02))
                daemon.group->noteIncarnation(other.identity);
        }
    }
    schedule(tickPeriod, [this, index, incarnation] { tick(index, incarnation); });
}

void ControlWorld::deliver(std::uint32_t index, std::uint64_t incarnation, ControlEvent event)
{
    Daemon &daemon = m_daemons[index];
    if (!daemon.isAlive || daemon.identity.incarnation != incarnation)
        return;
    if (daemon.isPaused) {
        daemon.deferredEvents.push_back(
            [this, index, incarnation, event = std::move(event)] { deliver(index, incarnation, event); });
        return;
    }
    for (const ControlEffect &effect : daemon.group->handle(event, daemonClock(daemon)))
        act(index, effect);
}

void ControlWorld::act(std::uint32_t daemon, const ControlEffect &effect)
{
    if (const auto *send = std::get_if<SendPeer>(&effect))
        sendPeer(daemon, *send);
    else if (const auto *order = std::get_if<OrderTarget>(&effect))
        sendOrder(daemon, *order);
    else if (std::holds_alternative<ReadRecord>(effect))
        read(daemon, true);
    else if (std::holds_alternative<ReadAssignment>(effect))
        read(daemon, false);
    else if (const auto *record = std::get_if<WriteRecord>(&effect))
        write(daemon, true, record->record, {}, record->expectedRevision);
    else if (const auto *logged = std::get_if<LogEvent>(&effect); logged != nullptr && m_options.isTraced)
        std::cerr << m_now / 1ms << " ms daemon-" << daemon << " E" << logged->event << ' ' << logged->detail << '\n';
    else if (const auto *assignment = std::get_if<WriteAssignment>(&effect))
        write(daemon, false, {}, assignment->assignment, assignment->expectedRevision);
}

void ControlWorld::sendPeer(std::uint32_t from, const SendPeer &send)
{
    const std::uint32_t to = indexOf(send.to);
    const DaemonIdentity sender = m_daemons[from].identity;
    if (from != to && m_cutPeers.contains({from, to}))
        return;
    const auto sendOnce = [&](Duration wait) {
        schedule(wait, [this, to, sender, message = send.message] {
            if (m_daemons[to].isAlive)
                deliver(to, m_daemons[to].identity.incarnation, PeerReceived{sender, message});
        });
    };
    if (from == to)
        return sendOnce(0ms);
    if (m_ignoringHeartbeats.contains(to) && std::holds_alternative<Heartbeat>(send.message))
        return;
    if (m_loseMessages > 0 && chance(lossShare))
        return;
    sendOnce(m_loseMessages > 0 ? delay(100, 30'000) : delay(100, 2000));
    if (m_loseMessages > 0 && chance(duplicateShare))
        sendOnce(delay(100, 200'000));
}

void ControlWorld::sendOrder(std::uint32_t from, const OrderTarget &order)
{
    const std::uint32_t to = indexOf(order.target);
    const std::uint64_t incarnation = m_daemons[from].identity.incarnation;
    const auto answered = std::make_shared<bool>(false);
    const auto silent
        = [this, from, incarnation, answered, target = order.target, sequence = order.order.sequence](bool refused) {
              if (!std::exchange(*answered, true))
                  deliver(from, incarnation, OrderUnanswered{target, sequence, refused});
          };
    schedule(orderTimeout, [silent] { silent(false); });
    if (m_cutTargets.contains({from, to}) || (m_loseMessages > 0 && chance(lossShare)))
        return;
    const Duration wait = m_loseMessages > 0 ? delay(100, 90'000) : delay(100, 1500);
    auto arrive = std::make_shared<std::function<void()>>();
    *arrive = [this, from, to, incarnation, answered, silent, order = order.order, arrive] {
        Target &target = m_targets[to];
        if (!target.isAlive)
            return silent(true);
        if (target.isPaused) {
            target.deferredEvents.push_back([arrive] { (*arrive)(); });
            return;
        }
        const TargetReport report = target.grants->handle(order, targetClock(target));
        if (m_cutTargets.contains({from, to}))
            return;
        schedule(delay(100, 1500), [this, from, to, incarnation, answered, report] {
            if (!std::exchange(*answered, true))
                deliver(from, incarnation, TargetReported{targetName(to), report});
        });
    };
    schedule(wait, [arrive] { (*arrive)(); });
}

bool ControlWorld::reachesStore(std::uint32_t daemon) const
{
    return m_storeDown == 0 && !m_cutStores.contains(daemon);
}

void ControlWorld::read(std::uint32_t daemon, bool isRecord)
{
    ++m_storeCalls;
    const std::uint64_t incarnation = m_daemons[daemon].identity.incarnation;
    const auto finish = [this, daemon, incarnation, isRecord](std::optional<Error> error) {
        const auto &versions = isRecord ? m_records : m_assignments;
        const bool isStale = m_staleReads > 0 && versions.size() > 1;
        const StoredVersion version
            = versions.empty() ? StoredVersion{} : versions[versions.size() - (isStale ? 2 : 1)];
        if (isRecord)
            deliver(daemon, incarnation, RecordRead{error, error ? 0 : version.revision, version.record});
        else
            deliver(daemon, incarnation, AssignmentRead{error, error ? 0 : version.revision, version.assignment});
    };
    if (!reachesStore(daemon))
        return schedule(storeTimeout, [finish] { finish(Error{ErrorCode::StoreUnavailable, "read", {}, {}}); });
    schedule(m_storeSlow > 0 ? delay(50'000, 250'000) : delay(1000, 8000), [finish] { finish(std::nullopt); });
}

void ControlWorld::write(std::uint32_t daemon, bool isRecord, const ControlRecord &record, const Assignment &assignment,
                         std::uint64_t expected)
{
    const std::string attempt = "attempt-" + std::to_string(++m_attempts);
    proceed(std::make_shared<Write>(Write{daemon, m_daemons[daemon].identity.incarnation, isRecord, record, assignment,
                                          ConditionalWrite(attempt, expected)}));
}

void ControlWorld::proceed(const std::shared_ptr<Write> &write)
{
    if (write->logic.step() == ConditionalWrite::Step::Finished) {
        if (write->isRecord)
            return deliver(write->daemon, write->incarnation, RecordWritten{write->logic.outcome()});
        return deliver(write->daemon, write->incarnation, AssignmentWritten{write->logic.outcome()});
    }
    ++m_storeCalls;
    const bool isWrite = write->logic.step() == ConditionalWrite::Step::SendWrite;
    const bool reaches = reachesStore(write->daemon);
    const Duration there = m_storeSlow > 0 ? delay(50'000, 250'000) : delay(500, 5000);
    if (!reaches)
        return schedule(storeTimeout, [this, write, isWrite] {
            if (isWrite)
                write->logic.writeAnswerLost();
            else
                write->logic.readFailed();
            proceed(write);
        });
    if (isWrite)
        return schedule(there, [this, write] { applyWrite(write); });
    schedule(there, [this, write] {
        const auto &versions = write->isRecord ? m_records : m_assignments;
        const bool isStale = m_staleReads > 0 && versions.size() > 1;
        const StoredVersion version
            = versions.empty() ? StoredVersion{} : versions[versions.size() - (isStale ? 2 : 1)];
        write->logic.readAnswered({version.revision, version.attempt, version.earlier});
        proceed(write);
    });
}

void ControlWorld::applyWrite(const std::shared_ptr<Write> &write)
{
    auto &versions = write->isRecord ? m_records : m_assignments;
    const StoredVersion present = versions.empty() ? StoredVersion{} : versions.back();
    const bool isApplied = present.revision == write->logic.expectedRevision();
    if (isApplied) {
        StoredVersion next{++m_revision, write->logic.attempt(), present.earlier, write->record, write->assignment};
        if (present.revision != 0)
            next.earlier.insert(next.earlier.begin(), {present.attempt, present.revision});
        versions.push_back(next);
        for (std::uint32_t shard = 0; !write->isRecord && shard < next.assignment.shards.size(); ++shard) {
            const ShardOwner &owner = next.assignment.shards[shard];
            m_owners.push_back({toString(service), shard, owner.epoch, owner.target});
        }
        gossipLatest(write->isRecord);
    }
    const bool isAnswerLost = m_dropAnswers > 0 && chance(0.7);
    schedule(isAnswerLost ? storeTimeout : delay(500, 3000),
             [this, write, isApplied, isAnswerLost, revision = m_revision] {
                 if (isAnswerLost)
                     write->logic.writeAnswerLost();
                 else if (isApplied)
                     write->logic.writeApplied(revision);
                 else
                     write->logic.writeConflicted();
                 proceed(write);
             });
}

/// Delivers the latest version to all daemons, to some of them late.
void ControlWorld::gossipLatest(bool isRecord)
{
    const StoredVersion version = isRecord ? m_records.back() : m_assignments.back();
    for (std::uint32_t index = 0; index < m_daemons.size(); ++index) {
        const std::uint64_t incarnation = m_daemons[index].identity.incarnation;
        schedule(chance(0.2) ? delay(2000, 700'000) : delay(1000, 6000), [this, index, incarnation, isRecord, version] {
            if (isRecord)
                deliver(index, incarnation, RecordReceived{version.record, version.revision});
            else
                deliver(index, incarnation, AssignmentReceived{version.assignment, version.revision});
        });
    }
}

InstanceView ControlWorld::view() const
{
    InstanceView list{m_listVersion, {}};
    static constexpr std::array domains = {"viborg", "silkeborg", "randers"};
    for (std::uint32_t index = 0; index < m_options.daemons; ++index) {
        if (!m_unlisted.contains(index))
            list.instances.push_back(
                {daemonName(index), InstanceKind::Daemon, daemonName(index), domains[index % 3], {}, false});
    }
    for (std::uint32_t index = 0; index < m_options.targets; ++index)
        list.instances.push_back({targetName(index), InstanceKind::Target, targetName(index), domains[index % 3],
                                  toString(service), m_drained.contains(targetName(index))});
    return list;
}

/// Delivers the instance list to every daemon with a delay of up to 400 ms.
void ControlWorld::publishList()
{
    ++m_listVersion;
    for (std::uint32_t index = 0; index < m_daemons.size(); ++index) {
        const std::uint64_t incarnation = m_daemons[index].identity.incarnation;
        schedule(delay(1000, 400'000),
                 [this, index, incarnation, list = view()] { deliver(index, incarnation, InstancesChanged{list}); });
    }
}

void ControlWorld::inject(const Fault &fault)
{
    schedule(fault.at, [this, fault] {
        begin(fault);
        schedule(fault.length, [this, fault] { end(fault); });
    });
}

void ControlWorld::begin(const Fault &fault)
{
    const std::uint32_t daemon = fault.subject % m_options.daemons;
    const std::uint32_t target = fault.subject % m_options.targets;
    switch (fault.kind) {
    case Fault::Kind::KillDaemon:
        m_daemons[daemon].isAlive = false;
        break;
    case Fault::Kind::PauseDaemon:
        m_daemons[daemon].isPaused = true;
        break;
    case Fault::Kind::KillTarget:
        m_targets[target].isAlive = false;
        // A killed process holds no shards from now on.
        for (std::uint32_t shard = 0; shard < m_options.shards; ++shard) {
            if (const auto open = m_openHolds.find({target, shard}); open != m_openHolds.end()) {
                open->second.until = std::min(open->second.until, m_now.count());
                m_holds.push_back(open->second);
                m_openHolds.erase(open);
            }
        }
        break;
    case Fault::Kind::PauseTarget:
        m_targets[target].isPaused = true;
        break;
    case Fault::Kind::CutPeers:
        m_cutPeers.insert({daemon, fault.other % m_options.daemons});
        break;
    case Fault::Kind::CutTarget:
        m_cutTargets.insert({daemon, fault.other % m_options.targets});
        break;
    case Fault::Kind::CutStore:
        m_cutStores.insert(daemon);
        break;
    case Fault::Kind::StoreDown:
        ++m_storeDown;
        break;
    case Fault::Kind::StoreSlow:
        ++m_storeSlow;
        break;
    case Fault::Kind::DropWriteAnswers:
        ++m_dropAnswers;
        break;
    case Fault::Kind::StaleReads:
        ++m_staleReads;
        break;
    case Fault::Kind::LoseMessages:
        ++m_loseMessages;
        break;
    case Fault::Kind::DrainTarget:
        m_drained.insert(targetName(target));
        publishList();
        break;
    case Fault::Kind::IgnoreHeartbeats:
        m_ignoringHeartbeats.insert(daemon);
        break;
    }
}

void ControlWorld::end(const Fault &fault)
{
    const std::uint32_t daemon = fault.subject % m_options.daemons;
    const std::uint32_t target = fault.subject % m_options.targets;
    const auto eraseOne = [](auto &set, const auto &value) {
        if (const auto found = set.find(value); found != set.end())
            set.erase(found);
    };
    switch (fault.kind) {
    case Fault::Kind::KillDaemon:
        if (!m_daemons[daemon].isAlive)
            startDaemon(daemon);
        break;
    case Fault::Kind::PauseDaemon:
        m_daemons[daemon].isPaused = false;
        resume(m_daemons[daemon].deferredEvents);
        break;
    case Fault::Kind::KillTarget:
        if (!m_targets[target].isAlive)
            startTarget(target);
        break;
    case Fault::Kind::PauseTarget:
        m_targets[target].isPaused = false;
        resume(m_targets[target].deferredEvents);
        break;
    case Fault::Kind::CutPeers:
        eraseOne(m_cutPeers, std::pair(daemon, fault.other % m_options.daemons));
        break;
    case Fault::Kind::CutTarget:
        eraseOne(m_cutTargets, std::pair(daemon, fault.other % m_options.targets));
        break;
    case Fault::Kind::CutStore:
        eraseOne(m_cutStores, daemon);
        break;
    case Fault::Kind::StoreDown:
        --m_storeDown;
        break;
    case Fault::Kind::StoreSlow:
        --m_storeSlow;
        break;
    case Fault::Kind::DropWriteAnswers:
        --m_dropAnswers;
        break;
    case Fault::Kind::StaleReads:
        --m_staleReads;
        break;
    case Fault::Kind::LoseMessages:
        --m_loseMessages;
        break;
    case Fault::Kind::DrainTarget:
        eraseOne(m_drained, targetName(target));
        publishList();
        break;
    case Fault::Kind::IgnoreHeartbeats:
        eraseOne(m_ignoringHeartbeats, daemon);
        break;
    }
}

void ControlWorld::resume(std::vector<std::function<void()>> &deferredEvents)
{
    for (const auto &action : std::exchange(deferredEvents, {}))
        schedule(0ms, action);
}

void ControlWorld::onHold(std::uint32_t index, const standins::HoldChange &change)
{
    const Target &target = m_targets[index];
    if (m_options.isTraced)
        std::cerr << m_now / 1ms << " ms target-" << index << " shard " << change.shard.shard << " epoch "
                  << change.shard.epoch << " change " << static_cast<int>(change.kind) << " until "
                  << trueTime(target, change.until) / 1ms << '\n';
    HoldRecord &hold = m_openHolds[{index, change.shard.shard}];
    if (change.kind == standins::HoldChange::Kind::Granted)
        hold = {change.group,
                change.shard.shard,
                change.shard.epoch,
                targetName(index),
                trueTime(target, change.at).count(),
                0};
    hold.until = trueTime(target, change.until).count();
    if (change.kind != standins::HoldChange::Kind::Dropped)
        return;
    m_holds.push_back(hold);
    m_openHolds.erase({index, change.shard.shard});
}

History ControlWorld::history() const
{
    History history;
    history.holds = m_holds;
    for (const auto &[key, hold] : m_openHolds)
        history.holds.push_back(hold);
    history.owners = m_owners;
    return history;
}

std::optional<std::uint32_t> ControlWorld::holder(std::uint32_t shard)
{
    for (const auto &[key, hold] : m_openHolds) {
        const bool answers = m_targets[key.first].isAlive && !m_targets[key.first].isPaused;
        if (key.second == shard && answers && hold.until > m_now.count())
            return key.first;
    }
    return std::nullopt;
}

bool ControlWorld::allShardsHeld()
{
    for (std::uint32_t shard = 0; shard < m_options.shards; ++shard) {
        if (!holder(shard))
            return false;
    }
    return true;
}

std::optional<std::uint32_t> ControlWorld::controller()
{
    for (std::uint32_t index = 0; index < m_options.daemons; ++index) {
        const Daemon &daemon = m_daemons[index];
        if (daemon.isAlive && !daemon.isPaused && daemon.group->role() == ControlRole::Controller
            && daemon.group->hasAuthority(daemonClock(daemon)))
            return index;
    }
    return std::nullopt;
}

Duration ControlWorld::longestOwnershipGap(Time from, Time to)
{
    Duration longest = 0ms;
    const History all = history();
    for (std::uint32_t shard = 0; shard < m_options.shards; ++shard) {
        std::vector<std::pair<std::int64_t, std::int64_t>> spans;
        for (const HoldRecord &hold : all.holds) {
            if (hold.shard == shard)
                spans.emplace_back(hold.from, std::min(hold.until, to.count()));
        }
        std::sort(spans.begin(), spans.end());
        std::int64_t covered = from.count();
        for (const auto &[start, until] : spans) {
            if (start > covered && start < to.count())
                longest = std::max(longest, Duration(start - covered));
            covered = std::max(covered, until);
        }
        longest = std::max(longest, Duration(to.count() - covered));
    }
    return longest;
}

} // namespace sardinehinge::core::testing
