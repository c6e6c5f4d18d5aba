#include "feedrelay.h"

#include <sardinehinge/core/membership/changetiming.h>
#include <sardinehinge/protocol/feedanswers.h>

#include <charconv>

namespace sardinehinge::daemon {

namespace {

constexpr std::array<const char *, 2> paths = {"/feeds/configs", "/feeds/targets"};
constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;

/// Reads the number of a query's parameter, such as `after=12`.
std::optional<std::uint64_t> parameter(const std::string &target, const std::string &name)
{
    const auto at = target.find(name + "=");
    if (at == std::string::npos)
        return std::nullopt;
    std::uint64_t number = 0;
    const char *first = target.data() + at + name.size() + 1;
    const auto [end, error] = std::from_chars(first, target.data() + target.size(), number);
    return error == std::errc() && end != first ? std::optional(number) : std::nullopt;
}

http::ClientLimits clientLimits()
{
    http::ClientLimits limits;
    limits.bodyBytes = 2 * core::FeedHistory::maxBytes;
    limits.totalBodyBytes = 2 * limits.bodyBytes;
    limits.idleConnections = 1;
    return limits;
}

} // namespace

FeedRelay::FeedRelay(boost::asio::io_context &context, const edges::GatewaySettings &settings)
    : m_client(context, clientLimits())
    , m_port(
          settings.metricsAddress.substr(std::min(settings.metricsAddress.rfind(':'), settings.metricsAddress.size())))
    , m_budget(settings.linkMbps)
{
}

void FeedRelay::add(Kind kind, core::FeedAnswer answer, core::StoreEra era)
{
    m_histories.at(static_cast<std::size_t>(kind)).add(std::move(answer), era);
}

std::optional<http::Response> FeedRelay::respond(const http::Request &request, core::Time now)
{
    for (std::size_t kind = 0; kind < paths.size(); ++kind) {
        if (http::pathOf(request.target) != paths.at(kind))
            continue;
        const auto after = parameter(request.target, "after");
        const auto era = parameter(request.target, "era");
        const auto answers = after && era ? m_histories.at(kind).since(*after, *era) : std::nullopt;
        if (!answers)
            return http::Response{statusNotFound, {}, "not known here\n"};
        std::string text = protocol::encodeFeedAnswers(*answers);
        if (!m_budget.trySpend(text.size(), now))
            return http::Response{statusUnavailable, {}, "the link is busy\n"};
        return http::Response{statusOk, {{"Content-Type", "application/octet-stream"}}, std::move(text)};
    }
    return std::nullopt;
}

void FeedRelay::read(const std::string &peerAddress, Kind kind, std::uint64_t revision, core::StoreEra era,
                     std::function<void(Answers, int status)> done)
{
    const std::string address = peerAddress.substr(0, peerAddress.rfind(':')) + m_port;
    const http::Request request{"GET",
                                std::string(paths.at(static_cast<std::size_t>(kind)))
                                    + "?after=" + std::to_string(revision) + "&era=" + std::to_string(era),
                                {},
                                {},
                                {}};
    http::ExchangeOptions options;
    options.timeout = core::peerReadTimeout;
    m_client.send(address, request, options, [done = std::move(done)](const http::ExchangeResult &end) {
        const int status = end.outcome == http::ExchangeOutcome::Complete ? end.response.status : 0;
        done(status == statusOk ? protocol::decodeFeedAnswers(end.response.body).value_or(Answers()) : Answers(),
             status);
    });
}

} // namespace sardinehinge::daemon
