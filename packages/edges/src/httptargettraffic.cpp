#include <sardinehinge/edges/httpadapters.h>
#include <sardinehinge/edges/ownershipcodec.h>

namespace sardinehinge::edges {

namespace {

/// Whether a complete answer says that the request did not start, and why.
std::optional<core::AttemptEnd> notStarted(const http::Response &response)
{
    const auto reason = http::headerValue(response.headers, notStartedHeader);
    if (!reason)
        return std::nullopt;
    if (*reason == "overloaded")
        return core::AttemptEnd::Shed;
    if (*reason == "not-owner")
        return core::AttemptEnd::NotOwner;
    if (*reason == "leaving")
        return core::AttemptEnd::Draining;
    return std::nullopt;
}

core::AttemptEnd endOf(const http::ExchangeResult &end)
{
    switch (end.outcome) {
    case http::ExchangeOutcome::NotSent:
    case http::ExchangeOutcome::ConnectionRefused:
    case http::ExchangeOutcome::NoOpenConnection:
        return core::AttemptEnd::NothingSent;
    case http::ExchangeOutcome::NoResponse:
        return core::AttemptEnd::AnswerLost;
    case http::ExchangeOutcome::TruncatedResponse:
        return core::AttemptEnd::AnswerTruncated;
    case http::ExchangeOutcome::Complete:
        break;
    }
    if (const auto reason = notStarted(end.response))
        return *reason;
    if (http::headerValue(end.response.headers, leaseLostHeader))
        return core::AttemptEnd::LeaseLost;
    return core::AttemptEnd::Answered;
}

} // namespace

HttpTargetTraffic::HttpTargetTraffic(http::Client &client)
    : m_client(client)
{
}

TargetTraffic::AttemptId HttpTargetTraffic::send(const TargetRequest &request, Callback done)
{
    http::Request message = request.message;
    message.headers.emplace_back(requestIdHeader, request.requestId);
    message.headers.emplace_back(deadlineHeader, std::to_string(request.timeout / std::chrono::milliseconds(1)));
    if (request.isKeyed) {
        message.headers.emplace_back(groupHeader, request.group);
        message.headers.emplace_back(shardHeader, std::to_string(request.shard.shard));
        message.headers.emplace_back(epochHeader, std::to_string(request.shard.epoch));
    }
    return m_client.send(request.address, message, request.timeout, [done = std::move(done)](http::ExchangeResult end) {
        const core::AttemptEnd attemptEnd = endOf(end);
        done(TargetAnswer{attemptEnd, std::move(end.response)});
    });
}

void HttpTargetTraffic::cancel(AttemptId attempt)
{
    // HTTP/1.1 knows one way to say so: the connection is closed.
    m_client.cancel(attempt);
}

std::size_t HttpTargetTraffic::connections() const
{
    return m_client.connections();
}

} // namespace sardinehinge::edges
