#pragma once

#include <sardinehinge/core/hybridclock.h>

#include <cstdint>
#include <string>
#include <vector>

namespace sardinehinge::client {

/// One event of one daemon.
struct TimelineEvent
{
    core::HybridTime time;
    std::string daemon;
    std::uint32_t number = 0;
    std::string detail;

    auto operator<=>(const TimelineEvent &) const = default;
};

/// All events in an order that respects cause: by hybrid time, then by daemon.
std::vector<TimelineEvent> mergeTimelines(const std::vector<std::vector<TimelineEvent>> &timelines);

/// The time line as an SVG picture: one row a daemon, time from left to right, a mark with a tooltip for each event.
std::string drawTimeline(const std::vector<TimelineEvent> &events);

} // namespace sardinehinge::client
