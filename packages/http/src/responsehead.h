#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace sardinehinge::http::internal {

using ResponseHead = boost::beast::http::header<false, boost::beast::http::fields>;

/// Returns why a head that the parser accepts is no head of a response all the same, or nullptr if it is one.
///
/// A status outside 100 to 599 is invalid (RFC 9110, section 15): callers couldn't read the response either.
const char *faultIn(const ResponseHead &head) noexcept;

} // namespace sardinehinge::http::internal
