#pragma once

#include <sardinehinge/core/gatewayconfig.h>

namespace sardinehinge::core {

/// Whether a request may be handled while others of its connection are. A caller that finds its connection closed
/// sends the requests behind again without knowing which of them ran, so only those that may be repeated qualify.
/// `route`: the one that matches the request, or nullptr.
inline bool mayRunBesideOthers(const RouteRule *route) noexcept
{
    return route != nullptr && route->isIdempotent && !route->isUnreadable;
}

} // namespace sardinehinge::core
