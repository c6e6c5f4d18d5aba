#pragma once

#include <sardinehinge/core/messages.h>
#include <sardinehinge/core/types.h>

#include <map>
#include <string>
#include <vector>

namespace sardinehinge::core {

/// A grant and the daemon it goes to.
struct AddressedGrant
{
    std::string to;
    SlotGrant grant;

    bool operator==(const AddressedGrant &) const = default;
};

/// Shares a target's slots out among all daemons, on the one daemon that ranks first for the target.
///
/// Pure. A permit is good for one request; daemons take turns, so that none holds a slot while others wait. Short work
/// goes first, but one grant in eight goes to long work that waits, and long work never holds more than its share.
/// All counts are cumulative, so a lost message is healed by the next one. The state can be lost with the daemon: the
/// next allocator learns what is out from the demands.
class SlotAllocator
{
public:
    /// Takes a demand and returns what to send: an answer to the sender, a grant to each daemon that got a permit, and,
    /// when slots have become scarce, word of it to all.
    std::vector<AddressedGrant> handle(const DaemonIdentity &from, const SlotDemand &demand, Time now);

    /// Permits that are out for a target.
    std::uint64_t outstanding(const std::string &target) const;

private:
    struct Client
    {
        std::uint64_t incarnation = 0;
        ClassCounts wanted;
        ClassCounts granted;
        ClassCounts finished;
        Time lastHeard = 0ms;
        std::uint64_t lastServed = 0; ///< Turn in which it last got a permit.
    };

    struct Target
    {
        std::uint32_t slots = 0;
        std::uint32_t longSlots = 0;
        std::uint64_t turn = 0;
        bool wasCalm = false; ///< What daemons were told last.
        std::map<std::string, Client> clients;
    };

    using Count = std::uint64_t ClassCounts::*;

    static std::uint64_t out(const Client &client, Count count) noexcept;
    static std::uint64_t out(const Target &target, Count count) noexcept;
    static Client *nextInTurn(Target &target, Count count) noexcept;
    static void forgetSilent(Target &target, Time now);
    static bool grantOne(Target &target);
    static bool isCalm(const Target &target) noexcept;

    std::map<std::string, Target> m_targets;
};

} // namespace sardinehinge::core
