#pragma once

#include <sardinehinge/core/keyrange.h>
#include <sardinehinge/core/target.h>
#include <sardinehinge/core/types.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sardinehinge::core {

/// An operator's request that the targets of a failure domain get no more requests. It is named after the domain.
struct Evacuation
{
    bool operator==(const Evacuation &) const = default;
};

/// The failure domains that operators have evacuated. All targets of such a domain count as draining, so that requests
/// go elsewhere and keys are handed over in order. Does no I/O.
///
/// An evacuation begins when its entry is learnt and ends when the entry is removed. A store that returns from an older
/// copy may have lost an entry that it had acknowledged: such an evacuation goes on for `lostEntryGrace`, so that the
/// operator can write it again. While the store is away, the known evacuations stay in force.
class Evacuations
{
public:
    /// How long an evacuation whose entry the store may have lost stays in force. Sending to an evacuated domain harms;
    /// this time without its targets only costs capacity.
    static constexpr Duration lostEntryGrace = std::chrono::seconds(5);

    void put(const std::string &domain);
    /// The entry was removed.
    void remove(const std::string &domain);
    /// Takes in the names of a complete listing: all other entries are gone.
    void keepOnly(const std::vector<std::string> &present, Time now);
    /// The store has returned from an older copy. The next complete listing may lack entries that it has lost.
    void eraChanged() noexcept { m_hasEraChanged = true; }
    /// Ends the evacuations whose grace is over.
    void expire(Time now);

    bool isEvacuated(const std::string &domain) const noexcept { return m_domains.contains(domain); }
    std::size_t size() const noexcept { return m_domains.size(); }
    /// Returns the domains that have an entry, in order, without those in their grace.
    std::vector<std::string> listed() const;
    /// Returns the targets, with those of evacuated domains as draining.
    std::vector<RegisteredTarget> markDraining(std::vector<RegisteredTarget> targets) const;

    /// Returns those of `keys` that no target outside the evacuated domains holds. Keys that one has held since the
    /// evacuation began don't return, so the rest of them shows how far it is, also while others move.
    std::vector<KeyRange> remainingKeys(const std::vector<KeyRange> &keys, const RangeOwners &owners,
                                        const std::vector<RegisteredTarget> &targets) const;

    /// An evacuation that began or ended.
    struct Change
    {
        std::string domain;
        bool hasBegun = false;

        bool operator==(const Change &) const = default;
    };
    /// Returns what has changed since the last call.
    std::vector<Change> takeChanges();

private:
    void end(const std::string &domain);

    std::map<std::string, std::optional<Time>> m_domains; ///< With the end of the grace of those without an entry.
    std::vector<Change> m_changes;
    bool m_hasEraChanged = false;
};

} // namespace sardinehinge::core
