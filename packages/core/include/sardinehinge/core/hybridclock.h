#pragma once

#include <compare>
#include <cstdint>

namespace sardinehinge::core {

/// A timestamp that respects causality: events after the receipt of a message are later than its sending.
struct HybridTime
{
    std::int64_t wallMicroseconds = 0; ///< Since 1970.
    std::uint32_t count = 0; ///< Order within the microsecond.

    auto operator<=>(const HybridTime &) const = default;
};

/// Hybrid logical clock after Kulkarni, Demirbas, Madappa, Avva and Leone (2014).
class HybridClock
{
public:
    /// The stamp of a local event at the given wall clock reading.
    HybridTime now(std::int64_t wallMicroseconds) noexcept
    {
        if (wallMicroseconds > m_last.wallMicroseconds)
            m_last = {wallMicroseconds, 0};
        else
            ++m_last.count;
        return m_last;
    }

    /// Merges the timestamp of a message, so that later events come after it. A stamp more than `maxAheadMicroseconds`
    /// ahead of the wall clock is ignored: one broken clock must not drag all others along.
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
