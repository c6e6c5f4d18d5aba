#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sardinehinge::http {

using Headers = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first header with this name (case-insensitive), or nullopt if there is none.
std::optional<std::string> headerValue(const Headers &headers, std::string_view name);

class ByteShare;

/// A request with its complete body.
struct Request
{
    std::string method;
    std::string target; ///< Path and query, not decoded.
    Headers headers;
    std::string body;
    std::string peer; ///< IP address and port of the sender; set by the server, ignored by the client.
    /// From reading until handling, behind other requests of its connection; set by the server, ignored by the client.
    std::chrono::milliseconds waited{0};
    /// Counts the body of a request in work; set by a server with an account. To be kept as long as the body.
    std::shared_ptr<ByteShare> share = nullptr;

    bool operator==(const Request &) const = default;
};

/// A response with its complete body.
struct Response
{
    int status = 200;
    Headers headers;
    std::string body;

    bool operator==(const Response &) const = default;
};

/// Returns the path of a request target, without its query.
std::string_view pathOf(std::string_view target) noexcept;

/// Encodes `text` as one segment of a path or one value of a query (RFC 3986, section 2.1): all bytes but letters,
/// digits, `-`, `_`, `~` and `.`. Points are encoded too if `text` is `.` or `..`, which a path would resolve.
std::string encodePercent(std::string_view text);

/// Decodes a segment of a path. A percent sign without two digits stays as it is, as does a plus sign.
std::string decodePercent(std::string_view text);

/// Returns the percent-decoded value of the first query parameter with this name, or nullopt if it is missing.
std::optional<std::string> queryValue(std::string_view target, std::string_view name);

} // namespace sardinehinge::http
