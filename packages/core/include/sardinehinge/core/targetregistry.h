#pragma once

#include <sardinehinge/core/target.h>

#include <map>
#include <string>
#include <vector>

namespace sardinehinge::core {

/// When an entry that vanished from the registry counts as gone.
struct RegistryTiming
{
    Duration goneDelay = std::chrono::milliseconds(1000); ///< Half the shortest drain bound of the users' sites.
    Duration returnGrace = std::chrono::milliseconds(2100); ///< After an outage of the store, lapsed entries are back
                                                            ///< within two seconds.

    bool operator==(const RegistryTiming &) const = default;
};

/// The targets that the platform's registry shows, and those whose entries may only have lapsed. Pure.
///
/// An entry can vanish because its target left, or because the store was away for longer than the entry lives. A
/// vanished entry is therefore kept for a while: a moment normally, or until lapsed entries must be back after an
/// outage.
class TargetRegistry
{
public:
    explicit TargetRegistry(RegistryTiming timing = {})
        : m_timing(timing)
    {
    }

    /// An entry as it is now.
    void put(const RegisteredTarget &target, Time now);
    /// An entry was deleted, or can't be read any more.
    void remove(const std::string &id, Time now);
    /// Entries not in `present` have vanished: for use after a whole list.
    void keepOnly(const std::vector<std::string> &present, Time now);
    void storeLost() noexcept { m_isStoreLost = true; }
    void storeBack(Time now) noexcept;
    /// Drops what counts as gone now; returns the ids.
    std::vector<std::string> expire(Time now);

    /// Whether targets() differs from what it was at the last call.
    bool takeChanged() noexcept;
    /// With `warmupLeft` as of `now`.
    std::vector<RegisteredTarget> targets(Time now) const;
    /// The target with this id, or nullptr.
    const RegisteredTarget *find(const std::string &id) const noexcept;

private:
    struct Entry
    {
        RegisteredTarget target;
        Time warmUntil = 0ms;
        Time vanishedAt = 0ms; ///< 0: it is there.
    };

    RegistryTiming m_timing;
    std::map<std::string, Entry> m_entries;
    bool m_isStoreLost = false;
    Time m_steadyFrom = 0ms; ///< Until then a vanished entry may be back.
    bool m_isChanged = false;
};

} // namespace sardinehinge::core
