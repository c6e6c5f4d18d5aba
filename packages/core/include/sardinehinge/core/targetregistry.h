#pragma once

#include <sardinehinge/core/target.h>

#include <map>
#include <string>
#include <vector>

namespace sardinehinge::core {

/// How long an entry that vanished from the registry is kept.
struct RegistryTiming
{
    Duration removalDelay = std::chrono::milliseconds(1000); ///< Half the shortest drain timeout of any user site.
    Duration drainBound = std::chrono::milliseconds(2000); ///< From an entry's removal to the target's last request.
    Duration sendMargin = std::chrono::milliseconds(300); ///< For requests that are on their way at the removal.
    Duration recoveryGrace = std::chrono::milliseconds(2100); ///< Targets renew lapsed entries within two seconds after
                                                              ///< an outage of the store.

    bool operator==(const RegistryTiming &) const = default;
};

/// Tracks the targets in the platform's registry, including those whose entries may only have lapsed. Does no I/O.
///
/// An entry vanishes when its target leaves, or when a store outage outlasts the entry's lifetime. A vanished entry is
/// therefore kept for `removalDelay`, and after an outage for at least `recoveryGrace` from its end. An entry whose
/// removal is learnt late is kept for less: the drain bound counts from the time up to which the registry was complete.
class TargetRegistry
{
public:
    explicit TargetRegistry(RegistryTiming timing = {})
        : m_timing(timing)
    {
    }

    /// Adds or replaces an entry.
    void put(const RegisteredTarget &target, Time now);
    /// Marks an entry as vanished: it was deleted or can no longer be read. `completeAt`: when this registry was last
    /// known to be complete; the entry vanished after it.
    void remove(const std::string &id, Time now, Time completeAt);
    /// Marks every entry whose id isn't in `present` as vanished. Call it with the ids of a complete listing.
    void keepOnly(const std::vector<std::string> &present, Time now, Time completeAt);
    /// Suspends expiry, except of draining targets, until `recoveryGrace` after storeReconnected().
    void storeDisconnected() noexcept { m_isStoreDisconnected = true; }
    void storeReconnected(Time now) noexcept;
    /// Deletes the vanished entries whose retention has ended and returns their ids. Entries of draining targets
    /// are deleted without a delay.
    std::vector<std::string> expire(Time now);

    /// Returns whether targets() has changed since the last call.
    bool takeChanged() noexcept;
    /// Returns all targets, with `warmupLeft` as of `now`.
    std::vector<RegisteredTarget> targets(Time now) const;
    /// Returns the target with this id, or nullptr. The registry owns it.
    const RegisteredTarget *find(const std::string &id) const noexcept;

private:
    struct Entry
    {
        RegisteredTarget target;
        Time warmupEnd = 0ms;
        Time vanishedAt = 0ms; ///< 0: present in the registry.
        Time removalAt = 0ms; ///< Of a vanished entry, unless the store is or was away.
    };

    RegistryTiming m_timing;
    std::map<std::string, Entry> m_entries;
    bool m_isStoreDisconnected = false;
    Time m_recoveryEnd = 0ms; ///< Until then lapsed entries may reappear.
    bool m_isChanged = false;
};

} // namespace sardinehinge::core
