#include <sardinehinge/platform/httpadapters.h>
#include <sardinehinge/platform/ownershipcodec.h>

namespace sardinehinge::platform {

HttpTargetControl::HttpTargetControl(http::Client &client)
    : m_client(client)
{
}

void HttpTargetControl::send(const std::string &address, const core::TargetOrder &order, core::Duration timeout,
                             Callback done)
{
    http::Request request{"POST", orderPath, {{"Content-Type", "application/json"}}, encodeOrder(order), {}};
    m_client.send(address, request, timeout, [done = std::move(done)](const http::ExchangeEnd &end) {
        OrderEnd result{std::nullopt, end.step == http::ExchangeStep::Refused};
        if (end.step == http::ExchangeStep::Complete && end.response.status == 200) {
            const auto report = decodeReport(end.response.body);
            if (const auto *value = std::get_if<core::TargetReport>(&report))
                result.report = *value;
        }
        done(result);
    });
}

} // namespace sardinehinge::platform
