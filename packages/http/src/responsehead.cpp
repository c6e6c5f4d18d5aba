#include "responsehead.h"

#include <boost/beast/core/string.hpp>

namespace sardinehinge::http::internal {

namespace beast = boost::beast;

namespace {

constexpr unsigned firstVersionWithCodings = 11; ///< HTTP/1.1.

constexpr unsigned firstStatus = 100;
constexpr unsigned firstFinalStatus = 200;
constexpr unsigned lastStatus = 599;

/// Whether the body arrives as it is or in chunks, which the parser joins. It passes over all other codings.
bool isCodingKnown(const ResponseHead &head) noexcept
{
    const auto [first, last] = head.equal_range(beast::http::field::transfer_encoding);
    if (first == last)
        return true;
    return std::next(first) == last && beast::iequals(first->value(), "chunked")
        && head.version() >= firstVersionWithCodings;
}

/// Whether the head announces a body that the status rules out. The bytes of that body would pass for the next
/// response.
bool announcesForbiddenBody(const ResponseHead &head)
{
    if (head.result() != beast::http::status::no_content)
        return false;
    const auto length = head[beast::http::field::content_length];
    return head.count(beast::http::field::transfer_encoding) != 0
        || length.find_first_not_of('0') != beast::string_view::npos;
}

} // namespace

bool hasFoldedLine(std::string_view text) noexcept
{
    constexpr std::string_view lineEnd = "\r\n";
    for (auto at = text.find(lineEnd); at != std::string_view::npos; at = text.find(lineEnd, at)) {
        at += lineEnd.size();
        if (at == text.size() || text[at] == '\r') // So far, or the end of the head.
            return false;
        if (text[at] == ' ' || text[at] == '\t')
            return true;
    }
    return false;
}

const char *faultIn(const ResponseHead &head) noexcept
{
    if (head.result_int() < firstStatus || head.result_int() > lastStatus)
        return "the status is not one of HTTP";
    if (head.result() == beast::http::status::switching_protocols)
        return "the response switches to another protocol";
    if (!isCodingKnown(head))
        return "the transfer coding isn't chunked alone";
    if (announcesForbiddenBody(head))
        return "a response without content announces a body";
    return nullptr;
}

bool isInterim(const ResponseHead &head) noexcept
{
    return head.result_int() < firstFinalStatus;
}

} // namespace sardinehinge::http::internal
