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

TEST_CASE("A response with a blank or a control byte in the name of a header is broken, wherever the line stands")
{
    const std::string line = GENERATE(values<std::string>({
        " Name: x",
        "\tName: x",
        "Na me: x",
        "Name : x",
        "Name\t: x",
        "Na\x01me: x",
        std::string("Na\0me: x", 8),
        "Na\x7fme: x",
        "\x1fName: x",
        "Na\rme: x",
        ": x",
        " : x",
        "Name",
        " ",
        " Content-Length: 20",
        "Content-Length : 20",
        "Content-Length\t: 20",
        " Transfer-Encoding: chunked",
        "Transfer-Encoding : chunked",
        " Id: other",
    }));
    const auto [place, before, after] = GENERATE(table<const char *, std::string, std::string>({
        {"first", "HTTP/1.1 200 OK\r\n", "\r\nId: mine\r\nContent-Length: 2\r\n\r\nok"},
        {"amid", "HTTP/1.1 200 OK\r\nId: mine\r\n", "\r\nContent-Length: 2\r\n\r\nok"},
        {"last", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nId: mine\r\n", "\r\n\r\nok"},
        {"last, without a length", "HTTP/1.1 200 OK\r\nId: mine\r\n", "\r\n\r\nok"},
    }));
    const Reader reader = GENERATE(Reader::OfTargets, Reader::OfOthers);
    INFO("line \"" << line << "\" " << place);
    const auto end = read(before + line + after, reader);
    CHECK(end.outcome == http::ExchangeOutcome::TruncatedResponse);
    CHECK(end.response.headers.empty());
}

TEST_CASE("A response is judged alike if it comes byte by byte")
{
    const auto [response, outcome] = GENERATE(table<std::string, http::ExchangeOutcome>({
        {"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok", http::ExchangeOutcome::Complete},
        {"HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\n",
         http::ExchangeOutcome::Complete},
        {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok",
         http::ExchangeOutcome::Complete},
        {"HTTP/1.1 200 OK\r\nId: mine\r\nA: b\r\n Content-Length: 9\r\n\r\nok",
         http::ExchangeOutcome::TruncatedResponse},
        {"HTTP/1.1 200 OK\r\n Id: mine\r\nContent-Length: 2\r\n\r\nok", http::ExchangeOutcome::TruncatedResponse},
        {"HTTP/1.1 000 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok", http::ExchangeOutcome::TruncatedResponse},
    }));
    INFO(response);
    ThreadedPeer peer([&response = response](tcp::socket &socket, int) {
        boost::system::error_code error;
        char buffer[4096];
        socket.set_option(tcp::no_delay(true), error);
        socket.read_some(boost::asio::buffer(buffer), error);
        for (const char byte : response) {
            boost::asio::write(socket, boost::asio::buffer(&byte, 1), error);
            std::this_thread::sleep_for(std::chrono::microseconds(100));
        }
        socket.close(error);
    });
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
    CHECK(end.response.body == (outcome == http::ExchangeOutcome::Complete ? "ok" : ""));
}

TEST_CASE("Interim responses don't pass for the response that follows them")
{
    struct Case
    {
        std::string interim;
        http::ExchangeOutcome outcome;
    };
    const auto [interim, outcome] = GENERATE(values<Case>({
        {"HTTP/1.1 100 Continue\r\n\r\n", http::ExchangeOutcome::Complete},
        {"HTTP/1.1 100 Continue\r\nId: mine\r\n\r\n", http::ExchangeOutcome::Complete},
        {"HTTP/1.1 103 Early Hints\r\nId: mine\r\nContent-Length: 2\r\n\r\n", http::ExchangeOutcome::Complete},
        // Nobody asked for another protocol: what follows isn't HTTP.
        {"HTTP/1.1 101 Switching Protocols\r\nId: mine\r\n\r\n", http::ExchangeOutcome::TruncatedResponse},
    }));
    const Reader reader = GENERATE(Reader::OfTargets, Reader::OfOthers);
    INFO(interim);
    const auto end = read(interim + "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok", reader);
    CHECK(end.outcome == outcome);
    CHECK(end.response.status == 200);
    CHECK(end.response.body == (outcome == http::ExchangeOutcome::Complete ? "ok" : ""));
}

TEST_CASE("A response with another transfer coding than chunked is broken, since its body isn't the sender's")
{
    const auto [version, headers, isComplete] = GENERATE(table<std::string, std::string, bool>({
        {"1.1", "Transfer-Encoding: chunked\r\n", true},
        {"1.1", "Transfer-Encoding: Chunked \r\n", true},
        {"1.1", "Transfer-Encoding: gzip, chunked\r\n", false},
        {"1.1", "Transfer-Encoding: chunked, gzip\r\n", false},
        {"1.1", "Transfer-Encoding: chunked, chunked\r\n", false},
        {"1.1", "Transfer-Encoding: gzip\r\n", false},
        {"1.1", "Transfer-Encoding: xchunked\r\n", false},
        {"1.1", "Transfer-Encoding: chunked;a=b\r\n", false},
        {"1.1", "Transfer-Encoding: identity\r\n", false},
        {"1.1", "Transfer-Encoding:\r\n", false},
        {"1.1", "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", false},
        {"1.1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", false},
        {"1.1", "Transfer-Encoding: gzip\r\nContent-Length: 12\r\n", false},
        {"1.1", "Transfer-Encoding: chunked\r\nContent-Length: 12\r\n", false},
        {"1.1", "Content-Length: 12\r\nTransfer-Encoding: chunked\r\n", false},
        {"1.0", "Transfer-Encoding: chunked\r\n", false},
    }));
    const Reader reader = GENERATE(Reader::OfTargets, Reader::OfOthers);
    INFO("HTTP/" << version << ", " << headers);
    const auto end = read("HTTP/" + version + " 200 OK\r\nId: mine\r\n" + headers + "\r\n2\r\nok\r\n0\r\n\r\n", reader);
    CHECK(end.outcome == (isComplete ? http::ExchangeOutcome::Complete : http::ExchangeOutcome::TruncatedResponse));
    CHECK(end.response.body == (isComplete ? "ok" : ""));
}

TEST_CASE("Fields of a trailer aren't taken for headers")
{
    const std::string trailer = GENERATE(values<std::string>({
        "Id: mine",
        "Signature: x",
        "Not-Executed: 1",
    }));
    const bool hasId = GENERATE(true, false);
    INFO(trailer << (hasId ? "" : ", no id in the head"));
    const auto end = read("HTTP/1.1 200 OK\r\n" + std::string(hasId ? "Id: mine\r\n" : "")
                              + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + trailer + "\r\n\r\n",
                          Reader::OfTargets);
    CHECK(end.outcome == (hasId ? http::ExchangeOutcome::Complete : http::ExchangeOutcome::NoResponse));
    const std::string name = trailer.substr(0, trailer.find(':'));
    CHECK(std::count_if(end.response.headers.begin(), end.response.headers.end(),
                        [&](const auto &header) { return header.first == name; })
          == (hasId && name == "Id" ? 1 : 0));
}

TEST_CASE("A response that can't have a body but announces one is broken")
{
    const auto [head, isComplete] = GENERATE(table<std::string, bool>({
        {"204 No Content\r\nId: mine\r\n", true},
        {"204 No Content\r\nId: mine\r\nContent-Length: 0\r\n", true},
        {"204 No Content\r\nId: mine\r\nContent-Length: 2\r\n", false},
        {"204 No Content\r\nId: mine\r\nTransfer-Encoding: chunked\r\n", false},
        // The length that the body would have had.
        {"304 Not Modified\r\nId: mine\r\nContent-Length: 2\r\n", true},
    }));
    INFO(head);
    const auto end = read("HTTP/1.1 " + head + "\r\n", Reader::OfTargets, false);
    CHECK(end.outcome == (isComplete ? http::ExchangeOutcome::Complete : http::ExchangeOutcome::TruncatedResponse));
    CHECK(end.response.body.empty());
}

TEST_CASE("A response that names a second request besides its own belongs to neither")
{
    const auto [ids, outcome] = GENERATE(table<std::string, http::ExchangeOutcome>({
        {"Id: mine\r\nId: mine\r\n", http::ExchangeOutcome::Complete},
        {"Id: mine\r\nId: other\r\n", http::ExchangeOutcome::NoResponse},
        {"Id: other\r\nId: mine\r\n", http::ExchangeOutcome::NoResponse},
    }));
    INFO(ids);
    const auto end = read("HTTP/1.1 200 OK\r\n" + ids + "Content-Length: 2\r\n\r\nok", Reader::OfTargets);
    CHECK(end.outcome == outcome);
}

TEST_CASE("Bytes that are no head count as a response that began")
{
    const std::string bytes = GENERATE(values<std::string>({
        "HTTP/1.1 20 X\r\nId: mine\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 2000 X\r\nId: mine\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 -20 X\r\nId: mine\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/2.0 200 X\r\nId: mine\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/0.9 200 X\r\nId: mine\r\nContent-Length: 2\r\n\r\nok",
        "http/1.1 200 X\r\nId: mine\r\nContent-Length: 2\r\n\r\nok",
        "\r\nHTTP/1.1 200 X\r\nId: mine\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 X\nId: mine\nContent-Length: 2\n\nok",
        "HTTP/1.1 200 O\x01K\r\nId: mine\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nId: mi\x01ne\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: -2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 99999999999999999999\r\n\r\nok",
        "no response at all",
    }));
    const Reader reader = GENERATE(Reader::OfTargets, Reader::OfOthers);
    INFO(bytes);
    CHECK(read(bytes, reader).outcome == http::ExchangeOutcome::TruncatedResponse);
}
