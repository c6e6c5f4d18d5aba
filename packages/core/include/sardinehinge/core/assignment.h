#pragma once

#include <sardinehinge/core/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace sardinehinge::core {

/// The owner of one shard. `epoch` increases with every change of owner.
struct ShardOwner
{
    std::string target; ///< Empty if the shard has no owner.
    std::uint64_t epoch = 0;
    /// Owner before this epoch. `target` is granted the shard only after this owner has released it.
    std::string previousTarget;
    bool isAfterLoss = false; ///< The previous target is considered failed; its requests in flight are not waited for.

    bool operator==(const ShardOwner &) const = default;
};

/// The owners of all shards of a service, as kept in the object store.
struct Assignment
{
    std::uint64_t term = 0; ///< Term of the controller that wrote it.
    std::vector<ShardOwner> shards;

    bool operator==(const Assignment &) const = default;
};

/// The controller of a service and its witnesses, as kept in the object store.
struct ControlRecord
{
    std::uint64_t term = 0;
    DaemonIdentity holder;
    std::vector<DaemonIdentity> witnesses; ///< Includes the holder. An odd number if enough daemons are alive.
    std::vector<DaemonIdentity> previousWitnesses; ///< Witnesses of the previous record, until known to be retired.
    std::uint64_t listVersion = 0; ///< Version of the instance list that the witnesses were chosen from.

    bool operator==(const ControlRecord &) const = default;
};

} // namespace sardinehinge::core
