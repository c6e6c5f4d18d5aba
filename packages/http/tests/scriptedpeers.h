#pragma once

#include <sardinehinge/http/client.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

/// Peers for the tests of http::Client, each on threads of its own.
namespace sardinehinge::http::tests {

using boost::asio::ip::tcp;

constexpr auto timeout = std::chrono::milliseconds(300);

/// What a peer does with one connection.
struct Script
{
    std::string name;
    bool reads = true; ///< Reads a request first.
    std::string response;
    bool closes = true; ///< Closes the connection after the response.
    ExchangeOutcome outcome = ExchangeOutcome::Complete;
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

inline ExchangeResult exchange(const std::string &address)
{
    boost::asio::io_context context;
    Client client(context);
    ExchangeResult end;
    client.send(address, {"POST", "/correct", {}, "price", {}}, timeout,
                [&](ExchangeResult got) { end = std::move(got); });
    context.run_for(std::chrono::seconds(5));
    return end;
}

} // namespace sardinehinge::http::tests
