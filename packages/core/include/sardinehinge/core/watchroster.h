#pragma once

#include <sardinehinge/core/types.h>

#include <map>
#include <optional>
#include <string>

namespace sardinehinge::core {

/// How far a daemon's knowledge of one kind of objects in the platform's store reaches.
struct FeedPosition
{
    std::uint64_t changedAt = 0; ///< Store revision up to which the latest known change is included.
    std::uint64_t completeTo = 0; ///< There was no later change up to this store revision.
    std::uint64_t relistedAt = 0; ///< The store had dropped history: all was listed anew then. Watches may have missed
                                  ///< changes before it, so whoever relied on them lists as well. 0: never.

    bool operator==(const FeedPosition &) const = default;
};

/// What a watching daemon tells the others: they read the store when it shows a change that they don't have.
struct WatchNotice
{
    std::string from;
    FeedPosition configs;
    FeedPosition targets;
    Duration age = 0ms; ///< Time since the store last answered its watches; of the older of both.

    bool operator==(const WatchNotice &) const = default;
};

/// Periods of the roster. From a change in the store until every daemon asks for it: `freshFor` at most, if all
/// watching daemons were cut off from the store in the instant before. The users' shortest bound for that is 2 s.
struct RosterTiming
{
    std::size_t watchers = 2; ///< One may be lost without anybody else noticing.
    Duration freshFor = std::chrono::milliseconds(1600); ///< A watch of 1 s, its answer and two lost notices.
    Duration noticeEvery = std::chrono::milliseconds(300); ///< Without changes; with them at once.
    Duration claimDelay = std::chrono::milliseconds(200); ///< Before a missing watcher is replaced,
    Duration claimSpread = std::chrono::milliseconds(1000); ///< and up to this much later, so that few do it at once.
    Duration stepDownAfter = std::chrono::seconds(2); ///< A surplus watcher may be the one that stays after a loss.

    bool operator==(const RosterTiming &) const = default;
};

/// Decides which daemons keep watches open at the platform's store. Pure; one for each daemon.
///
/// A watch costs a call a second, and a change one for every watch, so the store's load would grow with the fleet. A
/// few daemons watch and tell all others by datagrams how far the store has come; those call it only for news. A daemon
/// that no watcher with a recent answer covers watches by itself, at once: it depends on others for the cost, never for
/// the bound.
class WatchRoster
{
public:
    enum class Mode {
        Alone, ///< Watches, for itself.
        Watching, ///< Watches, and tells the others.
        Following, ///< Calls the store when told of news.
    };

    WatchRoster(std::string self, Time now, RosterTiming timing = {});

    /// The store answered this daemon's watch or list of configurations, or of targets.
    void configsAnswered(Time now) noexcept { m_configsAt = now; }
    void targetsAnswered(Time now) noexcept { m_targetsAt = now; }
    void heard(const WatchNotice &notice, Time now);
    /// Takes in the passing of time. Call it several times a second.
    Mode tick(Time now);
    Mode mode() const noexcept { return m_mode; }
    /// The notice to all others that is due, if any; `configs` and `targets` as this daemon knows them.
    std::optional<WatchNotice> takeNotice(const FeedPosition &configs, const FeedPosition &targets, Time now);

private:
    Time answeredAt() const noexcept { return std::min(m_configsAt, m_targetsAt); }
    bool isFresh(Time confirmedAt, Time now) const noexcept { return now - confirmedAt <= m_timing.freshFor; }
    bool isClaimDue(Time now) const noexcept;
    void dropStale(Time now);

    std::string m_self;
    RosterTiming m_timing;
    std::uint64_t m_rank = 0; ///< Daemons of lower rank go on watching when there are too many.
    Mode m_mode = Mode::Alone;
    Time m_configsAt = Time::min() / 2;
    Time m_targetsAt = Time::min() / 2;
    std::map<std::string, Time> m_watchers; ///< When the store is known to have answered each of the others.
    std::optional<Time> m_scarceSince; ///< There are too few watchers.
    std::optional<Time> m_surplusSince; ///< There are enough of lower rank.
    Time m_nextNotice = 0ms;
    FeedPosition m_toldConfigs;
    FeedPosition m_toldTargets;
};

} // namespace sardinehinge::core
