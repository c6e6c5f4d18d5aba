#include "rangeworld.h"

#include <algorithm>
#include <utility>

namespace sardinehinge::core::tests {

namespace {

constexpr const char *serviceName = "series";
constexpr Duration step = 10ms;

} // namespace

RangeWorld::RangeWorld(std::uint64_t seed, RangeFaults faults, std::size_t daemons, std::size_t targets,
                       OwnershipTiming timing)
    : m_random(seed)
    , m_faults(faults)
    , m_timing(timing)
    , m_now(1s)
{
    m_daemons.resize(daemons);
    for (std::size_t index = 0; index < targets; ++index)
        addTarget("target" + std::to_string(index));
    keepCopy();
    for (std::size_t index = 0; index < daemons; ++index)
        startDaemon(index);
    m_hasStarted = true;
    publishPeers();
}

bool RangeWorld::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

Duration RangeWorld::randomDelay(std::int64_t minMs, std::int64_t maxMs)
{
    return std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(minMs, maxMs)(m_random));
}

void RangeWorld::schedule(Duration delay, std::function<void()> action)
{
    m_queue.push_back({m_now + delay, std::move(action)});
}

void RangeWorld::startDaemon(std::size_t index)
{
    Daemon &daemon = m_daemons[index];
    daemon.identity = {"daemon" + std::to_string(index), (m_era << 40U) + ++m_revision};
    keepCopy();
    daemon.control = std::make_unique<RangeControl>(serviceName, daemon.identity, m_now, m_timing, !m_hasStarted);
    daemon.inbox.clear();
    daemon.owners = {};
    publishEra(index);
    publishTargets();
    publishPeers();
}

void RangeWorld::publishEra(std::size_t daemon)
{
    deliver(daemon, m_daemons[daemon].identity.incarnation, StoreEraSeen{m_era});
}

void RangeWorld::publishPeers()
{
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        std::vector<PeerDaemon> peers;
        for (const Daemon &other : m_daemons) {
            if (!other.identity.id.empty() && other.identity.id != m_daemons[index].identity.id)
                peers.push_back({other.identity.id, other.identity.incarnation, "peer"});
        }
        if (m_daemons[index].control != nullptr && !m_daemons[index].isCutFromPeers)
            deliver(index, m_daemons[index].identity.incarnation, ControlPeers{peers});
    }
}

void RangeWorld::publishTargets()
{
    std::vector<RegisteredTarget> entries;
    for (auto &[id, target] : m_targets) {
        if (m_now >= target.listedFrom)
            target.listed = target.entry;
        if (target.isRegistered && !target.listed.identity.id.empty())
            entries.push_back(target.listed);
    }
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        if (m_daemons[index].control != nullptr && isStoreReachable(index))
            deliver(index, m_daemons[index].identity.incarnation, ControlTargets{entries});
    }
}

void RangeWorld::addTarget(const std::string &id)
{
    Target target;
    target.entry.identity = {id, m_nextIncarnation++};
    target.entry.service = serviceName;
    target.entry.address = id;
    target.entry.slots = 6;
    target.clockRate = chance(0.5) ? 0.98 : 1.0;
    m_targets[id] = target;
    publishTargets();
}

RangeWorld::Target *RangeWorld::targetAt(const std::string &address)
{
    for (auto &[id, target] : m_targets) {
        if (target.isUp && target.entry.address == address)
            return &target;
    }
    return nullptr;
}

std::optional<Duration> RangeWorld::arrivalDelay(std::size_t daemon, const Target &target, Duration arrivalTimeout)
{
    const auto cut = m_linkCutUntil.find({daemon, target.entry.address});
    if (cut == m_linkCutUntil.end() || cut->second <= m_now)
        return randomDelay(1, 8);
    // Bytes that are held up arrive in any order after the cut, but never after the sender has withdrawn them.
    const Duration held = cut->second - m_now + randomDelay(1, 400);
    return held < arrivalTimeout ? std::optional(held) : std::nullopt;
}

void RangeWorld::reportLoad(const std::map<std::uint32_t, std::uint32_t> &requests)
{
    const std::size_t index = controllerIndex();
    deliver(index, m_daemons[index].identity.incarnation, KeyLoadReport{requests, {}});
}

void RangeWorld::deliver(std::size_t index, std::uint64_t incarnation, const ControlEvent &event)
{
    Daemon &daemon = m_daemons[index];
    if (daemon.control == nullptr || daemon.identity.incarnation != incarnation)
        return;
    if (m_now < daemon.frozenUntil) {
        daemon.inbox.push_back(event);
        return;
    }
    executeAll(index, daemon.control->handle(event, m_now));
}

void RangeWorld::executeAll(std::size_t daemon, const RangeControl::Effects &effects)
{
    for (const ControlEffect &effect : effects)
        std::visit([this, daemon](const auto &concrete) { execute(daemon, concrete); }, effect);
}

void RangeWorld::execute(std::size_t index, const ReadOwnership &)
{
    const std::uint64_t incarnation = m_daemons[index].identity.incarnation;
    schedule(randomDelay(2, 12), [this, index, incarnation, requestedAt = m_now] {
        const bool isUnreachable = !isStoreReachable(index);
        const ControlEvent reply = isUnreachable
            ? ControlEvent(OwnershipCallFailed{false})
            : ControlEvent(OwnershipRead{m_record, m_record ? m_recordRevision : 0, requestedAt, m_era});
        schedule(isUnreachable ? 400ms : randomDelay(2, 12),
                 [this, index, incarnation, reply] { deliver(index, incarnation, reply); });
    });
}

ControlEvent RangeWorld::applyWrite(const WriteOwnership &write, Time requestedAt)
{
    if (!m_record && write.expectedRevision != 0)
        return OwnershipCallFailed{true};
    if (m_record && write.expectedRevision != m_recordRevision)
        return OwnershipConflict{*m_record, m_recordRevision, m_era, write.write};
    if (!m_record || *m_record != write.record) {
        m_record = write.record;
        m_recordRevision = ++m_revision;
        keepCopy();
    }
    return OwnershipWritten{m_recordRevision, requestedAt, m_era, write.write};
}

void RangeWorld::execute(std::size_t index, const WriteOwnership &effect)
{
    const std::uint64_t incarnation = m_daemons[index].identity.incarnation;
    const bool isLost = m_faults.store && chance(0.1);
    const bool isLate = isLost && chance(0.5);
    const bool isApplied = !isLost || isLate || chance(0.7);
    const Duration applyDelay = isLate ? randomDelay(1000, 6000) : randomDelay(2, 12);
    if (!isStoreReachable(index)) {
        schedule(400ms, [this, index, incarnation] { deliver(index, incarnation, OwnershipCallFailed{true}); });
        return;
    }
    if (isLost)
        schedule(1500ms, [this, index, incarnation] { deliver(index, incarnation, OwnershipCallFailed{true}); });
    schedule(applyDelay, [this, index, incarnation, effect, isLost, isApplied, requestedAt = m_now] {
        if (!isApplied)
            return;
        const ControlEvent reply = applyWrite(effect, requestedAt);
        if (!isLost)
            schedule(randomDelay(2, 12), [this, index, incarnation, reply] { deliver(index, incarnation, reply); });
    });
}

bool RangeWorld::applyOrder(Target &target, const RangeOrder &order, Time arrivedAt)
{
    for (auto &[key, fence] : target.highestFences) {
        if (!order.isRelease && order.range.contains(key) && fence > order.fence)
            return false;
    }
    for (std::uint32_t key = 0; key <= lastKey; key += sampleStride) {
        if (order.range.contains(key))
            target.highestFences[key] = std::max(target.highestFences[key], order.fence);
    }
    // Removes the order's range from the holds that overlap it; a grant then adds it as one hold.
    std::vector<Hold> remaining;
    for (const Hold &hold : target.holds) {
        if (hold.range.last < order.range.first || hold.range.first > order.range.last) {
            remaining.push_back(hold);
            continue;
        }
        if (hold.range.first < order.range.first)
            remaining.push_back({{hold.range.first, order.range.first - 1}, hold.fence, hold.until});
        if (hold.range.last > order.range.last)
            remaining.push_back({{order.range.last + 1, hold.range.last}, hold.fence, hold.until});
    }
    if (!order.isRelease) {
        const auto lease = std::chrono::duration_cast<Duration>(order.lease / target.clockRate);
        if (arrivedAt + lease > m_now) {
            remaining.push_back({order.range, order.fence, arrivedAt + lease});
            checkFence(target, order);
        }
    }
    target.holds = std::move(remaining);
    return true;
}

void RangeWorld::checkFence(const Target &target, const RangeOrder &grant)
{
    for (std::uint32_t key = 0; key <= lastKey; key += sampleStride) {
        if (!grant.range.contains(key))
            continue;
        auto &fences = m_fences[key];
        for (const auto &[other, fence] : fences) {
            if (other != target.entry.identity && fence >= grant.fence)
                m_violations.push_back("key " + std::to_string(key) + " went to " + target.entry.identity.id
                                       + " with fence " + std::to_string(grant.fence) + "; " + other.id
                                       + " incarnation " + std::to_string(other.incarnation) + " had it with "
                                       + std::to_string(fence));
        }
        fences[target.entry.identity] = std::max(fences[target.entry.identity], grant.fence);
    }
}

bool RangeWorld::isConnected(std::size_t daemon, const Target &target) const
{
    const auto connection = m_connections.find({m_daemons[daemon].identity, target.entry.address});
    return connection != m_connections.end() && connection->second == target.entry.identity;
}

void RangeWorld::execute(std::size_t index, const ConnectTarget &effect)
{
    const std::uint64_t incarnation = m_daemons[index].identity.incarnation;
    const auto finish = [this, index, incarnation, address = effect.address](bool isOpen, Duration wait) {
        schedule(wait, [=, this] { deliver(index, incarnation, TargetConnected{address, isOpen}); });
    };
    const auto cut = m_linkCutUntil.find({index, effect.address});
    const bool isCut = cut != m_linkCutUntil.end() && cut->second > m_now;
    const Target *recipient = targetAt(effect.address);
    if (recipient == nullptr || recipient->isSilent || isCut)
        return finish(false, recipient == nullptr ? randomDelay(1, 5) : Duration(400ms));
    m_connections[{m_daemons[index].identity, effect.address}] = recipient->entry.identity;
    finish(true, randomDelay(1, 5));
}

void RangeWorld::execute(std::size_t index, const RangeOrder &effect)
{
    const std::uint64_t incarnation = m_daemons[index].identity.incarnation;
    const auto finishOrder = [this, index, incarnation, order = effect.order](OrderEndKind kind, Duration wait) {
        schedule(wait, [this, index, incarnation, order, kind] {
            deliver(index, incarnation, OrderEnded{order, kind, "token"});
        });
    };
    const Target *recipient = targetAt(effect.address);
    if (recipient == nullptr)
        return finishOrder(effect.isRelease ? OrderEndKind::Unreachable : OrderEndKind::NotConnected,
                           randomDelay(1, 5));
    if (!effect.isRelease && !isConnected(index, *recipient))
        return finishOrder(OrderEndKind::NotConnected, randomDelay(1, 5));
    // Targets close connections at any time.
    if (chance(0.02))
        m_connections.erase({m_daemons[index].identity, effect.address});
    const auto arrival = arrivalDelay(index, *recipient, effect.arrivalTimeout);
    if (recipient->isSilent || !arrival)
        return finishOrder(OrderEndKind::Unanswered, effect.timeout);
    const TargetIdentity identity = recipient->entry.identity;
    addTrace(m_daemons[index].identity.id + (effect.isRelease ? " releases " : " grants ") + effect.target + " "
             + std::to_string(effect.range.first) + ".." + std::to_string(effect.range.last) + " fence "
             + std::to_string(effect.fence));
    const bool isLost = m_faults.orders && chance(0.2);
    const bool isLate = isLost && chance(0.5);
    const Duration deliveryDelay = *arrival;
    if (isLost)
        finishOrder(OrderEndKind::Unanswered, effect.timeout);
    schedule(deliveryDelay, [this, effect, identity, isLost, isLate, finishOrder, arrivedAt = m_now + deliveryDelay] {
        const auto apply = [this, effect, identity, isLost, finishOrder, arrivedAt] {
            Target &target = m_targets.at(identity.id);
            // The connection ends with the process.
            if (!target.isUp || target.entry.identity != identity || target.isSilent)
                return;
            const bool isAccepted = applyOrder(target, effect, arrivedAt);
            if (!isLost)
                finishOrder(isAccepted ? OrderEndKind::Accepted : OrderEndKind::HigherFence,
                            target.responseDelay + (effect.isRelease ? randomDelay(1, 300) : randomDelay(1, 8)));
        };
        if (isLate)
            schedule(randomDelay(2000, 12000), apply);
        else
            apply();
    });
}

void RangeWorld::sendTo(std::size_t from, const std::string &to, const ControlEvent &event)
{
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        const bool isCut = m_daemons[index].isCutFromPeers || m_daemons[from].isCutFromPeers;
        if (index == from || m_daemons[index].identity.id != to || isCut || (m_faults.network && chance(0.05)))
            continue;
        schedule(randomDelay(1, 6), [this, index, event, incarnation = m_daemons[index].identity.incarnation] {
            deliver(index, incarnation, event);
        });
    }
}

void RangeWorld::execute(std::size_t index, const AnnounceOwners &effect)
{
    for (Daemon &daemon : m_daemons) {
        if (effect.owners.isNewerThan(daemon.owners))
            daemon.owners = effect.owners;
    }
    (void)index;
}

void RangeWorld::execute(std::size_t index, const SendHeartbeat &effect)
{
    for (const Daemon &daemon : m_daemons) {
        ControllerHeartbeat heartbeat = effect.heartbeat;
        heartbeat.wantsAck = effect.acknowledgers.contains(daemon.identity.id);
        sendTo(index, daemon.identity.id, heartbeat);
    }
}

void RangeWorld::execute(std::size_t index, const SendHeartbeatAck &effect)
{
    sendTo(index, effect.to, effect.ack);
}

void RangeWorld::execute(std::size_t index, const SendResignation &effect)
{
    sendTo(index, effect.to, effect.message);
}

void RangeWorld::execute(std::size_t daemon, const ControlLogEntry &effect)
{
    addTrace(m_daemons[daemon].identity.id + ": E" + std::to_string(effect.event) + " " + effect.detail);
}

void RangeWorld::addTrace(const std::string &text)
{
    constexpr std::size_t maxTraceLines = 120;
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(m_now).count();
    m_trace.push_back(std::to_string(now) + " ms " + text);
    if (m_trace.size() > maxTraceLines)
        m_trace.pop_front();
}

std::string RangeWorld::trace() const
{
    std::string text;
    for (const std::string &line : m_trace)
        text += line + "\n";
    return text;
}

void RangeWorld::run(Duration length, bool isCalm)
{
    const Time end = m_now + length;
    Time nextFault = m_now + randomDelay(500, 1500);
    while (m_now < end && m_violations.empty()) {
        m_now += step;
        // Events that these actions schedule run in a later step.
        std::vector<Event> due;
        std::vector<Event> later;
        for (Event &event : m_queue)
            (event.at <= m_now ? due : later).push_back(std::move(event));
        m_queue = std::move(later);
        std::stable_sort(due.begin(), due.end(),
                         [](const Event &left, const Event &right) { return left.at < right.at; });
        for (Event &event : due)
            event.action();
        for (std::size_t index = 0; index < m_daemons.size(); ++index) {
            Daemon &daemon = m_daemons[index];
            if (daemon.control == nullptr && m_now >= daemon.deadUntil && daemon.deadUntil != 0ms)
                startDaemon(index);
            if (daemon.control == nullptr || m_now < daemon.frozenUntil)
                continue;
            while (!daemon.inbox.empty()) {
                const ControlEvent event = daemon.inbox.front();
                daemon.inbox.pop_front();
                executeAll(index, daemon.control->handle(event, m_now));
            }
            if (m_now.count() % Duration(50ms).count() == 0)
                executeAll(index, daemon.control->handle(ControlTick{}, m_now));
        }
        if (!isCalm && m_now >= nextFault) {
            drawFault();
            nextFault = m_now + randomDelay(200, 2500);
        }
        check();
    }
}

} // namespace sardinehinge::core::tests
