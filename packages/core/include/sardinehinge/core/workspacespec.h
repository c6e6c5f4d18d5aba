#pragma once

#include <sardinehinge/core/result.h>
#include <sardinehinge/core/types.h>

#include <string>
#include <vector>

namespace sardinehinge::core {

/// How the keys of a service are divided into shards.
enum class Division {
    None, ///< Requests have no key; any target of the service can serve them.
    Hash, ///< shard = hash(key) mod shardCount.
    Ranges, ///< Each shard is a lexicographic key range; `splits` holds the boundaries.
};

/// The class of a request by its duration. Long work may occupy only a limited number of a target's slots.
enum class WorkClass { Short, Long };

/// Properties of the requests whose path starts with `pathPrefix`. The longest matching prefix applies.
struct EndpointRule
{
    std::string pathPrefix; ///< Starts with `/`.
    bool idempotent = true;
    WorkClass workClass = WorkClass::Short;
    Duration deadline = 1s; ///< Longest time from the arrival of a request to its response. 1 ms to 10 min.

    bool operator==(const EndpointRule &) const = default;
};

/// Configuration of one service of a workspace.
struct ServiceSpec
{
    std::string name;
    Division division = Division::None;
    std::uint32_t shardCount = 1; ///< 1 to 1024. For ranges: splits.size() + 1.
    std::vector<std::string> splits; ///< First key of each range except the first range, in ascending order.
    bool targetsCheckFences = true; ///< Whether targets reject orders and requests with an older term or epoch.
    std::uint32_t slotsPerTarget = 6; ///< Requests that a target runs concurrently. 1 to 1000.
    std::uint32_t connectionsPerTarget = 130; ///< Connections that a target accepts from all daemons. 1 to 10,000.
    std::uint32_t longSlotsPerTarget = 2; ///< Slots that long work may occupy. 0 to slotsPerTarget.
    std::vector<EndpointRule> endpoints;

    bool operator==(const ServiceSpec &) const = default;
};

/// Whether a workspace accepts new requests.
enum class WorkspaceState { Active, Shutdown };

/// Configuration of one workspace, as set by an operator.
struct WorkspaceSpec
{
    std::string name;
    WorkspaceState state = WorkspaceState::Active;
    Duration shutdownGrace = 30s; ///< Longest wait for requests in flight at a graceful shutdown. 1 s to 1 h.
    std::vector<std::string> drainedTargets; ///< Targets that an operator drains.
    std::vector<ServiceSpec> services;

    bool operator==(const WorkspaceSpec &) const = default;
};

/// Returns the service with this name, or nullptr. The pointer is valid as long as `spec` is unchanged.
const ServiceSpec *findService(const WorkspaceSpec &spec, const std::string &name) noexcept;

/// Validates a workspace document.
/// Returns one line for each error, starting with the path of the invalid value; empty if the document is valid.
std::vector<std::string> validationErrors(const WorkspaceSpec &spec);

/// Returns the rule with the longest matching path prefix, or a default rule if none matches.
/// The default rule is not idempotent, since resending a request to an unknown endpoint could execute it twice.
const EndpointRule &ruleFor(const ServiceSpec &service, const std::string &path) noexcept;

} // namespace sardinehinge::core
