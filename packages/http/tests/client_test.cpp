#include "scriptedpeers.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace sardinehinge;
using namespace sardinehinge::http::tests;

TEST_CASE("The outcome tells how far an exchange got, and a request is sent once")
{
    using Outcome = http::ExchangeOutcome;
    const auto script = GENERATE(values<Script>({
        {"complete response", true, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true, Outcome::Complete},
        {"complete response with Connection: close", true,
         "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", true, Outcome::Complete},
        {"response without body", true, "HTTP/1.1 204 No Content\r\n\r\n", true, Outcome::Complete},
        {"closed after reading", true, "", true, Outcome::NoResponse},
        {"no response before the timeout", true, "", false, Outcome::NoResponse},
        {"truncated body", true, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok", true, Outcome::TruncatedResponse},
        {"truncated header", true, "HTTP/1.1 200 OK\r\nConte", true, Outcome::TruncatedResponse},
        {"close-delimited body", true, "HTTP/1.1 200 OK\r\n\r\nmaybe whole", true, Outcome::TruncatedResponse},
        {"truncated chunks", true, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", true,
         Outcome::TruncatedResponse},
        {"response stalls", true, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok", false, Outcome::TruncatedResponse},
    }));
    INFO(script.name);
    ScriptedPeer peer(script);
    const http::ExchangeResult end = exchange(peer.address());
    CHECK(end.outcome == script.outcome);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    CHECK(peer.requests == 1);
}

TEST_CASE("A peer that can't be reached is distinguished from one that may have received the request")
{
    std::string address;
    {
        ScriptedPeer stopped({});
        address = stopped.address();
    }
    CHECK(exchange(address).outcome == http::ExchangeOutcome::ConnectionRefused);
    CHECK(exchange("no address").outcome == http::ExchangeOutcome::NotSent);
}

TEST_CASE("An idle connection that the peer has closed isn't reused")
{
    ScriptedPeer peer({"closes in spite of keep-alive", true, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true});
    boost::asio::io_context context;
    http::Client client(context);
    for (int round = 0; round < 3; ++round) {
        http::ExchangeResult end;
        client.send(peer.address(), {"POST", "/correct", {}, "", {}}, timeout,
                    [&](http::ExchangeResult got) { end = std::move(got); });
        context.restart();
        context.run_for(std::chrono::milliseconds(100));
        CHECK(end.outcome == http::ExchangeOutcome::Complete);
        // run_for() returns after the response, possibly before the peer has closed the connection.
        while (peer.closed <= round)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    CHECK(peer.requests == 3);
}

TEST_CASE("A request that hasn't arrived in time is withdrawn")
{
    // The peer's host accepts the connection but acknowledges no more than its full buffers hold.
    const bool isCancelled = GENERATE(true, false);
    ScriptedPeer peer({"never reads", false, "", false});
    boost::asio::io_context context;
    http::Client client(context);
    http::ExchangeOptions options;
    options.timeout = isCancelled ? std::chrono::seconds(3) : std::chrono::milliseconds(300);
    options.arrivalTimeout = std::chrono::milliseconds(200);
    http::ExchangeResult end;
    const auto id = client.send(peer.address(), {"POST", "/", {}, std::string(30'000'000, 'x'), {}}, options,
                                [&](http::ExchangeResult got) { end = std::move(got); });
    context.run_for(std::chrono::milliseconds(100));
    if (isCancelled)
        client.cancel(id);
    context.restart();
    context.run_for(std::chrono::seconds(2));
    CHECK(end.outcome == http::ExchangeOutcome::NoResponse);
    CHECK(client.connections() == 0);
    CHECK(peer.awaitReset());
}

TEST_CASE("An exchange that is cancelled before its request is sent sends nothing")
{
    struct Case
    {
        const char *name;
        bool isConnected; ///< When it is cancelled.
        http::ExchangeOutcome outcome;
    };
    const auto [name, isConnected, outcome] = GENERATE(values<Case>({
        {"while connecting", false, http::ExchangeOutcome::NotSent},
        {"after the request was sent", true, http::ExchangeOutcome::Complete},
    }));
    INFO(name);
    ScriptedPeer peer({name, true, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false});
    boost::asio::io_context context;
    http::Client client(context);
    http::ExchangeResult end;
    const auto id = client.send(peer.address(), {"POST", "/correct", {}, "", {}}, timeout,
                                [&](http::ExchangeResult got) { end = std::move(got); });
    while (isConnected && peer.requests == 0)
        context.run_one_for(std::chrono::milliseconds(1));
    client.cancelUnsent(id);
    context.restart();
    context.run_for(std::chrono::seconds(1));
    CHECK(end.outcome == outcome);
    CHECK(peer.requests == (isConnected ? 1 : 0));
}

TEST_CASE("A Keep-Alive header of any value leaves connections usable for at most its time")
{
    struct Case
    {
        const char *keepAlive;
        bool isReused;
    };
    const auto [keepAlive, isReused] = GENERATE(values<Case>({
        {"timeout=5", true},
        {"timeout=0", false},
        {"timeout=-5", false},
        {"timeout=none", false},
        {"timeout=4000000000", true},
        {"timeout=99999999999999999999999", true},
        {"max=5", true},
    }));
    INFO(keepAlive);
    const std::string response
        = std::string("HTTP/1.1 200 OK\r\nKeep-Alive: ") + keepAlive + "\r\nContent-Length: 2\r\n\r\nok";
    SequencePeer peer({response, response}, {response});
    boost::asio::io_context context;
    http::Client client(context);
    for (int round = 0; round < 2; ++round) {
        client.send(peer.address(), {"GET", "/", {}, {}, {}}, timeout,
                    [](const http::ExchangeResult &got) { CHECK(got.outcome == http::ExchangeOutcome::Complete); });
        context.restart();
        context.run_for(std::chrono::milliseconds(100));
    }
    CHECK(peer.connections() == (isReused ? 1 : 2));
}

TEST_CASE("An exchange that may open no connection uses one that was opened before, or sends nothing")
{
    boost::asio::io_context context;
    ScriptedPeer peer({"answers", true, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false});
    http::Client client(context);
    http::ExchangeOptions options;
    options.timeout = timeout;
    options.opensConnections = false;
    std::vector<http::ExchangeOutcome> outcomes;
    const auto send = [&](const std::string &address) {
        client.send(address, {"POST", "/", {}, {}, {}}, options,
                    [&](const http::ExchangeResult &end) { outcomes.push_back(end.outcome); });
        context.restart();
        context.run();
    };
    std::vector<http::ConnectOutcome> opened;
    const auto connect = [&](const std::string &address) {
        client.connect(address, [&](http::ConnectOutcome outcome) { opened.push_back(outcome); });
        context.restart();
        context.run();
    };
    send(peer.address());
    CHECK(peer.requests == 0);
    connect(peer.address());
    send(peer.address());
    CHECK(peer.requests == 1);
    std::string closedAddress;
    {
        const tcp::acceptor closed(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
        closedAddress = "127.0.0.1:" + std::to_string(closed.local_endpoint().port());
    }
    connect(closedAddress);
    connect("not an address");
    using Outcome = http::ExchangeOutcome;
    CHECK(outcomes == std::vector{Outcome::NoOpenConnection, Outcome::Complete});
    using Connect = http::ConnectOutcome;
    CHECK(opened == std::vector{Connect::Open, Connect::Refused, Connect::Failed});
}
