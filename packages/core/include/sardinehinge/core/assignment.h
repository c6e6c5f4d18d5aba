#pragma once

#include <sardinehinge/core/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace sardinehinge::core {

/// Who owns one shard. `epoch` rises with every change of owner and never falls.
struct ShardOwner
{
    std::string target; ///< Empty: no owner.
    std::uint64_t epoch = 0;
    std::string
        previousTarget; ///< Owner before this epoch; it must have released the shard before `target` is granted.
    bool isAfterLoss = false; ///< The previous target was lost; requests in flight there are not waited for.

    bool operator==(const ShardOwner &) const = default;
};

/// The owners of all shards of a service, as kept in the object store.
struct Assignment
{
    std::uint64_t term = 0; ///< Term of the controller that wrote it.
    std::vector<ShardOwner> shards;

    bool operator==(const Assignment &) const = default;
};

/// Who controls the assignments of a service, as kept in the object store.
struct ControlRecord
{
    std::uint64_t term = 0;
    DaemonIdentity holder;
    std::vector<DaemonIdentity> witnesses; ///< Odd in number where enough daemons live; the holder is among them.
    std::vector<DaemonIdentity> previousWitnesses; ///< Of the record before, until they are known to be retired.
    std::uint64_t listVersion = 0; ///< Version of the instance list the witnesses were picked from.

    bool operator==(const ControlRecord &) const = default;
};

} // namespace sardinehinge::core
