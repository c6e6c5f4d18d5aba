#include <sardinehinge/core/watchroster.h>

#include <algorithm>
#include <utility>

namespace sardinehinge::core {

namespace {

/// From this bandwidth on, changes of a grown configuration reach a hundred daemons within a second.
constexpr std::uint32_t fastLinkMbps = 100;

/// FNV-1a hash with its halves swapped.
std::uint64_t rankOf(const std::string &daemon) noexcept
{
    std::uint64_t hash = 0xcbf29ce484222325;
    for (const char c : daemon) {
        hash ^= static_cast<unsigned char>(c);
        hash *= 0x100000001b3;
    }
    // The low bits differ most between short, similar names.
    return (hash << 32) | (hash >> 32);
}

} // namespace

RosterTiming RosterTiming::forBound(Duration changeBound) noexcept
{
    constexpr Duration callTime = std::chrono::milliseconds(400); ///< For the call that fetches the change.
    constexpr Duration answerTime = std::chrono::milliseconds(600); ///< For a watch's answer and two lost notices.
    /// For two lost notices, a read from another daemon without an answer, and the call with the largest
    /// configurations.
    constexpr Duration otherTime = std::chrono::milliseconds(1400);
    RosterTiming timing;
    timing.confirmationLifetime = std::max<Duration>(changeBound, 1s) - callTime;
    timing.watchWait = std::max<Duration>(timing.confirmationLifetime - answerTime, 50ms);
    timing.longestPause = std::clamp<Duration>(changeBound - otherTime, 100ms, 800ms);
    return timing;
}

WatchRoster::WatchRoster(std::string self, Time now, RosterTiming timing, std::uint32_t linkMbps)
    : m_self(std::move(self))
    , m_timing(timing)
    , m_rank(rankOf(m_self))
    , m_link(linkMbps == 0                 ? Link::Unknown
                 : linkMbps < fastLinkMbps ? Link::Narrow
                                           : Link::Fast)
    , m_startedAt(now)
    , m_nextNotice(now)
{
}

void WatchRoster::eraSeen(StoreEra era)
{
    if (era <= m_era)
        return;
    m_era = era;
    m_watchers.clear();
}

void WatchRoster::noticeReceived(const WatchNotice &notice, Time now)
{
    if (notice.from == m_self || notice.age < Duration(0) || std::min(notice.configs.era, notice.targets.era) < m_era)
        return;
    m_hasNotice = true;
    const auto [found, isNew] = m_watchers.try_emplace(notice.from, now - notice.age);
    if (!isNew)
        found->second = std::max(found->second, now - notice.age);
}

void WatchRoster::dropStale(Time now)
{
    std::erase_if(m_watchers, [this, now](const auto &watcher) { return !isFresh(watcher.second, now); });
}

/// Whether a missing watcher should be replaced by this daemon; the delay depends on its rank.
bool WatchRoster::isReplacementDue(Time now) const noexcept
{
    constexpr std::uint64_t parts = 1000;
    // Daemons with a fast link come first.
    const std::uint64_t own = (m_rank >> 32) % parts;
    const std::uint64_t part = m_link == Link::Unknown ? own : (own / 2) + (m_link == Link::Narrow ? parts / 2 : 0);
    const auto turn = m_timing.replacementSpread * static_cast<Duration::rep>(part) / static_cast<Duration::rep>(parts);
    return m_shortageSince && now - *m_shortageSince >= m_timing.replacementDelay + turn;
}

WatchRoster::Mode WatchRoster::tick(Time now)
{
    dropStale(now);
    const bool isSelfFresh = isFresh(answeredAt(), now);
    const std::size_t others = m_watchers.size();
    const auto lower = static_cast<std::size_t>(std::count_if(
        m_watchers.begin(), m_watchers.end(), [this](const auto &watcher) { return rankOf(watcher.first) < m_rank; }));
    if (others >= m_timing.watcherCount)
        m_shortageSince.reset();
    else if (!m_shortageSince)
        m_shortageSince = now;
    if (m_mode != Mode::Watching || lower < m_timing.watcherCount)
        m_surplusSince.reset();
    else if (!m_surplusSince)
        m_surplusSince = now;

    switch (m_mode) {
    case Mode::Watching:
        if (!isSelfFresh)
            m_mode = Mode::Standalone;
        else if (m_surplusSince && now - *m_surplusSince >= m_timing.stepDownDelay)
            m_mode = Mode::Following;
        break;
    case Mode::Standalone:
    case Mode::Following:
        if (isReplacementDue(now) && isSelfFresh)
            m_mode = Mode::Watching;
        else if (isReplacementDue(now) || (others == 0 && !isAwaitingFirstNotice(now)))
            m_mode = Mode::Standalone; // Check that the store answers before notifying others.
        else
            m_mode = Mode::Following;
        break;
    }
    return m_mode;
}

std::optional<WatchNotice> WatchRoster::takeNotice(const FeedPosition &configs, const FeedPosition &targets, Time now,
                                                   const FeedPosition &evacuations)
{
    if (m_mode != Mode::Watching || !isFresh(answeredAt(), now) || std::min(configs.era, targets.era) < m_era)
        return std::nullopt;
    const bool isNews = configs.changed() != m_announcedConfigs.changed()
        || targets.changed() != m_announcedTargets.changed()
        || evacuations.changed() != m_announcedEvacuations.changed();
    if (!isNews && now < m_nextNotice)
        return std::nullopt;
    m_nextNotice = now + m_timing.noticeInterval;
    m_announcedConfigs = configs;
    m_announcedTargets = targets;
    m_announcedEvacuations = evacuations;
    return WatchNotice{m_self, configs, targets, now - answeredAt(), evacuations};
}

} // namespace sardinehinge::core
