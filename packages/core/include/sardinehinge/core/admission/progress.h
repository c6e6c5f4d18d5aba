#pragma once

#include <sardinehinge/core/types.h>

#include <algorithm>
#include <cstdint>

namespace sardinehinge::core {

/// How fast the bytes of a request must arrive: at a least rate in each period. There is no limit on the whole time.
struct ProgressRule
{
    Duration period = std::chrono::seconds(10); ///< The first one is a grace period.
    double leastBytesPerSecond = 128;

    bool operator==(const ProgressRule &) const = default;
    /// Whether `bytes` in one period are enough.
    bool isEnough(std::uint64_t bytes) const noexcept
    {
        return static_cast<double>(bytes) >= leastBytesPerSecond * std::chrono::duration<double>(period).count();
    }
};

/// Measures how fast bytes come or go.
class ProgressMeter
{
public:
    explicit ProgressMeter(Time now = {})
        : m_windowStart(now)
        , m_lastProgress(now)
    {
    }

    void note(std::uint64_t bytes, Time now)
    {
        if (now - m_windowStart >= window) {
            m_lastRate = static_cast<double>(m_windowBytes) / seconds(now - m_windowStart);
            m_windowStart = now;
            m_windowBytes = 0;
        }
        m_windowBytes += bytes;
        m_lastProgress = now;
    }

    double bytesPerSecond(Time now) const
    {
        const double current
            = static_cast<double>(m_windowBytes) / seconds(std::max<Duration>(now - m_windowStart, window));
        return now - m_windowStart >= window ? current : std::max(current, m_lastRate);
    }

    Duration stalledFor(Time now) const { return now - m_lastProgress; }

private:
    static constexpr Duration window = std::chrono::seconds(1);

    static double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    Time m_windowStart;
    Time m_lastProgress;
    std::uint64_t m_windowBytes = 0;
    double m_lastRate = 0; ///< Of the window before.
};

} // namespace sardinehinge::core
