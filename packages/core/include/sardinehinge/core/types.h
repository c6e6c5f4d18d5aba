#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sardinehinge::core {

/// A length of time. All decision logic computes in nanoseconds.
using Duration = std::chrono::nanoseconds;

/// A reading of a monotonic clock that includes time in suspend, as time since an arbitrary origin.
/// Readings of different processes are not comparable.
using Time = std::chrono::nanoseconds;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

/// The generation of the platform's store. It rises whenever the store returns from an older copy and so has lost
/// writes that it had acknowledged. Revisions are comparable within one era only. 0: the store tells none.
using StoreEra = std::uint64_t;

/// A service of a workspace.
struct ServiceId
{
    std::string workspace;
    std::string service;

    auto operator<=>(const ServiceId &) const = default;
};

/// `workspace/service`, the form used in documents, messages and logs.
std::string toString(const ServiceId &id);

/// Identifies a daemon process. `incarnation` distinguishes processes that were started with the same id.
struct DaemonIdentity
{
    std::string id;
    std::uint64_t incarnation = 0;

    auto operator<=>(const DaemonIdentity &) const = default;
};

/// The role of an instance.
enum class InstanceKind { Daemon, Target };

/// An entry of the platform's instance list.
struct Instance
{
    std::string id;
    InstanceKind kind = InstanceKind::Daemon;
    std::string address; ///< IP number and port: UDP port of a daemon, HTTP port of a target.
    std::string failureDomain;
    std::string service; ///< `workspace/service` of a target; empty for a daemon.
    bool leaving = false; ///< Whether the instance is about to stop or is drained.

    bool operator==(const Instance &) const = default;
};

/// One version of the platform's instance list. The list may be outdated: it can contain terminated instances and miss
/// new ones.
struct InstanceView
{
    std::uint64_t version = 0;
    std::vector<Instance> instances;

    bool operator==(const InstanceView &) const = default;
};

/// Returns the instance with this id, or nullptr. The pointer is valid as long as `view` is unchanged.
const Instance *findInstance(const InstanceView &view, const std::string &id) noexcept;

/// Returns the daemons of `view` that are not leaving, in the order of the list.
std::vector<Instance> liveDaemons(const InstanceView &view);

/// Returns the targets of `view` that serve `service`, including those that are leaving.
std::vector<Instance> targetsOf(const InstanceView &view, const ServiceId &service);

} // namespace sardinehinge::core
