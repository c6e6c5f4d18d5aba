#include <sardinehinge/daemon/metrics.h>

#include <prometheus/text_serializer.h>

namespace sardinehinge::daemon {

namespace {

/// Upper bounds in seconds; dense around the target of 11 ms.
const prometheus::Histogram::BucketBoundaries latencyBuckets
    = {0.0005, 0.001, 0.002, 0.004, 0.006, 0.008, 0.011, 0.016, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10};

prometheus::Family<prometheus::Counter> &counters(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

} // namespace

Metrics::Metrics()
    : m_requests(counters(m_registry, "sardinehinge_requests_total", "Callers' requests by outcome"))
    , m_peerBytes(counters(m_registry, "sardinehinge_control_bytes_total", "Bytes of control by kind and direction"))
    , m_platformCalls(counters(m_registry, "sardinehinge_platform_calls_total", "Calls to the platform by kind"))
    , m_permits(
          counters(m_registry, "sardinehinge_permits_total",
                   "Permits for rate-limited targets that this daemon got, and requests for them not met in full"))
    , m_feedReads(counters(m_registry, "sardinehinge_feed_reads_total",
                           "Changes of configurations and targets read from daemons that watch the store"))
    , m_sends(counters(m_registry, "sardinehinge_sends_total", "Requests sent to targets by their failure domain"))
    , requestsDone(m_requests.Add({{"outcome", "done"}}))
    , requestsNotRun(m_requests.Add({{"outcome", "not_run"}}))
    , requestsUnknown(m_requests.Add({{"outcome", "unknown"}}))
    , requestsAbandoned(m_requests.Add({{"outcome", "abandoned"}}))
    , requestSeconds(prometheus::BuildHistogram()
                         .Name("sardinehinge_request_seconds")
                         .Help("Time from a whole request to its answer")
                         .Register(m_registry)
                         .Add({}, latencyBuckets))
    , peerBytesIn(m_peerBytes.Add({{"kind", "peer"}, {"direction", "in"}}))
    , peerBytesOut(m_peerBytes.Add({{"kind", "peer"}, {"direction", "out"}}))
    , orderBytes(m_peerBytes.Add({{"kind", "order"}, {"direction", "both"}}))
    , storeReads(m_platformCalls.Add({{"call", "read"}}))
    , storeWrites(m_platformCalls.Add({{"call", "write"}}))
    , storeWatches(m_platformCalls.Add({{"call", "watch"}}))
    , listReads(m_platformCalls.Add({{"call", "list"}}))
    , requestsQuarantined(counters(m_registry, "sardinehinge_requests_quarantined_total",
                                   "Callers' requests that were rejected because targets that ran equal ones crashed")
                              .Add({}))
    , feedReads(m_feedReads.Add({{"outcome", "read"}}))
    , feedReadsFailed(m_feedReads.Add({{"outcome", "failed"}}))
    , feedReadsServed(m_feedReads.Add({{"outcome", "served"}}))
    , permitsGranted(m_permits.Add({{"outcome", "granted"}}))
    , permitsDenied(m_permits.Add({{"outcome", "denied"}}))
    , sendsHome(m_sends.Add({{"failure_domain", "home"}}))
    , sendsAbroad(m_sends.Add({{"failure_domain", "abroad"}}))
{
}

std::string Metrics::text()
{
    {
        const std::lock_guard lock(m_mutex);
        for (const ReadGauge &each : m_gauges)
            each.gauge->Set(each.read());
    }
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

void Metrics::addGauge(const std::string &name, const std::string &help,
                       const std::map<std::string, std::string> &labels, std::function<double()> read)
{
    auto &family = prometheus::BuildGauge().Name(name).Help(help).Register(m_registry);
    const std::lock_guard lock(m_mutex);
    m_gauges.push_back({&family.Add(labels), std::move(read)});
}

} // namespace sardinehinge::daemon
