#pragma once

#include <sardinehinge/core/types.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <tuple>
#include <vector>

namespace sardinehinge::core {

/// An open connection of a caller without a request in work and without a response to write.
struct WaitingConnection
{
    std::uint64_t id = 0;
    bool isIdle = false; ///< No byte of a request has arrived.
    Duration waitingFor{}; ///< Since it became idle, or since its request began.
    double bytesPerSecond = 0; ///< Of the request.

    bool operator==(const WaitingConnection &) const = default;
};

/// Returns the connection to close for a new one, or nullopt if there is none: the longest idle one, otherwise the one
/// whose request arrives slowest, and of equally slow ones the oldest.
inline std::optional<std::uint64_t> connectionToClose(const std::vector<WaitingConnection> &waiting)
{
    const auto rank = [](const WaitingConnection &each) {
        return std::tuple(each.isIdle, each.isIdle ? 0.0 : -each.bytesPerSecond, each.waitingFor);
    };
    const auto found = std::max_element(
        waiting.begin(), waiting.end(),
        [&](const WaitingConnection &one, const WaitingConnection &other) { return rank(one) < rank(other); });
    return found == waiting.end() ? std::nullopt : std::optional(found->id);
}

} // namespace sardinehinge::core
