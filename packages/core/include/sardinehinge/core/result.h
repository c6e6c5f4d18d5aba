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

/// An error and its origin.
/// `step` names the operation that failed, `peer` the process at the other end; `peer` is empty for a local error.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string step;
    std::string peer;
    std::string detail;

    bool operator==(const Error &) const = default;
};

/// Either a value or an error.
template<typename T>
using Result = std::variant<T, Error>;

/// The value type of operations that return no value on success.
struct Done
{
    bool operator==(const Done &) const = default;
};

/// Returns the error in `result`, or nullptr if it holds a value. The pointer is valid as long as `result`.
template<typename T>
const Error *errorIn(const Result<T> &result) noexcept
{
    return std::get_if<Error>(&result);
}

/// Returns the name of the code in JSON, for example `no_owner`.
const char *errorCodeName(ErrorCode code) noexcept;

} // namespace sardinehinge::core
