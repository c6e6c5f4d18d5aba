#pragma once

#include <compare>
#include <cstdint>

namespace sardinehinge::core {

/// A causally ordered timestamp: events after the receipt of a message have later timestamps than its sending.
struct HybridTime
{
    std::int64_t wallMicroseconds = 0; ///< Since the Unix epoch.
    std::uint32_t count = 0; ///< Orders events with the same wall clock time.

    auto operator<=>(const HybridTime &) const = default;
};

/// Hybrid logical clock after Kulkarni, Demirbas, Madappa, Avva and Leone (2014).
class HybridClock
{
public:
    /// Returns the timestamp of a local event at this wall clock time.
    HybridTime now(std::int64_t wallMicroseconds) noexcept
    {
        if (wallMicroseconds > m_last.wallMicroseconds)
            m_last = {wallMicroseconds, 0};
        else
            ++m_last.count;
        return m_last;
    }

    /// Merges the timestamp of a received message, so that later local events are ordered after it. A timestamp more
    /// than `maxAheadMicroseconds` ahead of the wall clock is ignored, so that one wrong clock can't advance all
    /// others.
    void observe(HybridTime remote, std::int64_t wallMicroseconds) noexcept
    {
        if (remote > m_last && remote.wallMicroseconds <= wallMicroseconds + maxAheadMicroseconds)
            m_last = remote;
    }

    static constexpr std::int64_t maxAheadMicroseconds = 60'000'000;

private:
    HybridTime m_last;
};

} // namespace sardinehinge::core
