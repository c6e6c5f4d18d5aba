#pragma once

#include <sardinehinge/core/result.h>
#include <sardinehinge/core/types.h>

#include <functional>

namespace sardinehinge::edges {

/// The platform's list of live and leaving instances. It lags.
class InstanceList
{
public:
    using Callback = std::function<void(core::Result<core::InstanceView>)>;

    virtual ~InstanceList() = default;

    /// Waits up to `wait` for a version after `afterVersion`, then answers with the present list.
    /// The callback comes exactly once, on the thread of the caller's event loop, never from within the call.
    virtual void read(std::uint64_t afterVersion, core::Duration wait, Callback done) = 0;
};

} // namespace sardinehinge::edges
