#pragma once

#include <sardinehinge/edges/gatewayedges.h>

#include <algorithm>
#include <string>
#include <vector>

namespace sardinehinge::daemon {

/// Joins the pages of one list of the platform's store. Does no I/O.
///
/// Each page shows its names as of its own revision, so the list as a whole is complete only as of its first page: what
/// changes behind the reader, between two pages, is on none of them. Who goes on from the first page's revision is
/// shown those changes, and again some that the later pages contain. That is harmless, as they come in their order and
/// the last one of a name decides.
template<typename Value>
class PagedList
{
public:
    enum class Progress {
        Continues, ///< Read the page after after().
        Complete,
        OtherEra, ///< The page is of another era than the ones before: begin again.
        Broken, ///< The page is a failed call, or says that more follows but not where.
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
        std::string last = m_after;
        for (const auto &entry : page.entries) {
            m_names.push_back(entry.name);
            last = std::max(last, entry.name);
        }
        if (!page.hasMore)
            return Progress::Complete;
        if (last == m_after)
            return Progress::Broken;
        m_after = last;
        return Progress::Continues;
    }

    /// The name after which the next page begins; empty: the first page.
    const std::string &after() const noexcept { return m_after; }
    const std::vector<std::string> &names() const noexcept { return m_names; }
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
    std::uint64_t m_revision = 0;
    std::uint64_t m_latest = 0;
    core::StoreEra m_era = 0;
    core::Time m_completeAt{};
    std::size_t m_pages = 0;
};

} // namespace sardinehinge::daemon
