#pragma once

#include "bodies.h"

#include <sardinehinge/http/message.h>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <string>

namespace sardinehinge::http::internal {

using RequestMessage = boost::beast::http::request<ArrivingBody>;

/// Rejects framing that Beast's parser accepts but that leaves the end of the request ambiguous. Returns the error
/// text, or an empty string.
inline std::string framingError(const RequestMessage &message)
{
    namespace beast = boost::beast;
    const bool hasCoding = message.find(beast::http::field::transfer_encoding) != message.end();
    if (hasCoding && !beast::iequals(message[beast::http::field::transfer_encoding], "chunked"))
        return "the only supported transfer coding is chunked";
    if (hasCoding && message.find(beast::http::field::content_length) != message.end())
        return "Content-Length and Transfer-Encoding must not be combined";
    if (message.version() != 11 && message.version() != 10)
        return "the only supported versions are HTTP/1.0 and HTTP/1.1";
    if (hasCoding && message.version() == 10)
        return "HTTP/1.0 does not support Transfer-Encoding";
    return {};
}

/// The status of the response to a request that could not be read.
inline int statusFor(boost::system::error_code error)
{
    if (error == boost::beast::http::error::header_limit)
        return 431;
    if (error == boost::beast::http::error::body_limit)
        return 413;
    return 400;
}

inline Request toRequest(RequestMessage message, const std::string &peer)
{
    Request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message)
        request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    request.body = message.body().take();
    request.peer = peer;
    return request;
}

} // namespace sardinehinge::http::internal
