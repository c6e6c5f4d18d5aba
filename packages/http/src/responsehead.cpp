#include "responsehead.h"

namespace sardinehinge::http::internal {

namespace {

constexpr unsigned firstStatus = 100;
constexpr unsigned lastStatus = 599;

} // namespace

const char *faultIn(const ResponseHead &head) noexcept
{
    if (head.result_int() < firstStatus || head.result_int() > lastStatus)
        return "the status is not one of HTTP";
    return nullptr;
}

} // namespace sardinehinge::http::internal
