#pragma once

#include <sardinehinge/http/server.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <future>
#include <map>
#include <mutex>
#include <thread>

/// A server on a thread of its own, and callers that send raw bytes.
namespace sardinehinge::http::tests {

using boost::asio::ip::tcp;

constexpr std::size_t pieceBytes = 128 * 1024UL; ///< That a slow caller reads at once.
constexpr auto responseTimeout = std::chrono::seconds(5);

/// Responds with the target and the body; to `/slow` after 100 ms, to `/never` not at all, to what begins with `/kept`
/// when finish() is called; `/throw` throws. GET requests for `/kept` may run beside each other.
class EchoHandler : public http::RequestHandler
{
public:
    explicit EchoHandler(boost::asio::io_context &context)
        : m_context(context)
    {
    }

    bool mayRunBeside(const http::Request &request) const override
    {
        return request.method == "GET" && request.target.starts_with("/kept");
    }

    void handle(std::uint64_t, http::Request request, std::shared_ptr<http::Responder> responder) override
    {
        ++handled;
        if (request.target == "/never") {
            kept.push_back(responder);
            return;
        }
        if (request.target.starts_with("/kept")) {
            const std::lock_guard lock(m_mutex);
            m_started.push_back(request.target);
            m_responders[request.target] = responder;
            return;
        }
        if (request.target == "/throw")
            throw std::runtime_error("unexpected");
        if (request.target != "/slow")
            return responder->send({200, {}, request.target + " " + request.body});
        auto timer = std::make_shared<boost::asio::steady_timer>(m_context, std::chrono::milliseconds(100));
        timer->async_wait([timer, responder](const boost::system::error_code &) {
            responder->send({200, {}, "slow"});
        });
    }

    void callerDisconnected(std::uint64_t) override { ++disconnected; }

    void connectionClosed(const http::ConnectionEnd &end) override
    {
        const std::lock_guard lock(m_mutex);
        m_closed.push_back(end);
    }

    std::vector<http::ConnectionEnd> closed() const
    {
        const std::lock_guard lock(m_mutex);
        return m_closed;
    }

    http::Response rejection(int status, const std::string &detail, const std::string &) override
    {
        return {status, {}, detail};
    }

    /// Targets that begin with `/kept`, in the order in which they were handled.
    std::vector<std::string> started() const
    {
        const std::lock_guard lock(m_mutex);
        return m_started;
    }

    /// Responds to a kept target with `body`, or with the target.
    void finish(const std::string &target, const std::string &body = {})
    {
        boost::asio::post(m_context, [this, target, body] {
            const auto responder = [&] {
                const std::lock_guard lock(m_mutex);
                return m_responders.at(target);
            }();
            responder->send({200, {}, body.empty() ? target : body});
        });
    }

    std::atomic<int> handled = 0;
    std::atomic<int> disconnected = 0;
    std::vector<std::shared_ptr<http::Responder>> kept;

private:
    boost::asio::io_context &m_context;
    mutable std::mutex m_mutex;
    std::vector<http::ConnectionEnd> m_closed;
    std::vector<std::string> m_started;
    std::map<std::string, std::shared_ptr<http::Responder>> m_responders;
};

inline http::ServerLimits smallLimits()
{
    http::ServerLimits limits;
    limits.headerBytes = 2048;
    limits.bodyBytes = 4096;
    limits.connections = 4;
    limits.readTimeout = std::chrono::milliseconds(200);
    return limits;
}

/// A server with its own thread.
class RunningServer
{
public:
    explicit RunningServer(const http::ServerLimits &limits = smallLimits())
        : handler(context)
        , server(context, handler, limits)
    {
        REQUIRE(core::errorIn(server.listen("127.0.0.1:0")) == nullptr);
        m_thread = std::thread([this] {
            const auto guard = boost::asio::make_work_guard(context);
            while (!context.stopped()) {
                try {
                    context.run();
                } catch (const std::runtime_error &) {
                    ++exceptions;
                }
            }
        });
    }

    ~RunningServer()
    {
        context.stop();
        m_thread.join();
    }

    /// Keeps the server from running for `length`, and returns once this has begun.
    void stall(std::chrono::milliseconds length)
    {
        auto begun = std::make_shared<std::promise<void>>();
        boost::asio::post(context, [begun, length] {
            begun->set_value();
            std::this_thread::sleep_for(length);
        });
        begun->get_future().wait();
    }

    boost::asio::io_context context{1};
    EchoHandler handler;
    http::Server server;
    std::atomic<int> exceptions = 0; ///< That left a task.

private:
    std::thread m_thread;
};

/// Sends and receives raw bytes on one connection.
class RawCaller
{
public:
    /// `receiveBuffer`: bytes; 0: the default.
    explicit RawCaller(std::uint16_t port, int receiveBuffer = 0)
        : m_socket(m_context)
    {
        m_socket.open(tcp::v4());
        if (receiveBuffer != 0)
            m_socket.set_option(tcp::socket::receive_buffer_size(receiveBuffer));
        m_socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    }

    void send(const std::string &bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), ignored);
    }

    /// Returns what arrives until the server closes, `marker` was received or responseTimeout has passed.
    std::string receive(const std::string &marker = "\n\nnever")
    {
        std::string all;
        m_socket.non_blocking(true);
        const auto end = std::chrono::steady_clock::now() + responseTimeout;
        while (std::chrono::steady_clock::now() < end && all.find(marker) == std::string::npos) {
            char buffer[4096];
            boost::system::error_code error;
            const std::size_t count = m_socket.read_some(boost::asio::buffer(buffer), error);
            all.append(buffer, count);
            if (error == boost::asio::error::would_block)
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            else if (error)
                break;
        }
        return all;
    }

    /// Returns the number of bytes that arrive until the server closes, at most `most`. Waits `pause` between two
    /// pieces.
    std::size_t receiveBytes(std::size_t most, std::chrono::milliseconds pause = {})
    {
        std::vector<char> piece(pieceBytes);
        std::size_t received = 0;
        boost::system::error_code error;
        while (received < most && !error) {
            received += m_socket.read_some(boost::asio::buffer(piece), error);
            std::this_thread::sleep_for(pause);
        }
        return received;
    }

    void close() { m_socket.close(); }
    tcp::socket &socket() { return m_socket; }

private:
    boost::asio::io_context m_context;
    tcp::socket m_socket;
};

inline bool waitFor(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + responseTimeout;
    while (!condition() && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return condition();
}

} // namespace sardinehinge::http::tests
