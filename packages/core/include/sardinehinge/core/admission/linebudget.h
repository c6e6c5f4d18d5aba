#pragma once

#include <sardinehinge/core/types.h>

#include <cstdint>
#include <optional>
#include <utility>

namespace sardinehinge::core {

/// Bounds how many log lines of one kind are written a second, however many events there are.
class LineBudget
{
public:
    explicit LineBudget(std::uint32_t linesPerSecond)
        : m_linesPerSecond(linesPerSecond)
    {
    }

    /// Returns how many events have got no line since the last line, or nullopt if this one gets none either.
    std::optional<std::uint64_t> take(Time now)
    {
        if (now - m_second >= std::chrono::seconds(1)) {
            m_second = now;
            m_lines = 0;
        }
        if (m_lines >= m_linesPerSecond) {
            ++m_suppressed;
            return std::nullopt;
        }
        ++m_lines;
        return std::exchange(m_suppressed, 0);
    }

private:
    std::uint32_t m_linesPerSecond;
    std::uint32_t m_lines = 0; ///< Since m_second.
    std::uint64_t m_suppressed = 0;
    Time m_second{};
};

} // namespace sardinehinge::core
