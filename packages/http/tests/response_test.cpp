#include "scriptedpeers.h"

#include <catch2/catch.hpp>

/// Which bytes on a connection count as the response to a request.
using namespace sardinehinge;
using namespace sardinehinge::http::tests;

TEST_CASE("A response to an earlier request is discarded by its echoed header")
{
    struct Case
    {
        const char *name;
        std::string responses;
        http::ExchangeOutcome outcome;
        std::string body;
    };
    const std::string unrelated = "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nold";
    const std::string own = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 4\r\n\r\nmine";
    const auto [name, responses, outcome, body] = GENERATE_COPY(values<Case>({
        {"own response only", own, http::ExchangeOutcome::Complete, "mine"},
        {"one earlier response first", unrelated + own, http::ExchangeOutcome::Complete, "mine"},
        {"two earlier responses first", unrelated + unrelated + own, http::ExchangeOutcome::Complete, "mine"},
        {"no own response", unrelated, http::ExchangeOutcome::NoResponse, ""},
        {"no echoed header", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", http::ExchangeOutcome::NoResponse, ""},
        {"an earlier response without a length", "HTTP/1.1 200 OK\r\nId: old\r\n\r\n" + own,
         http::ExchangeOutcome::NoResponse, ""},
    }));
    INFO(name);
    ScriptedPeer peer({name, true, responses, true});
    boost::asio::io_context context;
    http::Client client(context);
    http::ExchangeOptions options;
    options.echoedHeader.emplace("Id", "mine");
    options.acceptsCloseDelimited = true;
    http::ExchangeResult end;
    client.send(peer.address(), {"GET", "/", {{"Id", "mine"}}, {}, {}}, options,
                [&](http::ExchangeResult got) { end = std::move(got); });
    context.run_for(std::chrono::seconds(5));
    CHECK(end.outcome == outcome);
    CHECK(end.response.body == body);
}

TEST_CASE("A close-delimited response is complete after an orderly close if the options accept it")
{
    ScriptedPeer peer({"close-delimited", true, "HTTP/1.1 200 OK\r\n\r\nall of it", true});
    boost::asio::io_context context;
    http::Client client(context);
    http::ExchangeOptions options;
    options.acceptsCloseDelimited = true;
    http::ExchangeResult end;
    client.send(peer.address(), {"GET", "/", {}, {}, {}}, options,
                [&](http::ExchangeResult got) { end = std::move(got); });
    context.run_for(std::chrono::seconds(5));
    CHECK(end.outcome == http::ExchangeOutcome::Complete);
    CHECK(end.response.body == "all of it");
}

TEST_CASE("Bytes that are no response and come without end stop at the limits, and the connection isn't used again")
{
    struct Case
    {
        const char *name;
        std::string head;
        std::string repeated; ///< Sent until the client closes.
    };
    const auto [name, head, repeated] = GENERATE(values<Case>({
        {"status line", "HTTP/1.1 200 ", "O"},
        {"bytes that aren't HTTP", "", "x"},
        {"header value", "HTTP/1.1 200 OK\r\nName: ", "x"},
        {"header lines", "HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
        {"responses to nobody", "", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
        {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"chunk size", "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
        {"chunk extension", "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n5;a=", "x"},
        {"chunks", "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nchunk\r\n"},
        {"trailer", "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nName: ", "x"},
        {"body of declared length", "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 99999999999\r\n\r\n", "x"},
        {"body of undeclared length", "HTTP/1.1 200 OK\r\nId: mine\r\n\r\n", "x"},
    }));
    const bool isSlow = GENERATE(false, true);
    INFO(name << (isSlow ? ", slowly" : ""));
    EndlessPeer peer(head, repeated, isSlow);
    boost::asio::io_context context;
    http::ClientLimits limits;
    limits.bodyBytes = 1024UL * 1024;
    http::Client client(context, limits);
    http::ExchangeOptions options;
    options.timeout = timeout;
    options.echoedHeader.emplace("Id", "mine");
    options.acceptsCloseDelimited = true;
    std::optional<http::ExchangeResult> end;
    const auto started = std::chrono::steady_clock::now();
    client.send(peer.address(), {"GET", "/", {{"Id", "mine"}}, {}, {}}, options,
                [&](http::ExchangeResult got) { end = std::move(got); });
    context.run_for(std::chrono::seconds(5));
    REQUIRE(end.has_value());
    CHECK(end->outcome != http::ExchangeOutcome::Complete);
    CHECK(std::chrono::steady_clock::now() - started < 2 * timeout);
    CHECK(client.connections() == 0);
    CHECK(peer.hasSeenReset());
    // The client reads no more than its limits and what the kernel buffers of both ends hold.
    constexpr std::size_t kernelBuffers = 12UL * 1024 * 1024;
    CHECK(peer.bytesSent() < limits.bodyBytes + limits.headerBytes + kernelBuffers);
}

TEST_CASE("Unfinished responses of many exchanges share one limit")
{
    EndlessPeer peer("HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n", std::string(600'000, 'x'), false, 1);
    boost::asio::io_context context;
    http::ClientLimits limits;
    limits.totalBodyBytes = 2'000'000;
    http::Client client(context, limits);
    int truncated = 0;
    std::string detail;
    for (int index = 0; index < 6; ++index) {
        client.send(peer.address(), {"GET", "/", {}, {}, {}}, std::chrono::seconds(2),
                    [&](const http::ExchangeResult &got) {
                        truncated += got.outcome == http::ExchangeOutcome::TruncatedResponse ? 1 : 0;
                        detail = detail.empty() ? got.detail : detail;
                    });
    }
    context.run_for(std::chrono::seconds(5));
    CHECK(truncated == 6);
    CHECK(detail == "the unfinished responses exceed their limit");
    CHECK(client.connections() == 0);
}

TEST_CASE("A repeated request doesn't take a late copy of the response to its first attempt")
{
    // The peer rejects the first attempt and sends a copy of the rejection later, when it runs the second one.
    const std::string rejection = "HTTP/1.1 503 Busy\r\nId: mine\r\nContent-Length: 4\r\n\r\nbusy";
    const std::string answer = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 4\r\n\r\ndone";
    SequencePeer peer({rejection, rejection + answer}, {answer});
    boost::asio::io_context context;
    http::Client client(context);
    const bool isRepeat = GENERATE(true, false);
    http::ExchangeOptions options;
    options.echoedHeader.emplace("Id", "mine");
    std::vector<int> statuses;
    const auto send = [&] {
        client.send(peer.address(), {"POST", "/", {{"Id", "mine"}}, {}, {}}, options,
                    [&](const http::ExchangeResult &got) { statuses.push_back(got.response.status); });
        context.restart();
        context.run_for(std::chrono::milliseconds(300));
    };
    send();
    options.reusesConnections = !isRepeat;
    send();
    // Without a new connection, the copy passes for the response.
    CHECK(statuses == std::vector<int>{503, isRepeat ? 200 : 503});
}

TEST_CASE("A response that ends anywhere before its end isn't complete")
{
    const auto whole = GENERATE(values<std::string>({
        "HTTP/1.1 200 OK\r\nId: mine\r\nServer: s\r\nContent-Length: 5\r\nX-Last: 1\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: mine\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nId: mine\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: mine\r\nServer: s\r\n\r\n", // Ends with the connection.
    }));
    INFO(whole);
    boost::asio::io_context context;
    http::ExchangeOptions options;
    options.timeout = timeout;
    options.acceptsCloseDelimited = true;
    options.echoedHeader.emplace("Id", "mine");
    for (std::size_t length = 0; length <= whole.size(); ++length) {
        ScriptedPeer peer({"cut", true, whole.substr(0, length)});
        http::Client client(context);
        std::optional<http::ExchangeResult> end;
        client.send(peer.address(), {"GET", "/", {}, {}, {}}, options,
                    [&](const http::ExchangeResult &result) { end = result; });
        context.restart();
        context.run();
        INFO("the first " << length << " bytes");
        REQUIRE(end);
        CHECK((end->outcome == http::ExchangeOutcome::Complete) == (length == whole.size()));
    }
}

TEST_CASE("An earlier refusal that comes once more on a kept connection answers no other request")
{
    const std::string refusal = "HTTP/1.1 503 Busy\r\nId: first\r\nContent-Length: 4\r\n\r\nbusy";
    const std::string unnamed = "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy";
    const std::string answer = "HTTP/1.1 200 OK\r\nId: second\r\nContent-Length: 2\r\n\r\nok";
    const auto copy = GENERATE_COPY(values<std::string>({refusal, unnamed}));
    SequencePeer peer({refusal, copy + answer}, {answer});
    boost::asio::io_context context;
    http::Client client(context);
    std::vector<int> statuses;
    for (const char *id : {"first", "second"}) {
        http::ExchangeOptions options;
        options.timeout = timeout;
        options.echoedHeader.emplace("Id", id);
        client.send(peer.address(), {"POST", "/", {}, {}, {}}, options,
                    [&](const http::ExchangeResult &end) { statuses.push_back(end.response.status); });
        context.restart();
        context.run();
    }
    CHECK(statuses == std::vector{503, 200});
}
