#pragma once

#include <sardinehinge/core/result.h>
#include <sardinehinge/core/types.h>

#include <string>
#include <vector>

namespace sardinehinge::core {

/// How the keys of a service are divided into shards.
enum class Division {
    None, ///< The service has no keys; any target may serve a request.
    Hash, ///< shard = hash(key) mod shardCount.
    Ranges, ///< Lexicographic ranges between `splits`.
};

/// A class of work. Long work is kept from taking all slots of a target.
enum class WorkClass { Short, Long };

/// A rule that gives requests of one endpoint their properties. Rules match by path prefix, longest first.
struct EndpointRule
{
    std::string pathPrefix; ///< Starts with `/`.
    bool idempotent = true;
    WorkClass workClass = WorkClass::Short;
    Duration deadline = 1s; ///< From arrival to answer. 1 ms to 10 min.

    bool operator==(const EndpointRule &) const = default;
};

/// The parameters of one service of a workspace.
struct ServiceSpec
{
    std::string name;
    Division division = Division::None;
    std::uint32_t shardCount = 1; ///< 1 to 1024. For ranges: splits.size() + 1.
    std::vector<std::string> splits; ///< First key of each range but the first, ascending.
    bool targetsCheckFences = true; ///< Whether the targets refuse orders and requests with an older term or epoch.
    std::uint32_t slotsPerTarget = 6; ///< Requests that a target runs at once. 1 to 1000.
    std::uint32_t connectionsPerTarget = 130; ///< Connections that a target accepts from all daemons. 1 to 10,000.
    std::uint32_t longSlotsPerTarget = 2; ///< Slots that long work may hold. 0 to slotsPerTarget.
    std::vector<EndpointRule> endpoints;

    bool operator==(const ServiceSpec &) const = default;
};

/// Whether a workspace takes new work.
enum class WorkspaceState { Active, Shutdown };

/// The template's parameters as an operator filled them in for one workspace.
struct WorkspaceSpec
{
    std::string name;
    WorkspaceState state = WorkspaceState::Active;
    Duration shutdownGrace = 30s; ///< Longest wait for work in progress at a graceful shutdown. 1 s to 1 h.
    std::vector<std::string> drainedTargets; ///< Targets that operators took out of service.
    std::vector<ServiceSpec> services;

    bool operator==(const WorkspaceSpec &) const = default;
};

/// The service with this name, or nullptr. The pointer lives as long as `spec`.
const ServiceSpec *findService(const WorkspaceSpec &spec, const std::string &name) noexcept;

/// Checks every rule that a workspace document must keep.
/// Returns one line for each fault, starting with the path of the faulty value; empty when the document is right.
std::vector<std::string> validationErrors(const WorkspaceSpec &spec);

/// The rule of the longest matching path prefix, or a default rule for requests that none matches.
/// The default is not idempotent, since resending an unknown request could do harm.
const EndpointRule &ruleFor(const ServiceSpec &service, const std::string &path) noexcept;

} // namespace sardinehinge::core
