#include "runningserver.h"

using namespace sardinehinge;
using namespace sardinehinge::http::tests;

namespace {

std::string get(const std::string &target, const std::string &headers = {})
{
    return "GET " + target + " HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n";
}

std::string post(const std::string &target)
{
    return "POST " + target + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
}

/// The targets that the bodies of `text` name, in order, and `!` after each that closes its connection.
std::string answersIn(const std::string &text)
{
    std::string answers;
    for (std::size_t at = text.find("HTTP/1.1 "); at != std::string::npos;) {
        const std::size_t next = text.find("HTTP/1.1 ", at + 1);
        const std::string response = text.substr(at, next == std::string::npos ? next : next - at);
        const std::size_t body = response.find("\r\n\r\n");
        const std::string status = response.substr(9, 3);
        const bool closes = response.find("Connection: close") != std::string::npos;
        answers += (answers.empty() ? "" : " ") + (status == "200" ? response.substr(body + 4) : status)
            + (closes ? "!" : "");
        at = next;
    }
    return answers;
}

std::vector<std::string> targets(int count)
{
    std::vector<std::string> all;
    for (int number = 1; number <= count; ++number)
        all.push_back("/kept" + std::to_string(number));
    return all;
}

} // namespace

TEST_CASE("Requests of a connection that may run beside each other do, and are answered in order")
{
    RunningServer running;
    RawCaller caller(running.server.port());
    caller.send(get("/kept1") + get("/kept2") + get("/kept3"));
    REQUIRE(waitFor([&] { return running.handler.started() == targets(3); }));
    for (const char *target : {"/kept3", "/kept2", "/kept1"})
        running.handler.finish(target);
    CHECK(answersIn(caller.receive("/kept3")) == "/kept1 /kept2 /kept3");
}

TEST_CASE("A request that arrives while another is in progress doesn't cut it")
{
    const auto depth = GENERATE(as<std::size_t>(), 1, 16);
    INFO(depth);
    http::ServerLimits limits = smallLimits();
    limits.pipelinedRequests = depth;
    RunningServer running(limits);
    RawCaller caller(running.server.port());
    caller.send(post("/kept1"));
    REQUIRE(waitFor([&] { return running.handler.started() == targets(1); }));
    caller.send(post("/kept2"));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    running.handler.finish("/kept1");
    REQUIRE(waitFor([&] { return running.handler.started() == targets(2); }));
    running.handler.finish("/kept2");
    CHECK(answersIn(caller.receive("/kept2")) == "/kept1 /kept2");
    CHECK(running.handler.disconnected == 0);
}

TEST_CASE("A connection is read no further than its depth until a response was written")
{
    http::ServerLimits limits = smallLimits();
    limits.pipelinedRequests = 3;
    RunningServer running(limits);
    RawCaller caller(running.server.port());
    for (const std::string &target : targets(5))
        caller.send(get(target));
    REQUIRE(waitFor([&] { return running.handler.started() == targets(3); }));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    CHECK(running.handler.started() == targets(3));
    running.handler.finish("/kept1");
    CHECK(waitFor([&] { return running.handler.started() == targets(4); }));
}

TEST_CASE("A request that may not run beside others is handled after the responses before it")
{
    RunningServer running;
    RawCaller caller(running.server.port());
    caller.send(get("/kept1") + post("/kept2") + get("/kept3"));
    REQUIRE(waitFor([&] { return running.handler.started() == targets(1); }));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    REQUIRE(running.handler.started() == targets(1));
    running.handler.finish("/kept1");
    REQUIRE(waitFor([&] { return running.handler.started() == targets(2); }));
    CHECK(answersIn(caller.receive("/kept1")) == "/kept1");
    running.handler.finish("/kept2");
    REQUIRE(waitFor([&] { return running.handler.started() == targets(3); }));
    running.handler.finish("/kept3");
    CHECK(answersIn(caller.receive("/kept3")) == "/kept2 /kept3");
}

TEST_CASE("A drain answers all requests that were started, and only these")
{
    RunningServer running;
    RawCaller caller(running.server.port());
    caller.send(get("/kept1") + get("/kept2") + get("/kept3") + post("/kept4") + get("/kept5"));
    REQUIRE(waitFor([&] { return running.handler.started() == targets(3); }));
    boost::asio::post(running.context, [&] { running.server.drain(); });
    caller.send(get("/kept6"));
    for (const char *target : {"/kept2", "/kept3", "/kept1"})
        running.handler.finish(target);
    CHECK(answersIn(caller.receive()) == "/kept1 /kept2 /kept3!");
    CHECK(running.handler.started() == targets(3));
    CHECK(running.handler.disconnected == 0);
    caller.close();
    CHECK(waitFor([&] { return running.server.connections() == 0; }));
}

TEST_CASE("A caller that leaves with three requests in progress is noticed for each")
{
    struct Case
    {
        const char *name;
        std::size_t depth;
        std::string unread; ///< Sent behind, and larger than what is read ahead.
    };
    const auto [name, depth, unread] = GENERATE(values<Case>({
        {"nothing behind them", 16, ""},
        {"a part of a request behind them", 16, "GET /ke"},
        {"requests behind them that aren't read", 3, get("/kept4") + get("/kept5")},
        {"much behind them that isn't read", 3, get("/kept4", "X: " + std::string(65'536, 'x') + "\r\n")},
    }));
    INFO(name);
    http::ServerLimits limits = smallLimits();
    limits.pipelinedRequests = depth;
    limits.readTimeout = std::chrono::seconds(10);
    RunningServer running(limits);
    RawCaller caller(running.server.port());
    caller.send(get("/kept1") + get("/kept2") + get("/kept3") + unread);
    REQUIRE(waitFor([&] { return running.handler.started() == targets(3); }));
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    caller.socket().shutdown(tcp::socket::shutdown_send);
    CHECK(waitFor([&] { return running.handler.disconnected == 3; }));
    CHECK(waitFor([&] { return running.server.connections() == 0; }));
}

TEST_CASE("What isn't a request is rejected in its place, and what follows isn't read")
{
    const auto [bad, status] = GENERATE(values<std::pair<std::string, std::string>>({
        {"nonsense\r\n\r\n", "400"},
        {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n", "413"},
        {"GET / HTTP/1.1\r\nHost", "408"},
    }));
    INFO(bad);
    RunningServer running;
    RawCaller caller(running.server.port());
    caller.send(get("/kept1") + get("/kept2") + bad);
    REQUIRE(waitFor([&] { return running.handler.started() == targets(2); }));
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    caller.send(get("/kept3"));
    running.handler.finish("/kept2");
    running.handler.finish("/kept1");
    CHECK(answersIn(caller.receive()) == "/kept1 /kept2 " + status + "!");
    CHECK(running.handler.started() == targets(2));
}

TEST_CASE("Nothing behind a request that closes its connection is handled")
{
    const auto last = GENERATE(as<std::string>(), "GET /kept2 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
                               "GET /kept2 HTTP/1.0\r\nHost: x\r\n\r\n");
    INFO(last);
    RunningServer running;
    RawCaller caller(running.server.port());
    caller.send(get("/kept1") + last + get("/kept3"));
    REQUIRE(waitFor([&] { return running.handler.started() == targets(2); }));
    running.handler.finish("/kept2");
    running.handler.finish("/kept1");
    CHECK(answersIn(caller.receive()) == "/kept1 /kept2!");
    CHECK(running.handler.started() == targets(2));
}

TEST_CASE("The last response arrives whole although input behind it is left unread")
{
    // More than the socket buffers of the connection hold, so that it is still on its way when the server closes.
    const std::string body(4'000'000, 'b');
    RunningServer running;
    RawCaller caller(running.server.port(), 65'536);
    caller.send(get("/kept1", "Connection: close\r\n") + get("/kept2") + get("/kept3"));
    REQUIRE(waitFor([&] { return running.handler.started() == targets(1); }));
    caller.send(std::string(30'000, 'x'));
    running.handler.finish("/kept1", body);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    caller.send(std::string(30'000, 'x'));
    CHECK(caller.receiveBytes(2 * body.size()) > body.size());
}

TEST_CASE("A caller may read slowly, but not stop")
{
    struct Case
    {
        const char *name;
        std::chrono::milliseconds pause; ///< Before the first piece, and between two if the response arrives whole.
        bool isWhole;
    };
    const auto [name, pause, isWhole] = GENERATE(values<Case>({
        {"in longer than the timeout, all in all", std::chrono::milliseconds(20), true},
        {"with a pause longer than the timeout", std::chrono::milliseconds(1500), false},
    }));
    INFO(name);
    http::ServerLimits limits = smallLimits();
    limits.writeTimeout = std::chrono::milliseconds(400);
    RunningServer running(limits);
    RawCaller caller(running.server.port(), 65'536);
    caller.send(get("/kept1") + get("/kept2"));
    REQUIRE(waitFor([&] { return running.handler.started() == targets(2); }));
    const std::string body(8'000'000, 'b');
    running.handler.finish("/kept1", body);
    const auto start = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(pause);
    const std::size_t received = caller.receiveBytes(body.size(), isWhole ? pause : std::chrono::milliseconds(0));
    CHECK((received >= body.size()) == isWhole);
    if (isWhole) {
        CHECK(std::chrono::steady_clock::now() - start > limits.writeTimeout);
        CHECK(running.handler.disconnected == 0);
        return;
    }
    // The request behind it has no caller any more.
    CHECK(waitFor([&] { return running.handler.disconnected == 1; }));
    REQUIRE(waitFor([&] { return running.handler.closed().size() == 1; }));
    CHECK(running.handler.closed().front().reason == http::CloseReason::WriteFailed);
}
