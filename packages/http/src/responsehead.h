#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <string_view>

namespace sardinehinge::http::internal {

using ResponseHead = boost::beast::http::header<false, boost::beast::http::fields>;

/// Whether a line of the head that begins in `text`, complete or not, starts with a blank. Such a line continues the
/// one before it (obsolete line folding), so a length or a request id there would pass for a part of another value. A
/// gateway may treat the response as broken (RFC 9112, section 5.2).
bool hasFoldedLine(std::string_view text) noexcept;

/// Returns why a head that the parser accepts is no head of a response all the same, or nullptr if it is one.
///
/// A status outside 100 to 599 is invalid (RFC 9110, section 15): callers couldn't read the response either. Status 101
/// answers a request for another protocol, which the client never sends. The body of another transfer coding than
/// chunked can't be read (RFC 9112, section 6.1), nor can any coding in HTTP/1.0. Status 204 has no body (RFC 9110,
/// section 8.6).
const char *faultIn(const ResponseHead &head) noexcept;

/// Whether another response to the same request follows this one.
bool isInterim(const ResponseHead &head) noexcept;

} // namespace sardinehinge::http::internal
