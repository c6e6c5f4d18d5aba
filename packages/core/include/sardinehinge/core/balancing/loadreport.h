#pragma once

#include <sardinehinge/core/types.h>

#include <cstdint>
#include <optional>

namespace sardinehinge::core {

/// What a target says about its load in an answer.
struct LoadReport
{
    std::uint32_t running = 0; ///< Requests that it runs.
    std::uint32_t waiting = 0; ///< Requests that it holds beyond these.
    std::uint32_t slots = 1; ///< Requests that it can run at once; at least 1.
    double workFactor = 1; ///< Time that work takes on its instance at that moment, relative to the usual one.

    bool operator==(const LoadReport &) const = default;
};

/// What one daemon makes of the load reports of a target.
///
/// A report is exact for an instant: other daemons send requests that this one can't see. So its weight halves with
/// each usual time of a request, against the mean of the reports; and what isn't known by a fresh report counts as
/// random arrivals. Targets whose reports are old therefore cost about the same, and daemons that saw the same idle
/// target don't all choose it.
class ReportedLoad
{
public:
    /// Takes in a report. `ownInFlight`: requests of this daemon at the target, without the one that was answered.
    void take(const LoadReport &report, std::uint32_t ownInFlight, Time now) noexcept;
    bool isKnown() const noexcept { return m_takenAt.has_value(); }
    /// Age of the latest report; std::nullopt if there is none.
    std::optional<Duration> age(Time now) const noexcept;
    /// Requests of others at the target, as expected now. `usualTime`: of a request there.
    double expectedOthers(Duration usualTime, Time now) const noexcept;
    /// Expected time of one more request, waiting included, relative to the target's mean time without waiting.
    double relativeTime(std::uint32_t ownInFlight, Duration usualTime, Time now) const noexcept;

private:
    LoadReport m_latest;
    double m_others = 0; ///< In the latest report.
    double m_meanOthers = 0;
    double m_meanFactor = 1;
    std::optional<Time> m_takenAt;
};

} // namespace sardinehinge::core
