#pragma once

#include <string>
#include <string_view>

/// Text that other programs chose, such as the names of entries: what it may hold, and how a log line shows it.
namespace sardinehinge::core {

/// Returns the length in bytes of the well-formed UTF-8 sequence (RFC 3629) that begins at `at`, or 0 if none does.
std::size_t utf8LengthAt(std::string_view text, std::size_t at) noexcept;

/// Whether a daemon or a target may have this id: 1 to 256 bytes of UTF-8 without control characters but tabs, and
/// without a blank or a tab at either end. Ids are sent as values of headers (RFC 9110, section 5.5), which lose these,
/// and in datagrams and records, which must not grow with them.
bool isInstanceId(std::string_view text) noexcept;

/// Returns `text` as the value of a log line's `key=value`: as it is if it is printable ASCII without blanks, quotes,
/// equals signs and backslashes; else in quotes, with control characters, quotes, backslashes and bytes that aren't
/// UTF-8 escaped. At most 256 bytes of the text are shown, then its length.
std::string logValue(std::string_view text);

/// Returns `text` without what would end a log line or make it unreadable: control characters and bytes that aren't
/// UTF-8 are escaped as `\xHH`.
std::string logLine(std::string_view text);

} // namespace sardinehinge::core
