#pragma once

#include <sardinehinge/core/target.h>
#include <sardinehinge/core/targetregistry.h>
#include <sardinehinge/core/targetstate.h>

#include <optional>
#include <string>
#include <vector>

namespace sardinehinge::core {

/// A target of a sharded service that said that it is leaving.
struct LeavingTarget
{
    std::string service;
    TargetIdentity target;

    bool operator==(const LeavingTarget &) const = default;
};

/// The leaving targets that this daemon knows of. While the registry doesn't show that one is leaving, the controller
/// of its service is told again and again: a lost datagram or a new controller needs nothing else. Does no I/O.
class LeavingTargets
{
public:
    static constexpr Duration tellInterval = std::chrono::milliseconds(500);
    static constexpr std::size_t maxTargets = 1024; ///< Further ones are ignored.

    /// Returns whether the target is new.
    bool add(const LeavingTarget &target);
    /// Returns the targets whose controllers are to be told now, and forgets those that the registry lists under a
    /// later incarnation or hasn't listed for a while.
    std::vector<LeavingTarget> takeDue(const TargetRegistry &registry, Time now);
    /// Returns the service's targets, with those that leave as draining.
    std::vector<RegisteredTarget> markDraining(const std::string &service,
                                               const std::vector<RegisteredTarget> &targets) const;

private:
    struct Entry
    {
        LeavingTarget target;
        Time nextTell = 0ms;
        std::optional<Time> missingSince; ///< In the registry.
    };

    std::vector<Entry> m_entries;
};

} // namespace sardinehinge::core
