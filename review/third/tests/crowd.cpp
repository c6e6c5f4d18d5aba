#include "crowd.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <sys/resource.h>

namespace review {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

class Crowd::Caller : public std::enable_shared_from_this<Crowd::Caller>
{
public:
    Caller(asio::io_context &context, std::shared_ptr<const CrowdBehaviour> behaviour, tcp::endpoint endpoint,
           std::shared_ptr<const std::string> piece)
        : m_socket(context)
        , m_timer(context)
        , m_behaviour(std::move(behaviour))
        , m_endpoint(std::move(endpoint))
        , m_piece(std::move(piece))
    {
    }

    void start()
    {
        m_left = m_behaviour->bytes;
        m_socket.async_connect(m_endpoint, [self = shared_from_this(), life = m_life](ErrorCode error) {
            if (life != self->m_life)
                return;
            if (error)
                return self->over();
            self->m_isOpen = true;
            self->read();
            asio::async_write(self->m_socket, asio::buffer(self->m_behaviour->head),
                              [self, life](ErrorCode writeError, std::size_t) { self->wrote(writeError, 0, life); });
        });
    }

    void stop()
    {
        m_isStopped = true;
        close();
    }

    bool isOpen() const { return m_isOpen; }
    std::uint64_t sent() const { return m_sent; }
    std::size_t ended() const { return m_ended; }

private:
    void close()
    {
        ++m_life;
        m_isOpen = false;
        m_timer.cancel();
        ErrorCode ignored;
        m_socket.close(ignored);
    }

    void over()
    {
        close();
        ++m_ended;
        if (m_isStopped || m_behaviour->comesAgainAfter.count() == 0)
            return;
        m_timer.expires_after(m_behaviour->comesAgainAfter);
        m_timer.async_wait([self = shared_from_this()](ErrorCode error) {
            if (!error && !self->m_isStopped)
                self->start();
        });
    }

    void wrote(ErrorCode error, std::size_t bytes, std::uint64_t life)
    {
        if (life != m_life)
            return;
        if (error)
            return over();
        m_sent += bytes;
        m_left -= bytes;
        if (m_left == 0)
            return;
        if (m_behaviour->pause.count() == 0)
            return sendPiece();
        m_timer.expires_after(m_behaviour->pause);
        m_timer.async_wait([self = shared_from_this(), life](ErrorCode waitError) {
            if (!waitError && life == self->m_life)
                self->sendPiece();
        });
    }

    void sendPiece()
    {
        const std::size_t bytes = std::min<std::uint64_t>(m_left, m_piece->size());
        asio::async_write(m_socket, asio::buffer(*m_piece, bytes),
                          [self = shared_from_this(), bytes, life = m_life](ErrorCode error, std::size_t) {
                              self->wrote(error, bytes, life);
                          });
    }

    void read()
    {
        m_socket.async_read_some(asio::buffer(m_received),
                                 [self = shared_from_this(), life = m_life](ErrorCode error, std::size_t) {
                                     if (life != self->m_life)
                                         return;
                                     if (error)
                                         return self->over();
                                     self->read();
                                 });
    }

    tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::shared_ptr<const CrowdBehaviour> m_behaviour;
    tcp::endpoint m_endpoint;
    std::shared_ptr<const std::string> m_piece;
    std::array<char, 4096> m_received{};
    std::uint64_t m_left = 0;
    std::uint64_t m_sent = 0;
    std::size_t m_ended = 0;
    std::uint64_t m_life = 0;
    bool m_isOpen = false;
    bool m_isStopped = false;
};

Crowd::Crowd(asio::io_context &context, const std::string &address, const CrowdBehaviour &behaviour,
             std::size_t callers)
{
    const auto shared = std::make_shared<const CrowdBehaviour>(behaviour);
    const auto piece = std::make_shared<const std::string>(behaviour.pieceBytes, 'x');
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
    const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), port);
    for (std::size_t index = 0; index < callers; ++index) {
        m_callers.push_back(std::make_shared<Caller>(context, shared, endpoint, piece));
        m_callers.back()->start();
    }
}

Crowd::~Crowd()
{
    for (const auto &caller : m_callers)
        caller->stop();
}

std::size_t Crowd::open() const
{
    return static_cast<std::size_t>(
        std::count_if(m_callers.begin(), m_callers.end(), [](const auto &caller) { return caller->isOpen(); }));
}

std::uint64_t Crowd::sent() const
{
    std::uint64_t bytes = 0;
    for (const auto &caller : m_callers)
        bytes += caller->sent();
    return bytes;
}

std::size_t Crowd::ended() const
{
    std::size_t count = 0;
    for (const auto &caller : m_callers)
        count += caller->ended();
    return count;
}

bool allowDescriptors(std::size_t wanted)
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return false;
    if (limit.rlim_cur < wanted) {
        limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, wanted);
        setrlimit(RLIMIT_NOFILE, &limit);
        getrlimit(RLIMIT_NOFILE, &limit);
    }
    return limit.rlim_cur >= wanted;
}

} // namespace review
