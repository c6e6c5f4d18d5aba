#include "gatewaycontrol.h"
#include "milliseconds.h"

#include <sardinehinge/core/eventnumbers.h>
#include <sardinehinge/core/text.h>

#include <algorithm>

/// The part of GatewayControl that takes in operators' evacuations of failure domains.
namespace sardinehinge::daemon {

namespace {

/// Named in a notice, which must fit in a datagram; with more, the others call the store.
constexpr std::size_t mostNoticedDomains = 16;

} // namespace

/// Reads evacuations if the settings say that this deployment has some. Its calls say nothing of the store's
/// reachability: those of the other feeds are more frequent.
void GatewayControl::startEvacuationFeed()
{
    if (!m_settings.evacuationBound)
        return;
    FeedTiming timing;
    // A waiting call is answered as soon as there is a change, and the other feeds notice first that the store is lost.
    // So its wait can be longer than theirs.
    timing.wait = std::max(m_roster.timing().watchWait, *m_settings.evacuationBound / 2);
    m_evacuationFeed.emplace(
        m_worker.context(), m_platform->evacuations(),
        FeedWatcher<core::Evacuation>::Handlers{
            [this](const edges::FeedEntry<core::Evacuation> &entry) {
                entry.value ? m_evacuations.put(entry.name) : m_evacuations.remove(entry.name);
                evacuationsChanged();
            },
            [this](const std::vector<std::string> &names) {
                m_evacuations.keepOnly(names, bootTime());
                m_hasEvacuations = true;
                evacuationsChanged();
            },
            [this](bool, const std::string &) { m_metrics.storeWatches.Increment(); },
            {},
            [this](core::StoreEra era) { eraSeen(era); },
            {},
            [this](core::Duration waited, const std::string &detail) { watchCut("evacuations", waited, detail); }},
        timing);
    m_evacuationFeed->setWatching(false); // Until the roster decides otherwise.
    m_evacuationFeed->start();
}

/// Publishes the targets, once for all entries of a response.
void GatewayControl::evacuationsChanged()
{
    boost::asio::post(m_worker.context(), [this] {
        if (hasLists())
            publishTargets();
    });
}

/// The store answers again after an outage.
void GatewayControl::retryEvacuations()
{
    if (m_evacuationFeed)
        m_evacuationFeed->retryNow();
}

core::FeedPosition GatewayControl::evacuationPosition() const
{
    return m_evacuationFeed ? m_evacuationFeed->position() : core::FeedPosition();
}

/// All known targets, with those of evacuated failure domains as draining, and how cold they are.
std::vector<core::RegisteredTarget> GatewayControl::knownTargets(core::Time now) const
{
    return m_coldTargets.mark(m_evacuations.markDraining(m_registry.targets(now)), now);
}

/// Ends evacuations whose time is over, and returns whether any has begun or ended since the last call.
bool GatewayControl::takeEvacuationChanges(core::Time now)
{
    m_evacuations.expire(now);
    const auto changes = m_evacuations.takeChanges();
    if (changes.empty())
        return false;
    m_evacuatedDomains.store(m_evacuations.size());
    if (m_evacuations.size() == 0) {
        for (auto &[name, service] : m_services)
            service.evacuatingKeys.clear();
    }
    const auto targets = m_registry.targets(now);
    for (const auto &[domain, hasBegun] : changes) {
        const auto count
            = std::count_if(targets.begin(), targets.end(), [&domain = domain](const core::RegisteredTarget &target) {
                  return target.failureDomain == domain;
              });
        std::string detail = "domain=" + core::logValue(domain) + " targets=" + std::to_string(count);
        if (m_evacuationFeed)
            detail += " position=" + std::to_string(m_evacuationFeed->position().completeTo)
                + " complete_ago_ms=" + std::to_string(milliseconds(now - m_evacuationFeed->completeAt()));
        m_events.record(Severity::Info, hasBegun ? core::events::evacuationBegan : core::events::evacuationEnded,
                        detail);
        if (!hasBegun) {
            m_coldTargets.evacuationEnded(domain, now);
            continue;
        }
        for (auto &[name, service] : m_services) {
            service.evacuatingSince = now;
            service.evacuatingKeys = {{0, core::lastKey}};
            reportEvacuated(name);
        }
    }
    return true;
}

/// Reports that the keys of a service have left the evacuated failure domains.
void GatewayControl::reportEvacuated(const std::string &name)
{
    Service &service = serviceOf(name);
    if (service.evacuatingKeys.empty() || service.owners.ranges.empty())
        return;
    const core::Time now = bootTime();
    service.evacuatingKeys
        = m_evacuations.remainingKeys(service.evacuatingKeys, service.owners, m_registry.targets(now));
    if (!service.evacuatingKeys.empty())
        return;
    m_events.record(Severity::Info, core::events::evacuationComplete,
                    "service=" + core::logValue(name) + " sequence=" + std::to_string(service.owners.sequence)
                        + " after_ms=" + std::to_string(milliseconds(now - service.evacuatingSince)));
}

/// Adds the evacuated domains to a notice, which saves each of its receivers a call.
void GatewayControl::addEvacuations(core::WatchNotice &notice) const
{
    auto domains = m_evacuations.listed();
    if (m_evacuationFeed && domains.size() <= mostNoticedDomains)
        notice.evacuatedDomains = std::move(domains);
}

void GatewayControl::takeEvacuations(const core::WatchNotice &notice, core::Time now)
{
    if (!m_evacuationFeed)
        return;
    const core::FeedPosition &position = notice.evacuations;
    if (notice.evacuatedDomains && position.hasNewsFor(m_evacuationFeed->position())) {
        std::vector<edges::FeedEntry<core::Evacuation>> entries;
        for (const std::string &domain : *notice.evacuatedDomains)
            entries.push_back({domain, core::Evacuation{}, {}});
        for (const std::string &domain : m_evacuations.listed()) {
            if (std::find(notice.evacuatedDomains->begin(), notice.evacuatedDomains->end(), domain)
                == notice.evacuatedDomains->end())
                entries.push_back({domain, std::nullopt, {}});
        }
        // The notice has all entries, so it replaces all that was known.
        m_evacuationFeed->takeFrom(entries, 0, position.changedAt, position.era);
    }
    m_evacuationFeed->noticed(position, now - notice.age);
}

} // namespace sardinehinge::daemon
