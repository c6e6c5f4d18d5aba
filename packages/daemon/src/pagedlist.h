#pragma once

#include <sardinehinge/edges/gatewayedges.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <vector>

namespace sardinehinge::daemon {

/// Joins the pages of one list of the platform's store. Does no I/O.
///
/// Each page shows its names as of its own revision, so the list as a whole is complete only as of its first page: what
/// changes behind the reader, between two pages, is on none of them. Who goes on from the first page's revision is
/// shown those changes, and again some that the later pages contain. That is harmless, as they come in their order and
/// the last one of a name decides.
///
/// The order of names is the store's and needn't be that of their bytes. The next page begins after an entry in use
/// where there is one: the name of an unreadable entry may not be the one that the store sorts it by. What was on the
/// page behind that entry is then shown again.
template<typename Value>
class PagedList
{
public:
    enum class Progress {
        Continues, ///< Read the page after after().
        Complete,
        OtherEra, ///< The page is of another era than the ones before: begin again.
        Broken, ///< The page is a failed call, or says that more follows and names nothing new.
    };

    /// Forgets all pages: the next one is the first.
    void begin() { *this = PagedList(); }

    Progress take(const edges::FeedPage<Value> &page, core::Time now)
    {
        if (page.outcome != edges::StoreOutcome::Ok)
            return Progress::Broken;
        if (m_pages != 0 && page.era != m_era)
            return Progress::OtherEra;
        if (m_pages == 0) {
            m_revision = page.revision;
            m_era = page.era;
            m_completeAt = now;
        }
        ++m_pages;
        m_revision = std::min(m_revision, page.revision);
        m_latest = std::max(m_latest, page.revision);
        std::string lastUsed;
        std::string lastNamed;
        for (const auto &entry : page.entries) {
            const bool isNew = m_known.insert(entry.name).second;
            const bool isNewlyUsed = entry.value && m_used.insert(entry.name).second;
            if (isNew)
                m_names.push_back(entry.name);
            if (!entry.value)
                m_unusable.push_back(entry);
            if (isNewlyUsed && !entry.name.empty())
                lastUsed = entry.name;
            else if (isNew && !entry.name.empty())
                lastNamed = entry.name;
        }
        if (!page.hasMore)
            return Progress::Complete;
        // Each page brings a new name, so that reading ends.
        const std::string &next = lastUsed.empty() ? lastNamed : lastUsed;
        if (next.empty())
            return Progress::Broken;
        m_after = next;
        return Progress::Continues;
    }

    /// The name after which the next page begins; empty: the first page.
    const std::string &after() const noexcept { return m_after; }
    const std::vector<std::string> &names() const noexcept { return m_names; }
    /// The entries that can't be used, without those whose name is also that of an entry in use.
    std::vector<edges::FeedEntry<Value>> unusable() const
    {
        std::vector<edges::FeedEntry<Value>> entries;
        std::copy_if(m_unusable.begin(), m_unusable.end(), std::back_inserter(entries),
                     [this](const auto &entry) { return !m_used.contains(entry.name); });
        return entries;
    }
    /// The revision up to which the list is complete.
    std::uint64_t revision() const noexcept { return m_revision; }
    /// The latest revision of a page: changes up to it may be missing if it is above revision().
    std::uint64_t latest() const noexcept { return m_latest; }
    core::StoreEra era() const noexcept { return m_era; }
    /// When the first page came, which the list is complete as of.
    core::Time completeAt() const noexcept { return m_completeAt; }

private:
    std::string m_after;
    std::vector<std::string> m_names;
    std::set<std::string> m_known; ///< The same names.
    std::set<std::string> m_used; ///< Those of entries in use.
    std::vector<edges::FeedEntry<Value>> m_unusable;
    std::uint64_t m_revision = 0;
    std::uint64_t m_latest = 0;
    core::StoreEra m_era = 0;
    core::Time m_completeAt{};
    std::size_t m_pages = 0;
};

} // namespace sardinehinge::daemon
