#include <sardinehinge/core/slotallocator.h>

#include <algorithm>
#include <utility>

namespace sardinehinge::core {

namespace {

constexpr Duration clientLifetime = 3s; ///< Longer than QueueTiming::spareSlotsLifetime.
constexpr Duration permitLifetime = 1s; ///< Daemons with unfinished permits report far more often.
constexpr std::uint64_t grantsPerLongGrant = 8;

void mergeCounts(ClassCounts &known, const ClassCounts &reported) noexcept
{
    known.shortWork = std::max(known.shortWork, reported.shortWork);
    known.longWork = std::max(known.longWork, reported.longWork);
}

} // namespace

std::vector<AddressedGrant> SlotAllocator::handle(const DaemonIdentity &from, const SlotDemand &demand, Time now)
{
    Target &target = m_targets[demand.target];
    target.slots = demand.slots;
    target.longSlots = demand.longSlots;
    expireSilentClients(target, now);
    Client &client = target.clients[from.id];
    if (client.incarnation != from.incarnation)
        client = Client{from.incarnation, {}, {}, {}, 0ms, 0};
    mergeCounts(client.wanted, demand.wanted);
    mergeCounts(client.granted, demand.granted);
    mergeCounts(client.finished, demand.finished);
    client.lastHeard = now;

    std::map<std::string, ClassCounts> before;
    for (const auto &[id, each] : target.clients)
        before[id] = each.granted;
    while (grantOne(target)) {
    }
    std::vector<AddressedGrant> grants;
    const bool isPlentiful = hasSpareSlots(target);
    const bool isRevoked = std::exchange(target.hadSpareSlots, isPlentiful) && !isPlentiful;
    for (const auto &[id, each] : target.clients) {
        if (id == from.id || isRevoked || !(each.granted == before[id]))
            grants.push_back({id, {demand.target, each.granted, isPlentiful}});
    }
    return grants;
}

void SlotAllocator::expireSilentClients(Target &target, Time now)
{
    std::erase_if(target.clients, [now](const auto &entry) { return now - entry.second.lastHeard > clientLifetime; });
    for (auto &[id, client] : target.clients) {
        if (now - client.lastHeard <= permitLifetime)
            continue;
        client.finished = client.granted;
        client.wanted = client.granted;
    }
}

std::uint64_t SlotAllocator::outstanding(const std::string &target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end()
        ? 0
        : outstandingOf(found->second, &ClassCounts::shortWork) + outstandingOf(found->second, &ClassCounts::longWork);
}

std::uint64_t SlotAllocator::outstandingOf(const Client &client, Count count) noexcept
{
    // A daemon counts the permit of a withdrawn request as finished, possibly before the permit is granted.
    return client.granted.*count > client.finished.*count ? client.granted.*count - client.finished.*count : 0;
}

std::uint64_t SlotAllocator::outstandingOf(const Target &target, Count count) noexcept
{
    std::uint64_t sum = 0;
    for (const auto &[id, client] : target.clients)
        sum += outstandingOf(client, count);
    return sum;
}

/// The least recently served daemon that waits for a permit of this class, or nullptr.
SlotAllocator::Client *SlotAllocator::nextWaitingClient(Target &target, Count count) noexcept
{
    Client *next = nullptr;
    for (auto &[id, client] : target.clients) {
        const bool waits = client.wanted.*count > client.granted.*count;
        if (waits && (next == nullptr || client.lastServed < next->lastServed))
            next = &client;
    }
    return next;
}

bool SlotAllocator::grantOne(Target &target)
{
    const std::uint64_t longOutstanding = outstandingOf(target, &ClassCounts::longWork);
    if (outstandingOf(target, &ClassCounts::shortWork) + longOutstanding >= target.slots)
        return false;
    Client *const shortNext = nextWaitingClient(target, &ClassCounts::shortWork);
    Client *const longNext
        = longOutstanding < target.longSlots ? nextWaitingClient(target, &ClassCounts::longWork) : nullptr;
    const bool isLongTurn
        = longNext != nullptr && (shortNext == nullptr || (target.turn + 1) % grantsPerLongGrant == 0);
    Client *const next = isLongTurn ? longNext : shortNext;
    if (next == nullptr)
        return false;
    next->lastServed = ++target.turn;
    ++(isLongTurn ? next->granted.longWork : next->granted.shortWork);
    return true;
}

bool SlotAllocator::hasSpareSlots(const Target &target) noexcept
{
    const std::uint64_t all
        = outstandingOf(target, &ClassCounts::shortWork) + outstandingOf(target, &ClassCounts::longWork);
    const auto waits = [](const auto &entry) {
        const Client &client = entry.second;
        return client.wanted.shortWork > client.granted.shortWork || client.wanted.longWork > client.granted.longWork;
    };
    return 2 * all <= target.slots && std::none_of(target.clients.begin(), target.clients.end(), waits);
}

} // namespace sardinehinge::core
