#pragma once

#include <sardinehinge/core/requestrouter.h>
#include <sardinehinge/http/message.h>

#include <functional>
#include <string>

namespace sardinehinge::edges {

/// A request on its way to a target.
struct TargetRequest
{
    std::string address;
    std::string requestId; ///< The caller's or ours; the target may log it.
    bool isKeyed = false;
    std::string group; ///< `workspace/service`.
    core::ShardEpoch shard;
    core::Duration timeout = core::Duration(0); ///< Until the request's deadline.
    http::Request message;

    bool operator==(const TargetRequest &) const = default;
};

/// How an attempt ended; `response` is only meaningful for AttemptEnd::Answered.
struct TargetAnswer
{
    core::AttemptEnd end = core::AttemptEnd::AnswerLost;
    http::Response response;

    bool operator==(const TargetAnswer &) const = default;
};

/// Carries requests to targets and their whole answers back.
class TargetTraffic
{
public:
    using Callback = std::function<void(TargetAnswer)>;
    using AttemptId = std::uint64_t;

    virtual ~TargetTraffic() = default;

    /// Sends a request once. The callback comes exactly once, within the request's timeout.
    virtual AttemptId send(const TargetRequest &request, Callback done) = 0;
    /// Tells the target that nobody waits any more, as far as its protocol can say so; the callback still comes.
    virtual void cancel(AttemptId attempt) = 0;
    /// Open connections to all targets.
    virtual std::size_t connections() const = 0;
};

} // namespace sardinehinge::edges
