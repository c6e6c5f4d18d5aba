#include "scriptedpeers.h"

#include <catch2/catch.hpp>

/// Which responses are broken: they end as if the response had been cut, and nothing of them reaches a caller.
using namespace sardinehinge;
using namespace sardinehinge::http::tests;

namespace {

/// Whose responses a client reads: those of targets repeat the request's id and may end with the connection.
enum class Reader { OfTargets, OfOthers };

http::ExchangeResult read(const std::string &responses, Reader reader, bool closes = true)
{
    ScriptedPeer peer({"", true, responses, closes});
    boost::asio::io_context context;
    http::Client client(context);
    http::ExchangeOptions options;
    options.timeout = timeout;
    options.acceptsCloseDelimited = reader == Reader::OfTargets;
    if (reader == Reader::OfTargets)
        options.echoedHeader.emplace("Id", "mine");
    http::ExchangeResult end;
    client.send(peer.address(), {"GET", "/", {{"Id", "mine"}}, {}, {}}, options,
                [&](http::ExchangeResult got) { end = std::move(got); });
    context.run_for(std::chrono::seconds(5));
    if (end.outcome != http::ExchangeOutcome::Complete)
        CHECK(client.connections() == 0);
    return end;
}

} // namespace

TEST_CASE("A response whose status is no final status of HTTP is broken")
{
    const auto [status, outcome] = GENERATE(table<std::string, http::ExchangeOutcome>({
        {"000", http::ExchangeOutcome::TruncatedResponse},
        {"001", http::ExchangeOutcome::TruncatedResponse},
        {"099", http::ExchangeOutcome::TruncatedResponse},
        {"600", http::ExchangeOutcome::TruncatedResponse},
        {"999", http::ExchangeOutcome::TruncatedResponse},
        {"200", http::ExchangeOutcome::Complete},
        {"299", http::ExchangeOutcome::Complete},
        {"599", http::ExchangeOutcome::Complete},
    }));
    const Reader reader = GENERATE(Reader::OfTargets, Reader::OfOthers);
    INFO("status " << status);
    const auto end = read("HTTP/1.1 " + status + " X\r\nId: mine\r\nContent-Length: 2\r\n\r\nok", reader);
    CHECK(end.outcome == outcome);
    CHECK(end.response.body == (outcome == http::ExchangeOutcome::Complete ? "ok" : ""));
}
