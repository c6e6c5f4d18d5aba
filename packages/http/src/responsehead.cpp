#include "responsehead.h"

namespace sardinehinge::http::internal {

namespace {

constexpr unsigned firstStatus = 100;
constexpr unsigned firstFinalStatus = 200;
constexpr unsigned lastStatus = 599;

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
    if (head.result() == boost::beast::http::status::switching_protocols)
        return "the response switches to another protocol";
    return nullptr;
}

bool isInterim(const ResponseHead &head) noexcept
{
    return head.result_int() < firstFinalStatus;
}

} // namespace sardinehinge::http::internal
