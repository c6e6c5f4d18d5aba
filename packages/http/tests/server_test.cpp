#include "runningserver.h"

using namespace sardinehinge;
using namespace sardinehinge::http::tests;

TEST_CASE("Pipelined requests get their responses in order even if the first one is slow")
{
    RunningServer running;
    RawCaller caller(running.server.port());
    caller.send("GET /slow HTTP/1.1\r\nHost: x\r\n\r\nGET /second HTTP/1.1\r\nHost: x\r\n\r\n");
    const std::string responses = caller.receive("/second");
    REQUIRE(responses.find("slow") != std::string::npos);
    REQUIRE(responses.find("/second") != std::string::npos);
    CHECK(responses.find("slow") < responses.find("/second"));
}

TEST_CASE("A disconnected caller is detected, and its late response doesn't affect other callers")
{
    RunningServer running;
    for (int round = 0; round < 5; ++round) {
        RawCaller caller(running.server.port());
        caller.send("GET /slow HTTP/1.1\r\nHost: x\r\n\r\n");
        REQUIRE(waitFor([&] { return running.handler.handled == round + 1; }));
        caller.close();
    }
    CHECK(waitFor([&] { return running.handler.disconnected == 5; }));
    RawCaller caller(running.server.port());
    caller.send("GET /after HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(caller.receive("/after").find("200 OK") != std::string::npos);
}

TEST_CASE("Ambiguous or oversized requests are rejected without reaching the handler")
{
    const std::string start = "POST / HTTP/1.1\r\nHost: x\r\n";
    const auto [request, status] = GENERATE_COPY(values<std::pair<std::string, std::string>>({
        {start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
        {start + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", "400"},
        {start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400"},
        {start + "Content-Length: -1\r\n\r\n", "400"},
        {start + "Content-Length: 1x\r\n\r\na", "400"},
        {start + "Transfer-Encoding: gzip\r\n\r\n", "400"},
        {start + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "400"},
        {start + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
        {start + "Bad Name: x\r\n\r\n", "400"},
        {"nonsense\r\n\r\n", "400"},
        {"GET / HTTP/3.0\r\nHost: x\r\n\r\n", "400"},
        {start + "Content-Length: 5000\r\n\r\n", "413"},
        {start + "Content-Length: 99999999999999\r\n\r\n", "413"},
        {start + "X: " + std::string(4000, 'x') + "\r\n\r\n", "431"},
    }));
    INFO(request.substr(0, 120));
    RunningServer running;
    RawCaller caller(running.server.port());
    caller.send(request);
    const std::string response = caller.receive();
    CHECK(response.substr(0, 12) == "HTTP/1.1 " + status);
    CHECK(running.handler.handled == 0);
}

TEST_CASE("A folded header line reaches the handler as one value, as RFC 9112 allows")
{
    RunningServer running;
    RawCaller caller(running.server.port());
    caller.send("GET /folded HTTP/1.1\r\nHost: x\r\nX: a\r\n b\r\n\r\n");
    CHECK(caller.receive("/folded").find("200 OK") != std::string::npos);
    CHECK(running.handler.handled == 1);
}

TEST_CASE("The connection of an incomplete request is closed after the read timeout")
{
    const auto incomplete
        = GENERATE(as<std::string>(), "GET / HT", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc");
    RunningServer running;
    RawCaller caller(running.server.port());
    caller.send(incomplete);
    const auto start = std::chrono::steady_clock::now();
    caller.receive();
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(2));
    CHECK(running.handler.handled == 0);
}

TEST_CASE("A chunked body reaches the handler completely")
{
    RunningServer running;
    RawCaller caller(running.server.port());
    caller.send("POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    CHECK(caller.receive("abcde").find("/c abcde") != std::string::npos);
}

TEST_CASE("Connections above the limit are closed on accept")
{
    RunningServer running;
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int count = 0; count < 4; ++count) {
        callers.push_back(std::make_unique<RawCaller>(running.server.port()));
        callers.back()->send("GET /never HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    REQUIRE(waitFor([&] { return running.handler.handled == 4; }));
    RawCaller oneMore(running.server.port());
    oneMore.send("GET /x HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(oneMore.receive().empty());
}

TEST_CASE("A drain finishes the current request and closes idle connections")
{
    RunningServer running;
    RawCaller busy(running.server.port());
    RawCaller idle(running.server.port());
    idle.send("GET /first HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(idle.receive("/first").find("/first") != std::string::npos);
    busy.send("GET /slow HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(waitFor([&] { return running.handler.handled == 2; }));
    boost::asio::post(running.context, [&] { running.server.drain(); });
    CHECK(busy.receive("slow\n").find("slow") != std::string::npos);
    CHECK(idle.receive().empty());
}

TEST_CASE("A request that arrived in time is answered although the server ran after the idle timeout")
{
    http::ServerLimits limits = smallLimits();
    limits.idleTimeout = std::chrono::milliseconds(200);
    RunningServer running(limits);
    RawCaller caller(running.server.port());
    caller.send("GET /first HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(caller.receive("/first").find("/first") != std::string::npos);
    running.stall(std::chrono::milliseconds(400));
    caller.send("GET /second HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(caller.receive("/second").find("/second") != std::string::npos);
    // Without a request, the connection is closed.
    CHECK(caller.receive().empty());
}

TEST_CASE("A drain answers every request that has arrived, whether it was read or not")
{
    struct Case
    {
        const char *name;
        bool isKept; ///< The connection has served a request before.
        std::chrono::milliseconds sentAfter; ///< After the drain has begun.
    };
    const auto [name, isKept, sentAfter] = GENERATE(values<Case>({
        {"kept connection, request not read yet", true, std::chrono::milliseconds(0)},
        {"connection waiting to be accepted, request sent", false, std::chrono::milliseconds(0)},
        {"connection waiting to be accepted, request follows", false, std::chrono::milliseconds(250)},
    }));
    INFO(name);
    RunningServer running;
    std::unique_ptr<RawCaller> caller;
    if (isKept) {
        caller = std::make_unique<RawCaller>(running.server.port());
        caller->send("GET /first HTTP/1.1\r\nHost: x\r\n\r\n");
        REQUIRE(caller->receive("/first").find("/first") != std::string::npos);
    }
    const std::uint16_t port = running.server.port();
    boost::asio::post(running.context, [&] {
        std::this_thread::sleep_for(std::chrono::milliseconds(150));
        running.server.drain();
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    if (!isKept)
        caller = std::make_unique<RawCaller>(port);
    std::this_thread::sleep_for(sentAfter);
    caller->send("GET /last HTTP/1.1\r\nHost: x\r\n\r\n");
    const std::string response = caller->receive();
    CHECK(response.find("/last") != std::string::npos);
    CHECK(response.find("Connection: close") != std::string::npos);
    CHECK(waitFor([&] { return running.server.connections() == 0; }));
}

TEST_CASE("A request whose caller left before it was read isn't handled")
{
    RunningServer running;
    RawCaller caller(running.server.port());
    running.stall(std::chrono::milliseconds(200));
    caller.send("GET /left HTTP/1.1\r\nHost: x\r\n\r\n");
    caller.close();
    CHECK(waitFor([&] { return running.server.connections() == 0; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(250));
    CHECK(running.handler.handled == 0);
}

TEST_CASE("A connection that the server closes is reported with the reason and whether input was left")
{
    struct Case
    {
        http::CloseReason reason;
        std::string sent; ///< After a first request.
        std::uint64_t requests;
    };
    const auto [reason, sent, requests] = GENERATE(values<Case>({
        {http::CloseReason::IdleTimeout, "", 1},
        {http::CloseReason::Drain, "", 1},
        {http::CloseReason::ReadFailed, "GET /cut HT", 1},
        {http::CloseReason::CallerLeft, "GET /left HTTP/1.1\r\nHost: x\r\n\r\n", 1},
        {http::CloseReason::ConnectionLimit, "", 0},
    }));
    INFO(static_cast<int>(reason));
    http::ServerLimits limits = smallLimits();
    limits.idleTimeout = std::chrono::milliseconds(reason == http::CloseReason::IdleTimeout ? 200 : 10000);
    limits.connections = reason == http::CloseReason::ConnectionLimit ? 0 : limits.connections;
    RunningServer running(limits);
    RawCaller caller(running.server.port());
    caller.send("GET /first HTTP/1.1\r\nHost: x\r\n\r\n");
    caller.receive("/first");
    if (!sent.empty()) {
        running.stall(std::chrono::milliseconds(100));
        caller.send(sent);
        caller.close();
    }
    if (reason == http::CloseReason::Drain)
        boost::asio::post(running.context, [&] { running.server.drain(); });
    REQUIRE(waitFor([&] { return running.handler.closed().size() == 1; }));
    const http::ConnectionEnd end = running.handler.closed().front();
    CHECK(end.reason == reason);
    CHECK(end.requests == requests);
    if (reason == http::CloseReason::IdleTimeout) {
        CHECK(end.idleTime >= std::chrono::milliseconds(200));
        CHECK_FALSE(end.hasInput);
    }
}

TEST_CASE("A drain answers a connection that was accepted when it began but not yet served")
{
    boost::asio::io_context context(1);
    EchoHandler handler(context);
    http::Server server(context, handler, smallLimits());
    REQUIRE(core::errorIn(server.listen("127.0.0.1:0")) == nullptr);
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int count = 0; count < 3; ++count) {
        callers.push_back(std::make_unique<RawCaller>(server.port()));
        callers.back()->send("GET /last HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    // The reactor reports the listening socket first, then the drain is queued.
    boost::asio::post(context, [] {});
    context.poll_one();
    boost::asio::post(context, [&server] { server.drain(); });
    context.run_for(std::chrono::seconds(1));
    for (const auto &caller : callers)
        CHECK(caller->receive().find("/last") != std::string::npos);
}

TEST_CASE("A request whose rest arrived in time is answered although the server ran after the read timeout")
{
    const auto [first, rest] = GENERATE(values<std::pair<std::string, std::string>>({
        {"GET /whole HTTP/1.1\r\nHost", ": x\r\n\r\n"},
        {"POST /whole HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nab", "cd"},
        {"POST /whole HTTP/1.1\r\nHost", ": x\r\nContent-Length: 4\r\n\r\nabcd"},
    }));
    INFO(first);
    http::ServerLimits limits = smallLimits();
    limits.readTimeout = std::chrono::milliseconds(800);
    RunningServer running(limits);
    RawCaller caller(running.server.port());
    caller.send(first);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    running.stall(std::chrono::milliseconds(1200));
    caller.send(rest);
    CHECK(caller.receive("/whole").find("/whole") != std::string::npos);
}

TEST_CASE("A request that isn't complete at the read timeout is rejected with 408")
{
    const auto incomplete
        = GENERATE(as<std::string>(), "GET / HT", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc");
    RunningServer running;
    RawCaller caller(running.server.port());
    caller.send(incomplete);
    CHECK(caller.receive().substr(0, 12) == "HTTP/1.1 408");
    CHECK(running.handler.handled == 0);
}

TEST_CASE("Raised limits apply to the connections that are open")
{
    http::ServerLimits limits = smallLimits();
    limits.idleTimeout = std::chrono::milliseconds(600);
    RunningServer running(limits);
    RawCaller caller(running.server.port());
    caller.send("GET /first HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(caller.receive("/first").find("/first") != std::string::npos);
    limits.idleTimeout = std::chrono::milliseconds(2500);
    limits.headerBytes = 32 * 1024;
    boost::asio::post(running.context, [&] { running.server.setLimits(limits); });
    SECTION("a request within the raised idle timeout")
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(800));
        caller.send("GET /second HTTP/1.1\r\nHost: x\r\n\r\n");
        CHECK(caller.receive("/second").find("/second") != std::string::npos);
    }
    SECTION("a header within the raised limit")
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        caller.send("GET /second HTTP/1.1\r\nHost: x\r\nX: " + std::string(20000, 'x') + "\r\n\r\n");
        CHECK(caller.receive("/second").find("200 OK") != std::string::npos);
    }
    SECTION("no request: closed after the raised idle timeout")
    {
        const auto start = std::chrono::steady_clock::now();
        CHECK(caller.receive().empty());
        CHECK(std::chrono::steady_clock::now() - start > std::chrono::milliseconds(1500));
    }
}

TEST_CASE("A request whose handler throws is answered with 500, and the exception is reported")
{
    RunningServer running;
    RawCaller caller(running.server.port());
    caller.send("GET /throw HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(caller.receive().substr(0, 12) == "HTTP/1.1 500");
    CHECK(running.exceptions == 1);
    CHECK(running.handler.disconnected == 1);
    CHECK(waitFor([&] { return running.server.connections() == 0; }));
}
