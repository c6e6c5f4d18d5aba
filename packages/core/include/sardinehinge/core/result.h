#pragma once

#include <string>
#include <variant>

namespace sardinehinge::core {

/// Stable error codes shown to callers and operators; docs/API.md lists them.
enum class ErrorCode {
    BadRequest,
    BadSetting,
    BadDocument,
    UnknownWorkspace,
    UnknownService,
    MissingKey,
    ShuttingDown,
    NoOwner,
    Overloaded,
    DeadlineExceeded,
    TargetUnreachable,
    AnswerLost,
    AnswerTruncated,
    LeaseLost,
    StoreUnavailable,
    RevisionConflict,
    NotFound,
    Internal,
};

/// An error and where it arose.
/// `step` names the step that failed and `peer` the process it was talking to; `peer` is empty for a local fault.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string step;
    std::string peer;
    std::string detail;

    bool operator==(const Error &) const = default;
};

/// Either a value or the error that prevented it.
template<typename T>
using Result = std::variant<T, Error>;

/// The value of a command that returns nothing on success.
struct Done
{
    bool operator==(const Done &) const = default;
};

/// Returns the error in `result`, or nullptr when it holds a value. The pointer lives as long as `result`.
template<typename T>
const Error *errorIn(const Result<T> &result) noexcept
{
    return std::get_if<Error>(&result);
}

/// The code as it appears in JSON, for example `no_owner`.
const char *errorCodeName(ErrorCode code) noexcept;

} // namespace sardinehinge::core
