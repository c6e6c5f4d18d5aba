#pragma once

#include <sardinehinge/core/watchroster.h>

namespace sardinehinge::daemon {

/// As log lines name it.
inline const char *nameOf(core::WatchRoster::Mode mode)
{
    switch (mode) {
    case core::WatchRoster::Mode::Standalone:
        return "alone";
    case core::WatchRoster::Mode::Watching:
        return "watching";
    case core::WatchRoster::Mode::Following:
        return "following";
    }
    return "unknown";
}

} // namespace sardinehinge::daemon
