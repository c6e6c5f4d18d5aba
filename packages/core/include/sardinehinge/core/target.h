#pragma once

#include <sardinehinge/core/keyrange.h>
#include <sardinehinge/core/types.h>

namespace sardinehinge::core {

/// A target's entry in the platform's registry.
struct RegisteredTarget
{
    TargetIdentity identity;
    std::string service;
    std::string address;
    std::string failureDomain;
    std::uint32_t slots = 1; ///< Requests that it can run concurrently.
    bool isDraining = false;
    Duration warmupLeft = 0ms; ///< Warm-up time that remained when it was registered; it is slower meanwhile.
    std::uint64_t sequence = 0; ///< Counts the entries that this incarnation of the target has written.
    double coldRate = 0; ///< Requests a second from all daemons while it warms up; 0: not limited. Not part of entries.

    bool operator==(const RegisteredTarget &) const = default;
};

/// Address of a daemon for its peers.
struct PeerDaemon
{
    std::string id;
    std::uint64_t incarnation = 0;
    std::string address; ///< IP address and UDP port.
    std::uint32_t linkMbps = 0; ///< Bandwidth of its network link in Mbit/s; 0: unknown.

    bool operator==(const PeerDaemon &) const = default;
};

} // namespace sardinehinge::core
