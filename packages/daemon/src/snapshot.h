#pragma once

#include <sardinehinge/core/controlgroup.h>
#include <sardinehinge/core/types.h>
#include <sardinehinge/core/workspacespec.h>

#include <map>
#include <string>
#include <vector>

namespace sardinehinge::daemon {

/// One control group as this daemon sees it.
struct GroupStatus
{
    core::ServiceId service;
    core::ControlRole role = core::ControlRole::Follower;
    std::uint64_t term = 0;
    core::ControlRecord record;
    core::Assignment assignment;
    std::size_t unheldShards = 0; ///< Only known to the controller.
    bool hasAuthority = false;
    std::vector<std::string> lostTargets;
};

/// A workspace document as it is in force in this daemon.
struct WorkspaceStatus
{
    core::WorkspaceSpec spec;
    std::uint64_t revision = 0;
    std::uint64_t inForce = 0;
};

/// What a daemon tells operators about itself. Immutable once published.
struct Snapshot
{
    core::DaemonIdentity self;
    std::uint64_t listVersion = 0;
    std::vector<core::Instance> instances;
    bool isWatching = false;
    core::Duration storeAge{};
    std::map<std::string, WorkspaceStatus> workspaces;
    std::vector<GroupStatus> groups;
};

} // namespace sardinehinge::daemon
