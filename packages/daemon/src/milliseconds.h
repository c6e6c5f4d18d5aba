#pragma once

#include <sardinehinge/core/types.h>

#include <chrono>
#include <cstdint>

namespace sardinehinge::daemon {

/// Whole milliseconds of a duration, for log lines.
inline std::int64_t milliseconds(core::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace sardinehinge::daemon
