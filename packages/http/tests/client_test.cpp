#include <sardinehinge/http/client.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <thread>

using namespace sardinehinge;
using boost::asio::ip::tcp;

namespace {

constexpr auto timeout = std::chrono::milliseconds(300);

/// What a peer does with one connection.
struct Script
{
    std::string name;
    bool reads = true; ///< Reads a request first.
    std::string response;
    bool closes = true; ///< Closes the connection after the response.
    http::ExchangeOutcome outcome = http::ExchangeOutcome::Complete;
};

/// Accepts connections one by one, runs the script on each and counts the requests read.
class ScriptedPeer
{
public:
    explicit ScriptedPeer(Script script)
        : m_script(std::move(script))
        , m_acceptor(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , m_thread([this] { run(); })
    {
    }

    ~ScriptedPeer()
    {
        m_isStopped = true;
        boost::system::error_code ignored;
        boost::asio::io_context context;
        tcp::socket(context).connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

    std::atomic<int> closed = 0; ///< Connections that the script closed.
    std::atomic<int> requests = 0;

private:
    void run()
    {
        std::vector<tcp::socket> kept;
        while (true) {
            boost::system::error_code error;
            tcp::socket socket(m_context);
            m_acceptor.accept(socket, error);
            if (error || m_isStopped)
                return;
            if (m_script.reads) {
                char buffer[4096];
                socket.read_some(boost::asio::buffer(buffer), error);
                requests += error ? 0 : 1;
            }
            boost::asio::write(socket, boost::asio::buffer(m_script.response), error);
            if (!m_script.closes) {
                kept.push_back(std::move(socket));
            } else {
                socket.close(error);
                ++closed;
            }
        }
    }

    Script m_script;
    std::atomic<bool> m_isStopped = false;
    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::thread m_thread;
};

http::ExchangeResult exchange(const std::string &address)
{
    boost::asio::io_context context;
    http::Client client(context);
    http::ExchangeResult end;
    client.send(address, {"POST", "/correct", {}, "price", {}}, timeout,
                [&](http::ExchangeResult got) { end = std::move(got); });
    context.run_for(std::chrono::seconds(5));
    return end;
}

} // namespace

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
