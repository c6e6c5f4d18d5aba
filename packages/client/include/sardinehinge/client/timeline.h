#pragma once

#include <sardinehinge/core/hybridclock.h>

#include <cstdint>
#include <string>
#include <vector>

namespace sardinehinge::client {

/// An event recorded by a daemon.
struct TimelineEvent
{
    core::HybridTime time;
    std::string daemon;
    std::uint32_t number = 0; ///< Event number, see eventnumbers.h.
    std::string detail;

    auto operator<=>(const TimelineEvent &) const = default;
};

/// Merges the events of all daemons in causal order: by hybrid time, then by daemon.
std::vector<TimelineEvent> mergeTimelines(const std::vector<std::vector<TimelineEvent>> &timelines);

/// Renders the timeline as SVG: one row per daemon, time from left to right, a marker with a tooltip for each event.
/// `events` must be sorted by time.
std::string drawTimeline(const std::vector<TimelineEvent> &events);

} // namespace sardinehinge::client
