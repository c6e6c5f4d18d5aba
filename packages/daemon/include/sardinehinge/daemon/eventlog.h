#pragma once

#include <sardinehinge/core/hybridclock.h>

#include <boost/circular_buffer.hpp>

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace sardinehinge::daemon {

enum class Severity { Debug, Info, Warning, Error };

/// One event of a daemon's time line.
struct TimelineEntry
{
    core::HybridTime time;
    std::uint32_t event = 0; ///< Number in docs/EVENTS.md.
    std::string detail;

    bool operator==(const TimelineEntry &) const = default;
};

/// The numbered events of this process: a line each in the log, and the latest ones kept for the time line.
/// Safe to use from every thread. When the memory for entries is full the oldest go.
class EventLog
{
public:
    static constexpr std::size_t keptEntries = 20'000;

    explicit EventLog(std::size_t kept = keptEntries);

    /// Control characters and bytes that aren't UTF-8 in `text` are escaped: the event stays one line. Names that
    /// others chose are to be passed through core::logValue(), or they may look like further fields.
    void record(Severity severity, std::uint32_t event, const std::string &text);
    /// The stamp for an outgoing message; it counts as an event.
    core::HybridTime stamp();
    /// Takes in the stamp of a message that arrived.
    void observe(core::HybridTime remote);
    std::vector<TimelineEntry> entries() const;

private:
    mutable std::mutex m_mutex;
    core::HybridClock m_clock;
    boost::circular_buffer<TimelineEntry> m_entries;
};

/// Sends log lines to standard error from `level` (debug, info, warning, error) on. Call once, before any thread
/// starts. Lines are written at once, one at a time: a reader that stalls the pipe stalls the logging threads, which is
/// preferred to a loss of lines, since events are few and none is logged per request.
void initialiseLog(const std::string &level, const std::string &daemonId);

/// Sends log lines to standard output without ever blocking: lines wait in a buffer of bounded size, which a thread of
/// its own writes. What doesn't fit, or exceeds the rate, is left out, details first, and counted in a line of its own.
void initialiseGatewayLog(const std::string &daemonId);
/// Writes what is still in that buffer, as far as standard output takes it at once.
void flushGatewayLog();

} // namespace sardinehinge::daemon
