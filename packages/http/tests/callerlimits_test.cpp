#include "scriptedpeers.h"

#include <sardinehinge/http/resourceaccount.h>
#include <sardinehinge/http/server.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <future>
#include <thread>

/// What callers and targets can take of a process.
using namespace sardinehinge;
using namespace sardinehinge::http::tests;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t kib = 1024;

/// Answers with the length of the body; requests to `/never` not at all.
class LengthHandler : public http::RequestHandler
{
public:
    void handle(std::uint64_t, http::Request request, std::shared_ptr<http::Responder> responder) override
    {
        if (request.target == "/never")
            kept.emplace_back(std::move(request), std::move(responder));
        else
            responder->send({200, {}, "length " + std::to_string(request.body.size())});
        ++handled;
    }
    void callerDisconnected(std::uint64_t) override { ++disconnected; }
    http::Response rejection(int status, const std::string &detail, const std::string &) override
    {
        return {status, {}, detail};
    }

    std::atomic<int> handled = 0;
    std::atomic<int> disconnected = 0;
    std::vector<std::pair<http::Request, std::shared_ptr<http::Responder>>> kept;
};

/// A server with its own thread and an account.
class CountingServer
{
public:
    explicit CountingServer(const http::ServerLimits &limits, core::AccountLimits accountLimits)
        : account(accountLimits)
        , m_server(m_context, handler, limits, &account)
    {
        REQUIRE(core::errorIn(m_server.listen("127.0.0.1:0")) == nullptr);
        m_thread = std::thread([this] {
            const auto guard = boost::asio::make_work_guard(m_context);
            m_context.run();
        });
    }
    ~CountingServer()
    {
        m_context.stop();
        m_thread.join();
    }
    std::uint16_t port() const { return m_server.port(); }
    /// Runs `task` in the server's thread and waits for its end.
    void run(const std::function<void()> &task)
    {
        std::promise<void> done;
        boost::asio::post(m_context, [&] {
            task();
            done.set_value();
        });
        done.get_future().wait();
    }

    http::ResourceAccount account;

private:
    boost::asio::io_context m_context{1};

public:
    LengthHandler handler;

private:
    http::Server m_server;
    std::thread m_thread;
};

class BlockingCaller
{
public:
    explicit BlockingCaller(std::uint16_t port)
        : m_socket(m_context)
    {
        m_socket.connect({boost::asio::ip::address_v4::loopback(), port});
    }

    void send(const std::string &bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), ignored);
    }

    /// Returns the first bytes that arrive, or an empty string if the server closes first.
    std::string receive()
    {
        std::string all(4096, '\0');
        boost::system::error_code ignored;
        all.resize(m_socket.read_some(boost::asio::buffer(all), ignored));
        return all;
    }

    bool isClosed()
    {
        char byte = 0;
        boost::system::error_code error;
        m_socket.non_blocking(true);
        m_socket.read_some(boost::asio::buffer(&byte, 1), error);
        return error && error != boost::asio::error::would_block;
    }

private:
    boost::asio::io_context m_context;
    tcp::socket m_socket;
};

std::string postHead(const std::string &target, std::size_t length)
{
    return "POST " + target + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

http::ServerLimits limitsWith(core::Duration readTimeout)
{
    http::ServerLimits limits;
    limits.readTimeout = readTimeout;
    return limits;
}

} // namespace

TEST_CASE("A body that progresses may take longer than the read timeout")
{
    CountingServer running(limitsWith(300ms), core::accountLimitsOf(kib * kib));
    BlockingCaller caller(running.port());
    caller.send(postHead("/slow", 20 * kib));
    for (int piece = 0; piece < 20; ++piece) {
        std::this_thread::sleep_for(50ms);
        caller.send(std::string(kib, 'x'));
    }
    CHECK(caller.receive().find("length 20480") != std::string::npos);
}

TEST_CASE("A body that arrives a byte at a time is rejected with 408")
{
    CountingServer running(limitsWith(300ms), core::accountLimitsOf(kib * kib));
    BlockingCaller caller(running.port());
    caller.send(postHead("/slow", 20 * kib));
    std::atomic<bool> isOver = false;
    std::thread sender([&] {
        while (!isOver) {
            caller.send("x");
            std::this_thread::sleep_for(50ms);
        }
    });
    CHECK(caller.receive().starts_with("HTTP/1.1 408"));
    isOver = true;
    sender.join();
    CHECK(running.handler.handled == 0);
}

TEST_CASE("At the limit of connections a new one takes the place of one that waits for its caller")
{
    const std::string sent = GENERATE(as<std::string>(), "", "GET / HT", postHead("/slow", 100) + "abc");
    INFO(sent);
    http::ServerLimits limits;
    limits.connections = 4;
    CountingServer running(limits, core::accountLimitsOf(kib * kib));
    std::vector<std::unique_ptr<BlockingCaller>> callers;
    for (int count = 0; count < 4; ++count) {
        callers.push_back(std::make_unique<BlockingCaller>(running.port()));
        callers.back()->send(sent);
    }
    BlockingCaller oneMore(running.port());
    oneMore.send(postHead("/x", 0));
    CHECK(oneMore.receive().find("length 0") != std::string::npos);
    CHECK(std::count_if(callers.begin(), callers.end(), [](const auto &caller) { return caller->isClosed(); }) == 1);
}

TEST_CASE("A request without room in the account gets 503 and doesn't reach the handler; a small one is served")
{
    CountingServer running(http::ServerLimits(), core::accountLimitsOf(512 * kib));
    BlockingCaller first(running.port());
    first.send(postHead("/never", 400 * kib) + std::string(400 * kib, 'x'));
    BlockingCaller second(running.port());
    while (running.handler.handled == 0)
        std::this_thread::sleep_for(1ms);
    CHECK(running.account.bytes(core::HeldUse::RequestInWork) == 400 * kib);
    // Less than a socket's buffer, so that the response is read before the connection is reset.
    second.send(postHead("/x", 200 * kib) + std::string(100 * kib, 'x'));
    CHECK(second.receive().starts_with("HTTP/1.1 503"));
    CHECK(running.handler.handled == 1);
    BlockingCaller third(running.port());
    third.send(postHead("/x", 30 * kib) + std::string(30 * kib, 'x'));
    CHECK(third.receive().find("length 30720") != std::string::npos);
}

TEST_CASE("A body is counted as long as its request is kept, also after its caller has left")
{
    CountingServer running(http::ServerLimits(), core::accountLimitsOf(512 * kib));
    {
        BlockingCaller caller(running.port());
        caller.send(postHead("/never", 100 * kib) + std::string(100 * kib, 'x'));
        while (running.handler.handled == 0)
            std::this_thread::sleep_for(1ms);
    }
    while (running.handler.disconnected == 0)
        std::this_thread::sleep_for(1ms);
    CHECK(running.account.bytes(core::HeldUse::RequestInWork) == 100 * kib);
    running.run([&] { running.handler.kept.clear(); });
    CHECK(running.account.bytes(core::HeldUse::RequestInWork) == 0);
}

TEST_CASE("A response without room in the account is truncated, and gives back what it had")
{
    const auto [bytes, outcome] = GENERATE(table<std::size_t, http::ExchangeOutcome>({
        {400 * kib, http::ExchangeOutcome::Complete},
        {600 * kib, http::ExchangeOutcome::TruncatedResponse},
    }));
    const bool isChunked = GENERATE(false, true);
    std::ostringstream size;
    size << std::hex << bytes;
    const std::string body(bytes, 'x');
    ScriptedPeer peer({"large", true,
                       isChunked ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + size.str() + "\r\n" + body
                               + "\r\n0\r\n\r\n"
                                 : "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n" + body,
                       true});
    http::ResourceAccount account(core::accountLimitsOf(512 * kib));
    boost::asio::io_context context;
    http::Client client(context, {}, &account);
    std::optional<http::ExchangeResult> end;
    client.send(peer.address(), {"GET", "/", {}, {}, {}}, 5s, [&](http::ExchangeResult got) { end = std::move(got); });
    context.run_for(5s);
    REQUIRE(end.has_value());
    CHECK(end->outcome == outcome);
    CHECK(end->response.body == (outcome == http::ExchangeOutcome::Complete ? body : std::string()));
    CHECK(account.bytes(core::HeldUse::ArrivingResponse) == 0);
}

TEST_CASE("A shared body is sent instead of the request's own")
{
    CountingServer running(http::ServerLimits(), core::accountLimitsOf(kib * kib));
    const auto body = GENERATE(as<std::size_t>(), 0, 1, 300 * kib);
    boost::asio::io_context context;
    http::Client client(context);
    http::ExchangeResult end;
    client.send(
        "127.0.0.1:" + std::to_string(running.port()), {"POST", "/x", {}, {}, {}}, {},
        [&](http::ExchangeResult got) { end = std::move(got); }, std::make_shared<const std::string>(body, 'x'));
    context.run_for(5s);
    CHECK(end.response.body == "length " + std::to_string(body));
}
