#pragma once

#include <sardinehinge/core/keyrange.h>
#include <sardinehinge/core/types.h>

namespace sardinehinge::core {

/// A target as the platform's registry shows it.
struct RegisteredTarget
{
    TargetLife life;
    std::string service;
    std::string address;
    std::string failureDomain;
    std::uint32_t slots = 1; ///< Requests that it runs at once.
    bool isDraining = false;
    Duration warmupLeft = 0ms; ///< How much longer it is slow after its start, when it was registered.

    bool operator==(const RegisteredTarget &) const = default;
};

/// Where a daemon can be reached by its peers.
struct PeerDaemon
{
    std::string id;
    std::uint64_t incarnation = 0;
    std::string address; ///< IP number and UDP port.
    std::uint32_t linkMbps = 0; ///< Bandwidth of its link; 0: not known.

    bool operator==(const PeerDaemon &) const = default;
};

} // namespace sardinehinge::core
