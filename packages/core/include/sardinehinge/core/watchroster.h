#pragma once

#include <sardinehinge/core/feedposition.h>
#include <sardinehinge/core/types.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sardinehinge::core {

/// Sent by a watching daemon to all others. A receiver reads the store if the notice shows a change that it lacks.
struct WatchNotice
{
    std::string from;
    FeedPosition configs;
    FeedPosition targets;
    Duration age = 0ms; ///< Time since the store answered the sender's watches; the older of the two.
    FeedPosition evacuations = {}; ///< Of era 0 if the sender doesn't read evacuations.
    /// All evacuated failure domains as of `evacuations`; std::nullopt if they are too many for a notice.
    std::optional<std::vector<std::string>> evacuatedDomains = std::nullopt;

    bool operator==(const WatchNotice &) const = default;
};

/// Durations of the watch roster. If all watching daemons lose the store just before a change, every other daemon asks
/// for the change within `confirmationLifetime`. The defaults suit a bound of 2 s from a change to its effect.
struct RosterTiming
{
    /// The timing for another bound, of at least 1 s: the longer the bound, the fewer calls the watches cost.
    static RosterTiming forBound(Duration changeBound) noexcept;

    std::size_t watcherCount = 2; ///< Daemons that watch; one may fail without affecting the others.
    Duration watchWait = std::chrono::milliseconds(1000); ///< Of one call that waits for changes.
    Duration confirmationLifetime
        = std::chrono::milliseconds(1600); ///< Covers a watch, its answer and two lost notices.
    Duration noticeInterval
        = std::chrono::milliseconds(300); ///< Between notices without a change; a change is sent immediately.
    Duration replacementDelay = std::chrono::milliseconds(200); ///< Minimum delay before a missing watcher is replaced.
    Duration replacementSpread = std::chrono::milliseconds(1000); ///< Added by rank, so that few daemons do it at once.
    /// A daemon that has just started, and so has just listed everything, waits this long for a first notice before it
    /// watches on its own: a fleet that starts at once would otherwise call the store once a daemon.
    Duration firstNoticeDelay = std::chrono::milliseconds(1300); ///< Above the longest delay of a replacement.
    Duration stepDownDelay = std::chrono::seconds(2); ///< A surplus watcher may still be needed after a loss.

    /// Between two calls for changes of a daemon that doesn't watch for others.
    Duration longestPause = std::chrono::milliseconds(600);

    bool operator==(const RosterTiming &) const = default;
};

/// Decides whether a daemon watches the platform's store. Does no I/O; each daemon has one instance.
///
/// Each watch costs one call per second plus one per change, so watches from every daemon would make the store's load
/// grow with the fleet. Instead, a few daemons watch and send the store's position to the others by datagram; those
/// call the store only for changes. A daemon without a recent notice watches on its own immediately, so lost watchers
/// add load but never delay a change beyond the bound.
class WatchRoster
{
public:
    enum class Mode {
        Standalone, ///< Watches the store and sends no notices.
        Watching, ///< Watches the store and notifies the other daemons.
        Following, ///< Calls the store when a notice shows a change.
    };

    /// `linkMbps`: bandwidth of this daemon's link; 0: not known. Others read changes from a watching daemon, so those
    /// with a fast link offer themselves first.
    WatchRoster(std::string self, Time now, RosterTiming timing = {}, std::uint32_t linkMbps = 0);

    /// Records that the store answered this daemon's watch or list of configurations or targets.
    void configsAnswered(Time now) noexcept { m_configsAnsweredAt = now; }
    void targetsAnswered(Time now) noexcept { m_targetsAnsweredAt = now; }
    /// A daemon that still believes in an earlier era isn't followed.
    void eraSeen(StoreEra era);
    /// A notice of an earlier era than eraSeen() told doesn't count.
    void noticeReceived(const WatchNotice &notice, Time now);
    /// Updates and returns the mode. Call several times a second.
    Mode tick(Time now);
    Mode mode() const noexcept { return m_mode; }
    const RosterTiming &timing() const noexcept { return m_timing; }
    /// Returns the notice to send to all other daemons, if one is due. `configs`, `targets` and
    /// `evacuations`: this daemon's positions. The evacuated failure domains are left out.
    std::optional<WatchNotice> takeNotice(const FeedPosition &configs, const FeedPosition &targets, Time now,
                                          const FeedPosition &evacuations = {});

private:
    enum class Link { Unknown, Narrow, Fast };

    Time answeredAt() const noexcept { return std::min(m_configsAnsweredAt, m_targetsAnsweredAt); }
    bool isFresh(Time confirmedAt, Time now) const noexcept
    {
        return now - confirmedAt <= m_timing.confirmationLifetime;
    }
    bool isReplacementDue(Time now) const noexcept;
    /// Whether no notice has come yet, but may still come.
    bool isAwaitingFirstNotice(Time now) const noexcept
    {
        return !m_hasNotice && now - m_startedAt < m_timing.firstNoticeDelay;
    }
    void dropStale(Time now);

    std::string m_self;
    RosterTiming m_timing;
    StoreEra m_era = 0; ///< The latest known.
    std::uint64_t m_rank = 0; ///< Surplus watchers with the highest rank step down.
    Link m_link = Link::Unknown;
    Time m_startedAt = 0ms;
    bool m_hasNotice = false; ///< Another daemon has sent one.
    Mode m_mode = Mode::Following;
    Time m_configsAnsweredAt = Time::min() / 2;
    Time m_targetsAnsweredAt = Time::min() / 2;
    std::map<std::string, Time> m_watchers; ///< Time of the store's latest known answer to each other watcher.
    std::optional<Time> m_shortageSince; ///< Start of the current shortage of watchers.
    std::optional<Time> m_surplusSince; ///< Since when enough watchers have a lower rank.
    Time m_nextNotice = 0ms;
    FeedPosition m_announcedConfigs;
    FeedPosition m_announcedTargets;
    FeedPosition m_announcedEvacuations;
};

} // namespace sardinehinge::core
