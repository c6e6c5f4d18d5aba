#pragma once

#include <sardinehinge/core/messages.h>
#include <sardinehinge/core/types.h>

#include <map>
#include <string>
#include <vector>

namespace sardinehinge::core {

/// A grant and the id of the receiving daemon.
struct AddressedGrant
{
    std::string to;
    SlotGrant grant;

    bool operator==(const AddressedGrant &) const = default;
};

/// Allocates the slots of targets to daemons. Runs on the daemon that ranks first for the target; does no I/O.
///
/// A permit allows one request. Daemons are served round-robin. Short work has priority, but one grant in eight goes to
/// waiting long work, which never holds more than its share of slots. All counts are cumulative, so the next message
/// makes up for a lost one. State lost with the daemon is rebuilt by the next allocator from incoming demands.
class SlotAllocator
{
public:
    /// Handles a demand and returns the messages to send: a reply to the sender, a grant to each daemon that got a
    /// permit and, if slots have just become scarce, a notice to all daemons.
    std::vector<AddressedGrant> handle(const DaemonIdentity &from, const SlotDemand &demand, Time now);

    /// Number of unfinished permits for `target`, of both classes.
    std::uint64_t outstanding(const std::string &target) const;

private:
    struct Client
    {
        std::uint64_t incarnation = 0;
        ClassCounts wanted;
        ClassCounts granted;
        ClassCounts finished;
        Time lastHeard = 0ms;
        std::uint64_t lastServed = 0; ///< Value of Target::turn when it last got a permit.
    };

    struct Target
    {
        std::uint32_t slots = 0;
        std::uint32_t longSlots = 0;
        std::uint64_t turn = 0; ///< Permits granted so far.
        bool hadSpareSlots = false; ///< Last value sent to the daemons.
        std::map<std::string, Client> clients;
    };

    using Count = std::uint64_t ClassCounts::*;

    static std::uint64_t outstandingOf(const Client &client, Count count) noexcept;
    static std::uint64_t outstandingOf(const Target &target, Count count) noexcept;
    static Client *nextWaitingClient(Target &target, Count count) noexcept;
    static void expireSilentClients(Target &target, Time now);
    static bool grantOne(Target &target);
    static bool hasSpareSlots(const Target &target) noexcept;

    std::map<std::string, Target> m_targets;
};

} // namespace sardinehinge::core
