#pragma once

#include <sardinehinge/core/result.h>
#include <sardinehinge/http/message.h>

#include <string>

namespace sardinehinge::daemon {

/// What is certain about a request that got no answer.
enum class FailureOutcome { NotRun, Unknown };

/// The answer to a caller whose request ended in an error: a status, and a JSON body with the error's code, the
/// outcome, the step, the peer, and the request's id. docs/API.md lists the codes.
http::Response errorResponse(const core::Error &error, FailureOutcome outcome, const std::string &requestId);

} // namespace sardinehinge::daemon
