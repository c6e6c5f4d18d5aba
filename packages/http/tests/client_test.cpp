#include <sardinehinge/http/client.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <functional>
#include <limits>
#include <mutex>
#include <optional>
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

    /// Waits until the client has reset the connection that the script keeps open.
    bool awaitReset()
    {
        for (int wait = 0; wait < 2000; ++wait) {
            {
                const std::lock_guard guard(m_mutex);
                boost::system::error_code error;
                std::array<char, 65'536> buffer{};
                while (!m_kept.empty() && !error) {
                    m_kept.front().non_blocking(true, error);
                    m_kept.front().read_some(boost::asio::buffer(buffer), error);
                }
                if (error == boost::asio::error::connection_reset)
                    return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return false;
    }

    std::atomic<int> closed = 0; ///< Connections that the script closed.
    std::atomic<int> requests = 0;

private:
    void run()
    {
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
                const std::lock_guard guard(m_mutex);
                m_kept.push_back(std::move(socket));
            } else {
                socket.close(error);
                ++closed;
            }
        }
    }

    Script m_script;
    std::mutex m_mutex;
    std::atomic<bool> m_isStopped = false;
    boost::asio::io_context m_context;
    std::vector<tcp::socket> m_kept; ///< Guarded by m_mutex.
    tcp::acceptor m_acceptor;
    std::thread m_thread;
};

/// Accepts connections and serves each on a thread of its own.
class ThreadedPeer
{
public:
    using Serve = std::function<void(tcp::socket &socket, int index)>; ///< `index` counts connections from 0.

    explicit ThreadedPeer(Serve serve)
        : m_serve(std::move(serve))
        , m_acceptor(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , m_thread([this] { run(); })
    {
    }

    ~ThreadedPeer()
    {
        m_isStopped = true;
        boost::system::error_code ignored;
        boost::asio::io_context context;
        tcp::socket(context).connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
        for (std::thread &each : m_threads)
            each.join();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }
    int connections() const { return m_connections; }
    bool isStopped() const { return m_isStopped; }

private:
    void run()
    {
        while (true) {
            boost::system::error_code error;
            auto socket = std::make_shared<tcp::socket>(m_context);
            m_acceptor.accept(*socket, error);
            if (error || m_isStopped)
                return;
            m_threads.emplace_back([this, socket, index = m_connections++] { m_serve(*socket, index); });
        }
    }

    Serve m_serve;
    std::atomic<bool> m_isStopped = false;
    std::atomic<int> m_connections = 0;
    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::vector<std::thread> m_threads;
    std::thread m_thread;
};

/// Answers each request with `head` and then `repeated`, without end or `rounds` times, until the client closes.
class EndlessPeer
{
public:
    EndlessPeer(std::string head, std::string repeated, bool isSlow, int rounds = std::numeric_limits<int>::max())
        : m_head(std::move(head))
        , m_repeated(std::move(repeated))
        , m_isSlow(isSlow)
        , m_rounds(rounds)
        , m_peer([this](tcp::socket &socket, int) { write(socket); })
    {
    }

    std::string address() const { return m_peer.address(); }
    std::size_t bytesSent() const { return m_bytesSent; }
    /// Waits for the client to reset the connection.
    bool hasSeenReset() const
    {
        for (int wait = 0; wait < 2000 && !m_isReset; ++wait)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        return m_isReset;
    }

private:
    void write(tcp::socket &socket)
    {
        boost::system::error_code error;
        char buffer[4096];
        socket.read_some(boost::asio::buffer(buffer), error);
        m_bytesSent += boost::asio::write(socket, boost::asio::buffer(m_head), error);
        std::string block = m_repeated;
        while (!m_isSlow && m_rounds > 1 && block.size() < 16'384)
            block += m_repeated;
        for (int round = 0; round < m_rounds && !error && !m_peer.isStopped(); ++round) {
            m_bytesSent += boost::asio::write(socket, boost::asio::buffer(block), error);
            if (m_isSlow)
                std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
        if (!error)
            socket.read_some(boost::asio::buffer(buffer), error);
        m_isReset
            = m_isReset || error == boost::asio::error::connection_reset || error == boost::asio::error::broken_pipe;
    }

    std::string m_head;
    std::string m_repeated;
    bool m_isSlow;
    int m_rounds;
    std::atomic<bool> m_isReset = false;
    std::atomic<std::size_t> m_bytesSent = 0;
    ThreadedPeer m_peer; // Last: its threads use the other members.
};

/// Answers the requests of its first connection with `first`, those of later ones with `later`, in order.
class SequencePeer
{
public:
    SequencePeer(std::vector<std::string> first, std::vector<std::string> later)
        : m_first(std::move(first))
        , m_later(std::move(later))
        , m_peer([this](tcp::socket &socket, int index) { answer(socket, index == 0 ? m_first : m_later); })
    {
    }

    std::string address() const { return m_peer.address(); }
    int connections() const { return m_peer.connections(); }

private:
    static void answer(tcp::socket &socket, const std::vector<std::string> &responses)
    {
        boost::system::error_code error;
        char buffer[4096];
        for (const std::string &response : responses) {
            if (socket.read_some(boost::asio::buffer(buffer), error) == 0 || error)
                return;
            boost::asio::write(socket, boost::asio::buffer(response), error);
        }
        socket.read_some(boost::asio::buffer(buffer), error); // Until the client closes.
    }

    std::vector<std::string> m_first;
    std::vector<std::string> m_later;
    ThreadedPeer m_peer; // Last: its threads use the other members.
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
    const std::string refusal = "HTTP/1.1 503 Busy\r\nId: first\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nbusy";
    const std::string unnamed = "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nbusy";
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
