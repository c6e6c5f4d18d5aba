#include <sardinehinge/core/slotallocator.h>

#include <algorithm>
#include <utility>

namespace sardinehinge::core {

namespace {

constexpr Duration clientLifetime = 3s; ///< Longer than the word that slots are plenty holds.
constexpr Duration permitLifetime = 1s; ///< A daemon with permits out is heard from far more often.
constexpr std::uint64_t turnsPerLongTurn = 8;

void raise(ClassCounts &known, const ClassCounts &reported) noexcept
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
    forgetSilent(target, now);
    Client &client = target.clients[from.id];
    if (client.incarnation != from.incarnation)
        client = Client{from.incarnation, {}, {}, {}, 0ms, 0};
    raise(client.wanted, demand.wanted);
    raise(client.granted, demand.granted);
    raise(client.finished, demand.finished);
    client.lastHeard = now;

    std::map<std::string, ClassCounts> before;
    for (const auto &[id, each] : target.clients)
        before[id] = each.granted;
    while (grantOne(target)) {
    }
    std::vector<AddressedGrant> grants;
    const bool calm = isCalm(target);
    const bool isTakenBack = std::exchange(target.wasCalm, calm) && !calm;
    for (const auto &[id, each] : target.clients) {
        if (id == from.id || isTakenBack || !(each.granted == before[id]))
            grants.push_back({id, {demand.target, each.granted, calm}});
    }
    return grants;
}

void SlotAllocator::forgetSilent(Target &target, Time now)
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
        : out(found->second, &ClassCounts::shortWork) + out(found->second, &ClassCounts::longWork);
}

std::uint64_t SlotAllocator::out(const Client &client, Count count) noexcept
{
    // A daemon may count a permit as used up before it arrives, when its request left meanwhile.
    return client.granted.*count > client.finished.*count ? client.granted.*count - client.finished.*count : 0;
}

std::uint64_t SlotAllocator::out(const Target &target, Count count) noexcept
{
    std::uint64_t sum = 0;
    for (const auto &[id, client] : target.clients)
        sum += out(client, count);
    return sum;
}

/// The daemon that waits for a permit of this class and was served longest ago, or nullptr.
SlotAllocator::Client *SlotAllocator::nextInTurn(Target &target, Count count) noexcept
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
    const std::uint64_t longOut = out(target, &ClassCounts::longWork);
    if (out(target, &ClassCounts::shortWork) + longOut >= target.slots)
        return false;
    Client *const shortNext = nextInTurn(target, &ClassCounts::shortWork);
    Client *const longNext = longOut < target.longSlots ? nextInTurn(target, &ClassCounts::longWork) : nullptr;
    const bool isLongTurn = longNext != nullptr && (shortNext == nullptr || (target.turn + 1) % turnsPerLongTurn == 0);
    Client *const next = isLongTurn ? longNext : shortNext;
    if (next == nullptr)
        return false;
    next->lastServed = ++target.turn;
    ++(isLongTurn ? next->granted.longWork : next->granted.shortWork);
    return true;
}

bool SlotAllocator::isCalm(const Target &target) noexcept
{
    const std::uint64_t all = out(target, &ClassCounts::shortWork) + out(target, &ClassCounts::longWork);
    const auto waits = [](const auto &entry) {
        const Client &client = entry.second;
        return client.wanted.shortWork > client.granted.shortWork || client.wanted.longWork > client.granted.longWork;
    };
    return 2 * all <= target.slots && std::none_of(target.clients.begin(), target.clients.end(), waits);
}

} // namespace sardinehinge::core
