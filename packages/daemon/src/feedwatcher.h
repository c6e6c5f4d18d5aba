#pragma once

#include "pagedlist.h"

#include <sardinehinge/core/membership/feedhistory.h>
#include <sardinehinge/core/watchroster.h>
#include <sardinehinge/daemon/worker.h>
#include <sardinehinge/edges/gatewayedges.h>

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <functional>
#include <iterator>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sardinehinge::daemon {

/// Periods of a watch on the platform's store.
struct FeedTiming
{
    core::Duration wait = std::chrono::milliseconds(1000); ///< One waiting call; its answer shows the others that the
                                                           ///< store is heard, see core::RosterTiming::watchWait.
    core::Duration catchUpWait = std::chrono::milliseconds(200); ///< The same of a call for news that others told of.
    core::Duration checkWait = std::chrono::milliseconds(1); ///< The same after a call that got no answer: the store
                                                             ///< answers at once, if it answers at all.
    core::Duration newsWait = std::chrono::milliseconds(250); ///< The store's answer is awaited this long for news that
                                                              ///< others have; then they are asked, too.
    core::Duration pause = std::chrono::milliseconds(100); ///< Of a watch after changes: those that follow closely cost
                                                           ///< one call. setSparing() gives that of other daemons.
    core::Duration retry = std::chrono::milliseconds(200); ///< First wait after a failure; doubles up to retryMax.
    core::Duration retryMax
        = std::chrono::milliseconds(300); ///< With the time to connect and the registry's grace, what
                                          ///< was missed is in force 3 s after an outage's end.
};

/// Of the configuration. In an outage the watch of the targets usually finds out first that the store is back and wakes
/// this one; but a daemon that follows may have no call for targets under way, so this one can't wait much longer.
inline FeedTiming configFeedTiming(core::Duration wait)
{
    FeedTiming timing;
    timing.wait = wait;
    timing.retryMax = std::chrono::milliseconds(600);
    return timing;
}
inline FeedTiming targetFeedTiming(core::Duration wait)
{
    FeedTiming timing;
    timing.wait = wait;
    return timing;
}

/// How a change reached this daemon, for the log.
struct FeedArrival
{
    enum class Way {
        List,
        Watch, ///< A call that waited at the store.
        Call, ///< A call to the store for news that another daemon has.
        Peer, ///< A read from another daemon.
        Datagram, ///< Another daemon sent the change itself.
    };

    Way way = Way::List;
    core::Time calledAt{}; ///< When the call or read that brought it was sent.
    std::optional<core::Time> newsAt; ///< When another daemon's notice first showed a change that was missing here.

    bool operator==(const FeedArrival &) const = default;
};

/// Keeps up with the objects of one kind: lists them, then either watches from there on or calls only for news that
/// another daemon told of; lists again when history was lost or a later era of the store is seen, and takes nothing of
/// an earlier one. Single-threaded, on the feed's io_context.
///
/// The store may close the connection of a waiting call at any time, which doesn't show that it is away. After such a
/// call, another one asks without waiting; only if that one fails too is the store reported as unreachable.
template<typename Value>
class FeedWatcher
{
public:
    using Answers = std::vector<core::FeedAnswer>;

    struct Handlers
    {
        std::function<void(const edges::FeedEntry<Value> &)> changed;
        /// The names of a whole list, after `changed` was called for each.
        std::function<void(const std::vector<std::string> &)> listed;
        /// Whether the last call was answered, with what is known of a failure.
        std::function<void(bool isReachable, const std::string &detail)> reached;
        /// A watch brought this page; `base` is the revision of the change before its entries. May be empty.
        std::function<void(const edges::FeedPage<Value> &page, std::uint64_t base)> watched;
        /// An answer, or another daemon, told of a later era. Called before its entries are handed on.
        std::function<void(core::StoreEra)> eraSeen;
        /// Reads the changes since a revision from the daemon that has news of them, and passes its answers on, or none
        /// if it doesn't have all. May be empty: then the store is called.
        std::function<void(std::uint64_t revision, core::StoreEra era, std::function<void(Answers)>)> readPeer = {};
        /// A waiting call ended after `waited` without an answer, before its time was over. May be empty.
        std::function<void(core::Duration waited, const std::string &detail)> cut = {};
    };

    FeedWatcher(boost::asio::io_context &context, edges::Feed<Value> &feed, Handlers handlers, FeedTiming timing = {})
        : m_feed(feed)
        , m_handlers(std::move(handlers))
        , m_timing(timing)
        , m_timer(context)
    {
    }

    void start() { list(); }
    /// Whether to keep a call waiting at the store all the time. Who begins to may have had no notices for most of the
    /// time that a change has, so the first call waits for no pause.
    void setWatching(bool isWatching)
    {
        const bool begins = isWatching && !m_isWatching;
        m_isWatching = isWatching;
        if (begins && (m_isIdle || m_isPausing)) {
            m_timer.cancel();
            ++m_round;
            watch();
        }
    }
    /// Calls at most once in `pause` for changes, whoever told of them; 0: as often as FeedTiming says. For daemons
    /// that nobody else depends on.
    void setSparing(core::Duration pause) noexcept { m_sparing = pause; }
    /// The store has reached `era`: what is known of an earlier one is listed again.
    void eraSeen(core::StoreEra era)
    {
        if (era <= m_era)
            return;
        m_era = era;
        m_isHistoryLost = false;
        if (m_handlers.eraSeen)
            m_handlers.eraSeen(era);
        if (m_isListed)
            listAgain();
    }
    /// Another daemon had come so far at `answeredAt`, when the store answered it.
    void noticed(const core::FeedPosition &position, core::Time answeredAt)
    {
        eraSeen(position.era);
        if (!m_isListed || position.era < m_era)
            return;
        if (position.relisted() > m_listedAt)
            return listAgain();
        if (!position.hasNewsFor(m_position)) {
            m_position.completeTo = std::max(m_position.completeTo, position.completeTo);
            m_completeAt = std::max(m_completeAt, answeredAt);
        } else {
            takeNews(position.changed());
        }
    }
    /// Another daemon's watch brought `entries`, and no others between the revisions `base` and `revision` of `era`.
    void takeFrom(const std::vector<edges::FeedEntry<Value>> &entries, std::uint64_t base, std::uint64_t revision,
                  core::StoreEra era)
    {
        eraSeen(era);
        if (!m_isListed || era < m_era || m_position.completeTo < base || m_position.completeTo >= revision)
            return;
        m_arrival = {FeedArrival::Way::Datagram, bootTime(), missingSince()};
        for (const auto &entry : entries)
            m_handlers.changed(entry);
        m_position.changedAt = m_position.completeTo = revision;
    }
    const core::FeedPosition &position() const noexcept { return m_position; }
    /// When the known entries were last complete, by bootTime(). While `changed` and `listed` are called, the changes
    /// that they bring are later than this.
    core::Time completeAt() const noexcept { return m_completeAt; }

    /// Of the entries that `changed` is called with.
    const FeedArrival &arrival() const noexcept { return m_arrival; }

    /// Lists all entries again, although none is known to be missing.
    void listAnew()
    {
        if (m_isListed)
            listAgain();
    }
    /// Calls again at once, unless no call is due: the store is known to answer after an outage, in which a waiting
    /// call may have been lost.
    void retryNow()
    {
        if (m_isIdle)
            return;
        m_timer.cancel();
        ++m_round;
        m_isListed ? watch() : list();
    }

private:
    using Page = edges::FeedPage<Value>;
    using Progress = typename PagedList<Value>::Progress;

    void list()
    {
        m_list.begin();
        m_listCalledAt = bootTime();
        listOn();
    }

    /// When it was first known that changes are missing here; nothing if none are.
    std::optional<core::Time> missingSince() const
    {
        return m_newsAt > m_position.complete() ? std::optional(m_newsFirstAt) : std::nullopt;
    }

    /// Drops answers that are under way.
    void listAgain()
    {
        m_timer.cancel();
        ++m_round;
        m_isListed = false;
        m_isIdle = m_isPausing = false;
        list();
    }

    /// Whether an answer is of an earlier era than the latest known one, such as one that was under way for long.
    bool isOutdated(const Page &page) const noexcept
    {
        const bool isAnswer
            = page.outcome == edges::StoreOutcome::Ok || page.outcome == edges::StoreOutcome::HistoryGone;
        return isAnswer && page.era < m_era;
    }

    void failOutdated(const Page &page)
    {
        Page failed;
        failed.detail = "answer of era " + std::to_string(page.era) + " after era " + std::to_string(m_era);
        fail(failed);
    }

    /// Reads the list's next page.
    void listOn()
    {
        m_feed.list(m_list.after(), [this, round = m_round](const Page &page) {
            if (round != m_round)
                return;
            eraSeen(page.era);
            if (isOutdated(page))
                return failOutdated(page);
            if (page.outcome != edges::StoreOutcome::Ok)
                return fail(page);
            succeed();
            const auto progress = m_list.take(page, bootTime());
            if (progress == Progress::OtherEra)
                return listAgain();
            if (!takeUsed(page))
                return;
            if (progress == Progress::Broken)
                return failBroken();
            progress == Progress::Continues ? listOn() : listed();
        });
    }

    /// Hands on the entries of a list's page that can be used. The others wait for the end of the list: until then it
    /// isn't known whether another entry has their name.
    bool takeUsed(const Page &page)
    {
        m_arrival = {FeedArrival::Way::List, m_listCalledAt, missingSince()};
        Page used;
        std::copy_if(page.entries.begin(), page.entries.end(), std::back_inserter(used.entries),
                     [](const auto &entry) { return entry.value.has_value(); });
        return take(used);
    }

    /// Goes on from the list's first page: what changed while the others were read is not known yet.
    void listed()
    {
        Page unusable;
        unusable.entries = m_list.unusable();
        if (!take(unusable))
            return;
        const std::uint64_t revision = m_list.revision();
        const std::uint64_t before = m_position.era == m_list.era() ? m_position.relistedAt : 0;
        m_position = {revision, revision, m_isHistoryLost ? revision : before, m_list.era()};
        m_isHistoryLost = false;
        m_listedAt = m_position.complete();
        m_isListed = true;
        m_handlers.listed(m_list.names());
        m_completeAt = m_list.completeAt();
        m_changedAt = std::chrono::steady_clock::now();
        const bool hasGap = m_list.latest() > revision;
        m_list.begin();
        hasGap ? watch() : next();
    }

    /// Others know of a change that this daemon doesn't.
    void takeNews(const core::StorePoint &news)
    {
        const core::Time now = bootTime();
        if (m_newsAt <= m_position.complete())
            m_newsSince = m_newsFirstAt = now;
        m_newsAt = std::max(m_newsAt, news);
        if (m_isIdle)
            m_handlers.readPeer ? readPeer() : next();
        else if (m_handlers.readPeer && !m_isReadingPeer && now - m_newsSince >= m_timing.newsWait)
            readPeerMeanwhile();
    }

    void failBroken()
    {
        Page failed;
        failed.detail = "a page of a list says that more follows, but names nothing new";
        fail(failed);
    }

    /// Goes on after an answer: calls again, at once or after the pause that follows changes, or waits to be told of
    /// some.
    void next()
    {
        m_isIdle = !m_isWatching && m_newsAt <= m_position.complete();
        if (m_isIdle)
            return;
        const auto pause = std::max(m_timing.pause, m_sparing);
        const auto left = pause - (std::chrono::steady_clock::now() - m_changedAt);
        if (left <= core::Duration(0))
            return watch();
        m_isPausing = true;
        after(left, [this, round = m_round] {
            if (round == m_round)
                watch();
        });
    }

    /// Reads the news from another daemon, and from the store what that one doesn't have.
    void readPeer()
    {
        m_isIdle = false;
        m_isReadingPeer = true;
        const std::uint64_t before = m_position.completeTo;
        const auto takeAnswers = [this, before, round = m_round, calledAt = bootTime()](const Answers &answers) {
            peerRead();
            if (round != m_round || !takeRelayed(answers, calledAt))
                return;
            const bool isBehind = m_newsAt > m_position.complete();
            isBehind &&m_position.completeTo > before ? readPeer() : next();
        };
        m_handlers.readPeer(before, m_era, takeAnswers);
    }

    /// The same while this daemon's own call is under way, or is tried again: the store may not answer it.
    void readPeerMeanwhile()
    {
        m_isReadingPeer = true;
        const auto takeAnswers = [this, round = m_round, calledAt = bootTime()](const Answers &answers) {
            peerRead();
            if (round == m_round && !takeRelayed(answers, calledAt))
                ++m_round; // A failure calls the store again, in place of the call under way.
        };
        m_handlers.readPeer(m_position.completeTo, m_era, takeAnswers);
    }

    /// What the other daemon doesn't have is awaited from the store first.
    void peerRead()
    {
        m_isReadingPeer = false;
        m_newsSince = bootTime();
    }

    /// Takes what another daemon's watch brought, as far as it follows what is known. Returns false after a failure.
    bool takeRelayed(const Answers &answers, core::Time calledAt)
    {
        m_arrival = {FeedArrival::Way::Peer, calledAt, missingSince()};
        for (const core::FeedAnswer &answer : answers) {
            const Page page = m_feed.read(answer.source);
            const bool follows = m_position.completeTo >= answer.base && m_position.completeTo < answer.revision;
            if (page.outcome != edges::StoreOutcome::Ok || !follows)
                continue;
            if (!take(page))
                return false;
            m_position.changedAt = m_position.completeTo = answer.revision;
        }
        return true;
    }

    void watch()
    {
        m_isIdle = m_isPausing = false;
        const auto wait = !m_isAnswering ? m_timing.checkWait : m_isWatching ? m_timing.wait : m_timing.catchUpWait;
        // Later changes may come from another daemon before the answer does.
        const std::uint64_t base = m_position.changedAt;
        const auto answered = [this, base, wait, calledAt = bootTime(), round = m_round](const Page &page) {
            if (round != m_round)
                return;
            const core::Duration waited = bootTime() - calledAt;
            const bool isCut = m_isAnswering && page.outcome == edges::StoreOutcome::Lost && waited < wait;
            m_arrival = {m_isWatching ? FeedArrival::Way::Watch : FeedArrival::Way::Call, calledAt, missingSince()};
            isCut ? checkAfterCut(waited, page.detail) : takeWatched(page, base);
        };
        m_feed.watch(m_position.completeTo, wait, answered);
    }

    /// Takes the answer to a watch that was called when the latest known change was that of `base`.
    void takeWatched(const Page &page, std::uint64_t base)
    {
        // A watch of an older revision may be answered although the store has lost changes: the list replaces it.
        const std::uint64_t round = m_round;
        eraSeen(page.era);
        if (round != m_round)
            return;
        if (isOutdated(page))
            return failOutdated(page);
        if (page.outcome == edges::StoreOutcome::HistoryGone) {
            m_isHistoryLost = true;
            return listAgain();
        }
        if (page.outcome != edges::StoreOutcome::Ok)
            return fail(page);
        succeed();
        // Another daemon may have told of later changes meanwhile, which this answer must not undo.
        const bool isNews = page.revision >= m_position.completeTo && !page.entries.empty();
        m_position.completeTo = std::max(m_position.completeTo, page.revision);
        if (isNews) {
            if (!take(page))
                return;
            m_position.changedAt = m_position.completeTo;
            m_changedAt = std::chrono::steady_clock::now();
            if (m_handlers.watched)
                m_handlers.watched(page, base);
        }
        m_completeAt = bootTime();
        next();
    }

    /// Hands the entries on. An exception counts as a failed call, so that the watch goes on.
    bool take(const Page &page)
    {
        try {
            for (const auto &entry : page.entries)
                m_handlers.changed(entry);
        } catch (const std::exception &error) {
            Page failed;
            failed.detail = error.what();
            fail(failed);
            return false;
        }
        return true;
    }

    void succeed()
    {
        m_retry = core::Duration(0);
        m_isAnswering = true;
        m_handlers.reached(true, {});
    }

    /// Asks the store whether it answers. The pause bounds the calls if each one that waits is cut off.
    void checkAfterCut(core::Duration waited, const std::string &detail)
    {
        m_isAnswering = false;
        if (m_handlers.cut)
            m_handlers.cut(waited, detail);
        after(m_timing.retry, [this] { watch(); });
    }

    void fail(const Page &page)
    {
        m_isAnswering = false;
        m_handlers.reached(false, page.detail);
        m_retry = m_retry == core::Duration(0) ? m_timing.retry : std::min(m_retry * 2, m_timing.retryMax);
        after(m_retry, [this] { m_isListed ? watch() : list(); });
    }

    void after(core::Duration wait, std::function<void()> action)
    {
        m_timer.expires_after(wait);
        m_timer.async_wait([action = std::move(action)](const boost::system::error_code &error) {
            if (!error)
                action();
        });
    }

    edges::Feed<Value> &m_feed;
    Handlers m_handlers;
    FeedTiming m_timing;
    boost::asio::steady_timer m_timer;
    PagedList<Value> m_list; ///< The list under way.
    core::FeedPosition m_position;
    core::StoreEra m_era = 0; ///< The latest known, and that of m_position once entries are listed.
    core::StorePoint m_listedAt; ///< Of the latest whole list.
    core::Time m_completeAt{};
    bool m_isHistoryLost = false; ///< The list under way replaces history that the store has dropped.
    core::StorePoint m_newsAt; ///< Others know of a change there.
    core::Time m_newsSince{}; ///< Since when the store's answer is awaited for them.
    core::Time m_newsFirstAt{}; ///< When it was first known that there are any.
    core::Time m_listCalledAt{}; ///< Of the list under way.
    FeedArrival m_arrival;
    bool m_isReadingPeer = false; ///< A call to another daemon is under way.
    core::Duration m_sparing = core::Duration(0);
    std::chrono::steady_clock::time_point m_changedAt{}; ///< When changes last came.
    bool m_isWatching = true;
    bool m_isIdle = false; ///< No call is under way, and none is due.
    bool m_isPausing = false; ///< The next call waits for the pause after changes.
    bool m_isListed = false;
    bool m_isAnswering = true; ///< The store has answered the last call.
    std::uint64_t m_round = 0; ///< Answers to calls of an earlier round are dropped.
    core::Duration m_retry = core::Duration(0);
};

} // namespace sardinehinge::daemon
