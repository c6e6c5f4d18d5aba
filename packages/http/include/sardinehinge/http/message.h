#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sardinehinge::http {

using Headers = std::vector<std::pair<std::string, std::string>>;

/// The value of the first header with this name, compared without case; nothing when there is none.
std::optional<std::string> headerValue(const Headers &headers, std::string_view name);

/// A whole request.
struct Request
{
    std::string method;
    std::string target; ///< Path and query, as sent.
    Headers headers;
    std::string body;
    std::string peer; ///< IP number and port of the sender.

    bool operator==(const Request &) const = default;
};

/// A whole answer.
struct Response
{
    int status = 200;
    Headers headers;
    std::string body;

    bool operator==(const Response &) const = default;
};

/// The path of a request target, without its query.
std::string_view pathOf(std::string_view target) noexcept;

/// The decoded value of a query parameter; nothing when it is missing.
std::optional<std::string> queryValue(std::string_view target, std::string_view name);

} // namespace sardinehinge::http
