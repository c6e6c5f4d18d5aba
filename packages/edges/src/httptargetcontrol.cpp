#include <sardinehinge/edges/httpadapters.h>
#include <sardinehinge/edges/ownershipcodec.h>

namespace sardinehinge::edges {

namespace {

constexpr std::size_t requestLineBytes = 64; ///< Request line, Host and Content-Length as the client writes them.
constexpr std::size_t statusLineBytes = 20;

std::size_t sizeOf(const http::Headers &headers)
{
    std::size_t bytes = 0;
    for (const auto &[name, value] : headers)
        bytes += name.size() + value.size() + 4;
    return bytes;
}

} // namespace

HttpTargetControl::HttpTargetControl(http::Client &client)
    : m_client(client)
{
}

void HttpTargetControl::send(const std::string &address, const core::TargetOrder &order, core::Duration timeout,
                             Callback done)
{
    http::Request request{"POST", orderPath, {{"Content-Type", "application/json"}}, encodeOrder(order), {}};
    const std::size_t sent = requestLineBytes + sizeOf(request.headers) + request.body.size();
    m_client.send(address, request, timeout, [done = std::move(done), sent](const http::ExchangeResult &end) {
        OrderEnd result{std::nullopt, end.outcome == http::ExchangeOutcome::ConnectionRefused, sent};
        if (end.outcome == http::ExchangeOutcome::Complete)
            result.bytes += statusLineBytes + sizeOf(end.response.headers) + end.response.body.size();
        if (end.outcome == http::ExchangeOutcome::Complete && end.response.status == 200) {
            const auto report = decodeReport(end.response.body);
            if (const auto *value = std::get_if<core::TargetReport>(&report))
                result.report = *value;
        }
        done(result);
    });
}

} // namespace sardinehinge::edges
