#include <sardinehinge/core/admission/memoryaccount.h>

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>

namespace sardinehinge::core {

namespace {

constexpr std::uint64_t mebibyte = 1024ULL * 1024;
constexpr std::uint64_t processBytes = 40 * mebibyte; ///< Of a process without callers, in a large deployment.
constexpr std::uint64_t largestKeptForSmall = mebibyte;
constexpr std::uint64_t peerSteps = 8; ///< Parts of the account in which addresses are compared.
constexpr Duration stallTime = std::chrono::seconds(1);

double timeToComplete(const HeldBytes &held)
{
    if (held.bytesPerSecond <= 0)
        return std::numeric_limits<double>::infinity();
    return static_cast<double>(held.missingBytes) / held.bytesPerSecond;
}

/// The holders that may be closed, the first to close first.
std::vector<const HeldBytes *> closingOrder(const AccountLimits &limits, const std::vector<HeldBytes> &held)
{
    std::map<std::string, std::uint64_t> byPeer;
    for (const HeldBytes &each : held)
        byPeer[each.peer] += each.bytes;
    std::vector<const HeldBytes *> order;
    for (const HeldBytes &each : held) {
        const bool isUnread = each.use == HeldUse::WaitingResponse && each.stalledFor >= unreadTime;
        if (isUnread || each.use == HeldUse::ArrivingRequest || each.use == HeldUse::ArrivingResponse)
            order.push_back(&each);
    }
    const auto stage = [](const HeldBytes &each) {
        if (each.use == HeldUse::ArrivingRequest)
            return 0;
        return each.use == HeldUse::WaitingResponse ? 1 : 2;
    };
    const auto rank = [&](const HeldBytes &each) {
        const bool isRequest = each.use == HeldUse::ArrivingRequest;
        const bool isSmall = each.bytes <= limits.smallHolding;
        const std::uint64_t peerPart = byPeer[each.peer] * peerSteps / std::max<std::uint64_t>(limits.bytes, 1);
        const bool isStalled = each.stalledFor >= stallTime;
        // Ascending: what is to be closed first is the least.
        return std::tuple(stage(each), isRequest && isSmall, isRequest ? -static_cast<std::int64_t>(peerPart) : 0,
                          isRequest && !isStalled, isRequest ? -timeToComplete(each) : 0.0,
                          -static_cast<std::int64_t>(each.bytes), each.holder);
    };
    std::sort(order.begin(), order.end(),
              [&](const HeldBytes *one, const HeldBytes *other) { return rank(*one) < rank(*other); });
    return order;
}

} // namespace

AccountLimits accountLimitsFor(std::uint64_t memoryBytes)
{
    const std::uint64_t uncounted = processBytes + (memoryBytes / 8);
    return accountLimitsOf(std::max(memoryBytes / 4, memoryBytes > uncounted ? memoryBytes - uncounted : 0));
}

AccountLimits accountLimitsOf(std::uint64_t bytes)
{
    return {bytes, std::min(bytes / 8, largestKeptForSmall)};
}

RoomDecision makeRoom(const AccountLimits &limits, const std::vector<HeldBytes> &held, std::uint64_t asker,
                      std::uint64_t bytes)
{
    std::uint64_t total = bytes;
    for (const HeldBytes &each : held) {
        if (each.holder != asker)
            total += each.bytes;
    }
    const std::uint64_t available
        = bytes <= limits.smallHolding ? limits.bytes : limits.bytes - std::min(limits.bytes, limits.keptForSmall);
    if (total <= available)
        return {true, {}};
    RoomDecision decision;
    for (const HeldBytes *each : closingOrder(limits, held)) {
        if (each->holder == asker)
            return {};
        decision.toClose.push_back(each->holder);
        total -= each->bytes;
        if (total <= available) {
            decision.isGranted = true;
            return decision;
        }
    }
    return {};
}

} // namespace sardinehinge::core
