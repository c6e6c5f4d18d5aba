#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace sardinehinge::daemon {

/// The daemon's metrics. docs/OPERATIONS.md describes each. The counters are safe to use from every thread.
class Metrics
{
public:
    Metrics();

    /// All metrics in Prometheus' text format; reads the gauges first.
    std::string text();
    /// Adds a gauge whose value is read at each scrape. `read` must be safe to call from the scraping thread.
    void addGauge(const std::string &name, const std::string &help, const std::map<std::string, std::string> &labels,
                  std::function<double()> read);

private:
    struct ReadGauge
    {
        prometheus::Gauge *gauge;
        std::function<double()> read;
    };

    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter> &m_requests;
    prometheus::Family<prometheus::Counter> &m_peerBytes;
    prometheus::Family<prometheus::Counter> &m_platformCalls;
    prometheus::Family<prometheus::Counter> &m_permits;
    prometheus::Family<prometheus::Counter> &m_feedReads;
    prometheus::Family<prometheus::Counter> &m_sends;
    std::mutex m_mutex;
    std::vector<ReadGauge> m_gauges;

public:
    prometheus::Counter &requestsDone;
    prometheus::Counter &requestsNotRun;
    prometheus::Counter &requestsUnknown;
    prometheus::Counter &requestsAbandoned;
    prometheus::Histogram &requestSeconds;
    prometheus::Counter &peerBytesIn;
    prometheus::Counter &peerBytesOut;
    prometheus::Counter &orderBytes;
    prometheus::Counter &storeReads;
    prometheus::Counter &storeWrites;
    prometheus::Counter &storeWatches;
    prometheus::Counter &listReads;
    prometheus::Counter &requestsQuarantined; ///< Rejected because targets that ran equal requests crashed.
    prometheus::Counter &feedReads; ///< Changes read from another daemon instead of the platform's store.
    prometheus::Counter &feedReadsFailed; ///< It didn't have them, or didn't answer in time: the store was called.
    prometheus::Counter &feedReadsServed; ///< Other daemons' requests for changes, of any outcome.
    prometheus::Counter &permitsGranted;
    prometheus::Counter &permitsDenied; ///< Requests for permits that weren't granted in full.
    prometheus::Counter &sendsHome; ///< To targets in the own failure domain.
    prometheus::Counter &sendsAbroad;
};

} // namespace sardinehinge::daemon
