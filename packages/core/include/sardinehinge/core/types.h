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

/// A reading of a monotonic clock that counts through suspension, as time since an arbitrary origin.
/// Readings of different processes can't be compared.
using Time = std::chrono::nanoseconds;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

/// A service of a workspace.
struct ServiceId
{
    std::string workspace;
    std::string service;

    auto operator<=>(const ServiceId &) const = default;
};

/// `workspace/service`, the form used in documents, messages and logs.
std::string toString(const ServiceId &id);

/// One process of a daemon: `incarnation` differs between two processes that were started under the same id.
struct DaemonIdentity
{
    std::string id;
    std::uint64_t incarnation = 0;

    auto operator<=>(const DaemonIdentity &) const = default;
};

/// What an entry of the platform's instance list serves as.
enum class InstanceKind { Daemon, Target };

/// An entry of the platform's instance list.
struct Instance
{
    std::string id;
    InstanceKind kind = InstanceKind::Daemon;
    std::string address; ///< IP number and port: UDP port of a daemon, HTTP port of a target.
    std::string failureDomain;
    std::string service; ///< `workspace/service` that a target serves; empty for a daemon.
    bool leaving = false;

    bool operator==(const Instance &) const = default;
};

/// The platform's instance list as of one version. The list lags: it can contain instances that are gone and miss new
/// ones.
struct InstanceView
{
    std::uint64_t version = 0;
    std::vector<Instance> instances;

    bool operator==(const InstanceView &) const = default;
};

/// The entry with this id, or nullptr. The pointer lives as long as `view`.
const Instance *findInstance(const InstanceView &view, const std::string &id) noexcept;

/// The daemons of `view` that are not leaving, in the order of the list.
std::vector<Instance> liveDaemons(const InstanceView &view);

/// The targets of `view` that serve `service`, leaving ones included.
std::vector<Instance> targetsOf(const InstanceView &view, const ServiceId &service);

} // namespace sardinehinge::core
