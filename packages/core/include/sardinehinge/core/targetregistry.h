#pragma once

#include <sardinehinge/core/feedposition.h>
#include <sardinehinge/core/target.h>

#include <compare>
#include <map>
#include <optional>
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
    Duration removalMemory = 2 * maxCopyAge; ///< A store that returns may list removed targets for this long.
    std::size_t rememberedRemovals = 2000; ///< At about 100 bytes each.

    bool operator==(const RegistryTiming &) const = default;
};

/// Tracks the targets in the platform's registry, including those whose entries may only have lapsed. Does no I/O.
///
/// An entry vanishes when its target leaves, or when a store outage outlasts the entry's lifetime. A vanished entry is
/// therefore kept for `removalDelay`. An entry whose removal is learnt late is kept for less: the drain bound counts
/// from the time up to which the registry was complete.
///
/// An entry that vanishes during an outage, or within `recoveryGrace` of its end, may only have lapsed: it is kept for
/// at least `recoveryGrace` from the end of the outage. An outage that begins after an entry has vanished doesn't
/// prolong its retention: the removal was learnt from a store that answered, so the target has left.
///
/// Within an era of the store, entries come in the order in which they were written. The first list of a later era
/// shows targets as they were some time ago, so an entry of it doesn't undo what is known to be later:
/// - A target that was removed stays removed, whatever the entry's sequence: a target's writes that change nothing else
///   may be unknown here.
/// - A target that drains keeps draining, unless the entry's sequence is above the last known one.
/// - An entry of a smaller incarnation changes nothing.
/// Such an entry is outdated: it stays without effect, also when it is shown again, until the target has written one
/// with a higher sequence or incarnation. Sequence 0 (none) is below all others, so it can't end that.
/// An entry that is missing from that list is kept for `recoveryGrace`, as after an outage.
class TargetRegistry
{
public:
    explicit TargetRegistry(RegistryTiming timing = {})
        : m_timing(timing)
    {
    }

    /// Adds or replaces an entry. Returns false, and changes nothing, if it is outdated.
    bool put(const RegisteredTarget &target, Time now);
    /// Marks an entry as vanished: it was deleted or can no longer be read. `completeAt`: when this registry was last
    /// known to be complete; the entry vanished after it. Returns whether the entry was present until now.
    bool remove(const std::string &id, Time now, Time completeAt);
    /// Marks every entry whose id isn't in `present` as vanished. Call it with the ids of a complete listing.
    void keepOnly(const std::vector<std::string> &present, Time now, Time completeAt);
    /// The store has returned from an older copy. The entries put from now until keepOnly() are its first list.
    void eraChanged(Time now) noexcept;
    /// Whether an outdated entry keeps a removed target out; a list of some time later shows whether that one still
    /// writes.
    bool hasOutdatedRemovals() const noexcept;
    /// Until `recoveryGrace` after storeReconnected(), vanishing entries may have lapsed: they don't expire before
    /// then, except those of draining targets.
    void storeDisconnected() noexcept { m_isStoreDisconnected = true; }
    void storeReconnected(Time now) noexcept;
    /// Whether an entry that vanishes now may only have lapsed.
    bool mayLapse(Time now) const noexcept { return m_isStoreDisconnected || now < m_recoveryEnd; }
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
    /// Orders the entries that were written for one target.
    struct Version
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;

        auto operator<=>(const Version &) const = default;
    };

    struct Entry
    {
        RegisteredTarget target;
        Time warmupEnd = 0ms;
        Time vanishedAt = 0ms; ///< 0: present in the registry.
        Time removalAt = 0ms; ///< When a vanished entry expires at the earliest.
        bool mayHaveLapsed = false; ///< Vanished when mayLapse(), or lost with the store's latest changes.
        bool isLost = false; ///< Vanished from the first list of an era, so it may have been lost with the copy.
        std::optional<Version> outdated; ///< Entries up to this one are outdated.
    };

    struct Removal
    {
        Version version;
        Time forgetAt = 0ms;
        std::optional<Version> outdated; ///< As of Entry.
    };

    static Version versionOf(const RegisteredTarget &target) noexcept
    {
        return {target.identity.incarnation, target.sequence};
    }
    bool isOutdated(const RegisteredTarget &target, Time now);
    void rememberRemoval(const RegisteredTarget &target, const std::optional<Version> &outdated, Time now);

    RegistryTiming m_timing;
    std::map<std::string, Entry> m_entries;
    std::map<std::string, Removal> m_removals; ///< No id is in both maps.
    std::optional<Time> m_eraChangedAt; ///< While the first list of an era is awaited.
    bool m_isStoreDisconnected = false;
    Time m_recoveryEnd = 0ms; ///< Until then lapsed entries may reappear.
    bool m_isChanged = false;
};

} // namespace sardinehinge::core
