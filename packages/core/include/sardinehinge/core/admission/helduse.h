#pragma once

#include <array>
#include <cstddef>

namespace sardinehinge::core {

/// What the process holds bytes for on behalf of a caller or a target.
enum class HeldUse {
    ArrivingRequest, ///< Not complete: it can be refused as not run.
    RequestInWork, ///< Complete: never cut.
    ArrivingResponse, ///< Of a target.
    WaitingResponse, ///< For its caller to read it.
};
constexpr std::size_t heldUses = 4;
constexpr std::array<const char *, heldUses> heldUseNames
    = {"arriving_request", "request_in_work", "arriving_response", "waiting_response"};

} // namespace sardinehinge::core
