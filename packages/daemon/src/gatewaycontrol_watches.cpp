#include "gatewaycontrol.h"
#include "milliseconds.h"
#include "watchmodename.h"

#include <sardinehinge/core/eventnumbers.h>
#include <sardinehinge/core/membership/changetiming.h>
#include <sardinehinge/core/text.h>

#include <algorithm>

/// The part of GatewayControl that shares the watches on the platform's store with the other daemons.
namespace sardinehinge::daemon {

namespace {

/// Changes of targets that are told to the others; more at once would hold up a narrow link, so they read them.
constexpr std::size_t mostPassedOn = 12;

} // namespace

/// A watching daemon takes in changes quickly, since all others learn of them from it.
void GatewayControl::setPauses()
{
    const bool isSparing = m_roster.mode() != core::WatchRoster::Mode::Watching;
    const auto pause = isSparing ? core::pauseBetweenCalls(m_roster.timing(), m_peers.size() + 1) : core::Duration(0);
    m_configs.setSparing(pause);
    m_targetFeed.setSparing(pause);
    if (m_evacuationFeed)
        m_evacuationFeed->setSparing(pause);
}

/// Takes this daemon's part in watching the store for all.
void GatewayControl::shareWatches()
{
    const core::Time now = bootTime();
    const auto before = m_roster.mode();
    const auto mode = m_roster.tick(now);
    if (mode != before) {
        m_events.record(Severity::Info, core::events::watchModeChanged,
                        std::string("mode=") + nameOf(mode) + " before=" + nameOf(before)
                            + " configs=" + std::to_string(m_configs.position().completeTo)
                            + " targets=" + std::to_string(m_targetFeed.position().completeTo));
        const bool isWatching = mode != core::WatchRoster::Mode::Following;
        m_configs.setWatching(isWatching);
        m_targetFeed.setWatching(isWatching);
        if (m_evacuationFeed)
            m_evacuationFeed->setWatching(isWatching);
    }
    if (mode != before)
        setPauses();
    if (auto notice = m_roster.takeNotice(m_configs.position(), m_targetFeed.position(), now, evacuationPosition())) {
        addEvacuations(*notice);
        sendToAll(*notice);
    }
}

/// The store may end a waiting call at any time, so this is no outage: entries can't have lapsed.
void GatewayControl::watchCut(const char *kind, core::Duration waited, const std::string &detail)
{
    m_metrics.storeWatches.Increment();
    m_events.record(Severity::Info, core::events::watchCut,
                    std::string("kind=") + kind + " waited_ms=" + std::to_string(milliseconds(waited))
                        + " detail=" + core::logValue(detail));
}

/// Keeps an answer of this daemon's watch for the daemons that don't watch.
void GatewayControl::keepForPeers(FeedRelay::Kind kind, const core::FeedPosition &position, std::uint64_t base,
                                  const std::string &source)
{
    if (m_roster.mode() == core::WatchRoster::Mode::Watching)
        m_relay.add(kind, {base, position.changedAt, source}, position.era);
}

/// Reads changes from the daemon that sent the latest notice of them.
void GatewayControl::readNews(FeedRelay::Kind kind, std::uint64_t revision, core::StoreEra era,
                              const std::function<void(FeedRelay::Answers)> &done)
{
    const auto peer = m_peers.find(m_newsFrom);
    if (peer == m_peers.end())
        return done({});
    const auto read
        = [this, done, kind, from = m_newsFrom, begin = bootTime()](const FeedRelay::Answers &answers, int status) {
              (answers.empty() ? m_metrics.feedReadsFailed : m_metrics.feedReads).Increment();
              if (answers.empty())
                  reportFeedReadFailed(kind == FeedRelay::Kind::Configs ? "configs" : "targets", from, status,
                                       bootTime() - begin);
              done(answers);
          };
    m_relay.read(peer->second.daemon.address, kind, revision, era, read);
}

/// Tells the others of a few changed targets themselves, which saves each of them a call.
void GatewayControl::passOn(const std::vector<edges::FeedEntry<core::RegisteredTarget>> &entries, std::uint64_t base)
{
    if (m_roster.mode() != core::WatchRoster::Mode::Watching || entries.size() > mostPassedOn)
        return;
    protocol::TargetChanges changes{base, m_targetFeed.position().completeTo, {}, m_targetFeed.position().era};
    for (const auto &entry : entries)
        changes.changes.push_back({entry.name, entry.value});
    sendToAll(changes);
}

} // namespace sardinehinge::daemon
