#pragma once

#include <sardinehinge/core/gatewayrouter.h>
#include <sardinehinge/http/server.h>

#include <array>

/// As log lines and metrics name them.
namespace sardinehinge::daemon {

inline const char *nameOf(core::GatewayError error)
{
    switch (error) {
    case core::GatewayError::NoConfiguration:
        return "no_configuration";
    case core::GatewayError::NoRoute:
        return "no_route";
    case core::GatewayError::MissingKey:
        return "missing_key";
    case core::GatewayError::NoTarget:
        return "no_target";
    case core::GatewayError::NoOwner:
        return "no_owner";
    case core::GatewayError::Overloaded:
        return "overloaded";
    case core::GatewayError::TimedOut:
        return "timed_out";
    case core::GatewayError::ResponseLost:
        return "answer_lost";
    case core::GatewayError::Quarantined:
        return "quarantined";
    case core::GatewayError::Stopping:
        return "stopping";
    }
    return "unknown";
}

inline const char *nameOf(core::AttemptEnd end)
{
    switch (end) {
    case core::AttemptEnd::Answered:
        return "answered";
    case core::AttemptEnd::Shed:
        return "shed";
    case core::AttemptEnd::NotOwner:
        return "not_owner";
    case core::AttemptEnd::Draining:
        return "leaving";
    case core::AttemptEnd::NothingSent:
        return "nothing_sent";
    case core::AttemptEnd::AnswerLost:
        return "answer_lost";
    case core::AttemptEnd::AnswerTruncated:
        return "answer_truncated";
    case core::AttemptEnd::LeaseLost:
        return "lease_lost";
    }
    return "unknown";
}

inline const char *nameOf(http::CloseReason reason)
{
    switch (reason) {
    case http::CloseReason::IdleTimeout:
        return "idle_timeout";
    case http::CloseReason::ReadTimeout:
        return "read_timeout";
    case http::CloseReason::ReadFailed:
        return "read_failed";
    case http::CloseReason::WriteFailed:
        return "write_failed";
    case http::CloseReason::Drain:
        return "drain";
    case http::CloseReason::ConnectionLimit:
        return "connection_limit";
    case http::CloseReason::Displaced:
        return "displaced";
    case http::CloseReason::NoRoom:
        return "no_room";
    case http::CloseReason::CallerLeft:
        return "caller_left";
    }
    return "unknown";
}

inline const char *nameOf(core::TargetSignal signal)
{
    switch (signal) {
    case core::TargetSignal::Leaving:
        return "leaving";
    case core::TargetSignal::Quiet:
        return "quiet";
    case core::TargetSignal::RateLimit:
        return "rate_limit";
    }
    return "unknown";
}

inline const char *nameOf(core::SignalSource source)
{
    return source == core::SignalSource::Order ? "order" : "request";
}

inline constexpr std::array<const char *, core::targetConditions> conditionNames
    = {"ready", "warming_up", "rate_limited", "ejected", "quiet", "draining", "leaving"};

} // namespace sardinehinge::daemon
