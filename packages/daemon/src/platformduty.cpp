#include "platformduty.h"

#include <sardinehinge/core/eventnumbers.h>

#include <algorithm>
#include <ctime>
#include <pthread.h>

namespace sardinehinge::daemon {

namespace {

constexpr std::size_t requestRing = 4096;
constexpr core::Duration storeWatchWait
    = std::chrono::milliseconds(400); ///< Bounds how late a daemon learns of silence.
constexpr core::Duration listWatchWait = std::chrono::milliseconds(400);
constexpr int firstWaitMs = 50;
constexpr int longestWaitMs = 2000;

} // namespace

PlatformDuty::PlatformDuty(const QUrl &platformUrl, std::uint64_t seed, EventLog &events, Metrics &metrics,
                           std::function<bool(FromPlatform)> report)
    : m_url(platformUrl)
    , m_random(seed)
    , m_events(events)
    , m_metrics(metrics)
    , m_report(std::move(report))
    , m_requests(requestRing, [this] {
        QMetaObject::invokeMethod(
            this,
            [this] {
                m_requests.drain([this](const ToPlatform &message) {
                    std::visit([this](const auto &typed) { take(typed); }, message);
                });
            },
            Qt::QueuedConnection);
    })
{
    m_thread.setObjectName("platform");
    moveToThread(&m_thread);
}

PlatformDuty::~PlatformDuty()
{
    stop();
}

void PlatformDuty::start()
{
    m_thread.start();
    QMetaObject::invokeMethod(
        this, [this] { begin(); }, Qt::QueuedConnection);
}

void PlatformDuty::stop()
{
    if (!m_thread.isRunning())
        return;
    // Network objects must go on the thread that they live on.
    QMetaObject::invokeMethod(
        this,
        [this] {
            m_threadHandle.store({});
            m_documents.reset();
            m_list.reset();
            m_store.reset();
            m_thread.quit();
        },
        Qt::QueuedConnection);
    m_thread.wait();
}

double PlatformDuty::cpuSeconds()
{
    const pthread_t handle = m_threadHandle.load();
    clockid_t clock{};
    timespec used{};
    if (handle == pthread_t{} || pthread_getcpuclockid(handle, &clock) != 0 || clock_gettime(clock, &used) != 0)
        return 0;
    return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
}

void PlatformDuty::begin()
{
    m_threadHandle.store(pthread_self());
    m_store = std::make_unique<edges::HttpObjectStore>(m_url);
    m_list = std::make_unique<edges::HttpInstanceList>(m_url);
    m_documents = std::make_unique<edges::DocumentStore>(*m_store, [this](const std::string &name) {
        m_events.record(Severity::Warning, core::events::writeAnswerLost, name);
    });
    watchList(); // Once for every daemon: without the list it knows no peer.
}

void PlatformDuty::take(const ReadObject &request)
{
    m_metrics.storeReads.Increment();
    m_store->read(request.name, [this, name = request.name](core::Result<edges::StoredObject> result) {
        if (const auto *object = std::get_if<edges::StoredObject>(&result))
            m_documents->observe(*object);
        report(ObjectRead{name, std::move(result)});
    });
}

void PlatformDuty::take(const WriteObject &request)
{
    m_metrics.storeWrites.Increment();
    m_documents->write(
        request.name, request.body, request.author, request.attempt, request.expectedRevision,
        [this, attempt = request.attempt](const core::WriteOutcome &outcome, const edges::StoredObject &object) {
            report(ObjectWritten{attempt, outcome, object});
        });
}

void PlatformDuty::take(const ReadVersions &request)
{
    m_metrics.storeReads.Increment();
    m_store->versions(request.name,
                      [this, operation = request.operation](core::Result<std::vector<edges::StoredObject>> result) {
                          report(VersionsRead{operation, std::move(result)});
                      });
}

void PlatformDuty::take(const SetWatching &request)
{
    m_isWatching = request.enabled;
    m_events.record(Severity::Info, request.enabled ? core::events::watchStarted : core::events::watchStopped,
                    m_url.authority().toStdString());
    if (!m_isWatching)
        return;
    watchStore();
    watchList();
}

void PlatformDuty::watchStore()
{
    if (!m_isWatching || m_isStoreWatchOut || !m_store)
        return;
    m_isStoreWatchOut = true;
    m_metrics.storeWatches.Increment();
    m_store->watch(m_watchedUpTo, storeWatchWait, [this](core::Result<edges::WatchReply> result) {
        m_isStoreWatchOut = false;
        if (const core::Error *error = core::errorIn(result)) {
            noteStore(false, error->detail);
            report(PlatformFailed{*error});
            QTimer::singleShot(waitAfter(m_storeBackoff), this, [this] { watchStore(); });
            return;
        }
        m_storeBackoff = {};
        noteStore(true, {});
        auto &reply = std::get<edges::WatchReply>(result);
        // A replica that lags may answer with an earlier point; going back would only repeat what is known.
        m_watchedUpTo = std::max(m_watchedUpTo, reply.upTo);
        for (const edges::StoredObject &object : reply.objects)
            m_documents->observe(object);
        report(ObjectsWatched{std::move(reply.objects)});
        QMetaObject::invokeMethod(
            this, [this] { watchStore(); }, Qt::QueuedConnection);
    });
}

void PlatformDuty::watchList()
{
    if ((!m_isWatching && m_hasList) || m_isListReadOut || !m_list)
        return;
    m_isListReadOut = true;
    m_metrics.listReads.Increment();
    m_list->read(m_listVersion, m_hasList ? listWatchWait : core::Duration(0),
                 [this](core::Result<core::InstanceView> result) {
                     m_isListReadOut = false;
                     if (const core::Error *error = core::errorIn(result)) {
                         report(PlatformFailed{*error});
                         QTimer::singleShot(waitAfter(m_listBackoff), this, [this] { watchList(); });
                         return;
                     }
                     m_listBackoff = {};
                     m_hasList = true;
                     auto &view = std::get<core::InstanceView>(result);
                     m_listVersion = std::max(m_listVersion, view.version);
                     report(ListRead{std::move(view)});
                     QMetaObject::invokeMethod(
                         this, [this] { watchList(); }, Qt::QueuedConnection);
                 });
}

void PlatformDuty::report(const FromPlatform &message)
{
    // The ring holds more than all calls that can be out at once; a full one means a stalled control duty, and waiting
    // for it here is better than losing the outcome of a write.
    while (!m_report(message))
        QThread::msleep(1);
}

void PlatformDuty::noteStore(bool isUp, const std::string &detail)
{
    if (isUp == m_isStoreUp)
        return;
    m_isStoreUp = isUp;
    m_events.record(isUp ? Severity::Info : Severity::Warning,
                    isUp ? core::events::storeReachable : core::events::storeUnreachable, detail);
}

int PlatformDuty::waitAfter(Backoff &backoff)
{
    const int longest = std::min(firstWaitMs << std::min(backoff.failures, 10), longestWaitMs);
    ++backoff.failures;
    std::uniform_int_distribution<int> pick(longest / 2, longest);
    return pick(m_random);
}

} // namespace sardinehinge::daemon
