#pragma once

#include "dutymessages.h"

#include <sardinehinge/daemon/eventlog.h>
#include <sardinehinge/daemon/metrics.h>
#include <sardinehinge/daemon/ring.h>
#include <sardinehinge/edges/documentstore.h>
#include <sardinehinge/edges/httpadapters.h>

#include <QObject>
#include <QThread>
#include <QTimer>

#include <memory>

namespace sardinehinge::daemon {

/// Talks to the platform: reads, conditional writes, and the watches while this daemon is a watcher.
///
/// Runs on a thread with a Qt event loop. Failed watches are tried again with growing, jittered waits, so that the
/// store's return after an outage meets no rush.
class PlatformDuty : public QObject
{
public:
    PlatformDuty(const QUrl &platformUrl, std::uint64_t seed, EventLog &events, Metrics &metrics,
                 std::function<bool(FromPlatform)> report);
    ~PlatformDuty() override;

    void start();
    void stop();

    Ring<ToPlatform> &requests() noexcept { return m_requests; }
    /// Processor time of the thread, in seconds. Safe to call from every thread.
    double cpuSeconds();

private:
    /// Waits between tries of one kind of call.
    struct Backoff
    {
        int failures = 0;
    };

    void begin();
    void take(const ReadObject &request);
    void take(const WriteObject &request);
    void take(const ReadVersions &request);
    void take(const SetWatching &request);
    void watchStore();
    void watchList();
    void report(const FromPlatform &message);
    void noteStore(bool isUp, const std::string &detail);
    int waitAfter(Backoff &backoff);

    QUrl m_url;
    std::mt19937_64 m_random;
    EventLog &m_events;
    Metrics &m_metrics;
    std::function<bool(FromPlatform)> m_report;
    QThread m_thread;
    std::atomic<pthread_t> m_threadHandle{};
    std::unique_ptr<edges::HttpObjectStore> m_store;
    std::unique_ptr<edges::HttpInstanceList> m_list;
    std::unique_ptr<edges::DocumentStore> m_documents;
    Ring<ToPlatform> m_requests;
    bool m_isWatching = false;
    bool m_isStoreWatchOut = false;
    bool m_isListReadOut = false;
    bool m_hasList = false;
    bool m_isStoreUp = true;
    std::uint64_t m_watchedUpTo = 0;
    std::uint64_t m_listVersion = 0;
    Backoff m_storeBackoff;
    Backoff m_listBackoff;
};

} // namespace sardinehinge::daemon
