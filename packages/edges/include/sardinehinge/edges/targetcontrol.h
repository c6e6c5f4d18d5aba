#pragma once

#include <sardinehinge/core/messages.h>

#include <functional>
#include <optional>
#include <string>

namespace sardinehinge::edges {

/// What came of an order: the target's report, or none. `refused`: its host said that no process listens.
struct OrderEnd
{
    std::optional<core::TargetReport> report;
    bool refused = false;
    std::size_t bytes = 0; ///< Of the order and its report with their headers.

    bool operator==(const OrderEnd &) const = default;
};

/// Gives targets orders of ownership.
class TargetControl
{
public:
    using Callback = std::function<void(OrderEnd)>;

    virtual ~TargetControl() = default;

    /// Sends one order, never twice. The callback comes exactly once, within `timeout`.
    virtual void send(const std::string &address, const core::TargetOrder &order, core::Duration timeout, Callback done)
        = 0;
};

} // namespace sardinehinge::edges
