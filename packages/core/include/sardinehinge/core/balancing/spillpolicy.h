#pragma once

#include <sardinehinge/core/types.h>

#include <array>
#include <cstdint>
#include <optional>

namespace sardinehinge::core {

/// Where a target is, seen from the daemon that sends the request.
enum class Locality : std::uint8_t {
    Home, ///< In the daemon's own failure domain.
    Abroad, ///< In another one.
};
constexpr std::size_t localities = 2;

/// How many targets of a service take requests now, by Locality: those that stay and are neither quiet nor ejected.
using UsableTargets = std::array<std::size_t, localities>;

/// Parameters of SpillPolicy. Times are relative: 1 is the usual time of a request of its kind.
struct SpillParameters
{
    double crossingPrice = 0.5; ///< Relative time that a request must save to leave its failure domain.
    double startMargin = 1.5; ///< Factor on `crossingPrice` while nothing leaves: hysteresis.
    double gain = 0.25; ///< Change of the share a second for each unit of relative time beyond the price.
    double maxRise = 0.25; ///< Of the share, a second.
    double maxFall = 0.25; ///< Of the share, a second.
    double sampleGain = 0.1; ///< Weight of a new sample in a side's relative time.
    double maxSample = 4; ///< A few requests take many times longer, which says little about the side.
    double refusedSample = 3; ///< A refusal costs the time of another attempt, and a retry.
    Duration sampleHalfLife = std::chrono::seconds(2); ///< Time without samples that halves the distance to 1.
    Duration maxStep = std::chrono::milliseconds(500); ///< Longest time that one change of the share accounts for.
    double stoppedShare = 0.02; ///< A share that falls below this becomes 0.

    bool operator==(const SpillParameters &) const = default;
};

/// A service that begins or stops to send requests to other failure domains.
struct SpillChange
{
    bool hasBegun = false;
    double homeTime = 1; ///< Relative time in the own failure domain.
    double abroadTime = 1;
    std::size_t homeTargets = 0;
    Duration lasted = 0ms; ///< When it stops: since it began.
    Duration abroadAge = 0ms; ///< Of the latest request abroad whose time is known.

    bool operator==(const SpillChange &) const = default;
};

/// Decides, for one service and one daemon, which share of its requests may leave the own failure domain on a par with
/// staying; the others leave for a target that is clearly better. See docs/design/failure-domain-routing.md.
///
/// The share is the integral of the time that leaving saves beyond its price, so it settles where both sides take
/// equally long but for the price, without knowing demand or capacity. Its rate is bounded below what a side's measured
/// time needs to follow. Two sides that both look free, or both full, exchange nothing.
class SpillPolicy
{
public:
    explicit SpillPolicy(SpillParameters parameters = {})
        : m_parameters(parameters)
    {
    }

    /// `price`: as SpillParameters::crossingPrice, at least 0.
    void setCrossingPrice(double price) noexcept { m_parameters.crossingPrice = price; }
    /// Takes in how long a request took, relative to the usual time of its kind.
    void served(Locality side, double relativeTime, Time now) noexcept;
    void refused(Locality side, Time now) noexcept { served(side, m_parameters.refusedSample, now); }
    /// Takes in which targets there are, and moves the share.
    void update(const UsableTargets &usable, Time now) noexcept;

    /// Whether a request leaves. `draw`: random, 0 to 1, excluding 1. `relativeSize`: the bytes that would cross,
    /// relative to the service's mean; larger requests leave less often.
    bool leaves(double draw, double relativeSize = 1) const noexcept;
    /// Returns the cost factors by Locality for one request; the arguments are those of leaves(). A target on the side
    /// where the request shouldn't go has to be clearly better.
    std::array<double, localities> factors(double draw, double relativeSize = 1) const noexcept;
    /// Whether a target elsewhere may be chosen at all while there are targets at home: unless the other side is
    /// overloaded, too, and no faster.
    bool mayCross(Time now) const noexcept;
    /// The share of the requests that may leave, 0 to 1.
    double share() const noexcept { return m_share; }
    /// Relative time of a side, as far as it is known; 1 is usual.
    double relativeTime(Locality side, Time now) const noexcept;
    /// Returns the change since the last call, if there is one.
    std::optional<SpillChange> takeChange(Time now) noexcept;

private:
    struct Side
    {
        double time = 1; ///< Relative.
        Time sampledAt = 0ms;
    };

    Side &sideOf(Locality side) noexcept { return m_sides.at(static_cast<std::size_t>(side)); }
    const Side &sideOf(Locality side) const noexcept { return m_sides.at(static_cast<std::size_t>(side)); }
    void move(double change) noexcept;

    SpillParameters m_parameters;
    std::array<Side, localities> m_sides;
    double m_share = 0;
    std::optional<Time> m_updatedAt;
    std::size_t m_homeTargets = 0;
    bool m_isReported = false; ///< The last change returned said that requests leave.
    Time m_begunAt = 0ms;
};

} // namespace sardinehinge::core
