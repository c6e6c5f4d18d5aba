#include "responsewriter.h"

#include <boost/asio/buffer.hpp>

#include <array>

namespace sardinehinge::http::internal {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

namespace {

/// Bodies below this size are freed as a whole.
constexpr std::size_t minFreedBytes = 64 * 1024UL;

} // namespace

ResponseWriter::ResponseWriter(asio::ip::tcp::socket &socket, Progress progress)
    : m_socket(socket)
    , m_progress(std::move(progress))
    , m_timer(socket.get_executor())
{
}

void ResponseWriter::write(const std::shared_ptr<void> &owner, std::string head, std::string body,
                           core::Duration timeout, Done done)
{
    m_head = std::move(head);
    m_body = std::move(body);
    m_headWritten = 0;
    m_bodyWritten = 0;
    m_timeout = timeout;
    m_done = std::move(done);
    m_lastProgress = std::chrono::steady_clock::now();
    limitTime(owner);
    writeSome(owner);
}

void ResponseWriter::writeSome(const std::shared_ptr<void> &owner)
{
    const std::array<asio::const_buffer, 2> rest{asio::buffer(m_head) + m_headWritten,
                                                 asio::buffer(m_body) + m_bodyWritten};
    m_socket.async_write_some(rest, [this, owner](ErrorCode error, std::size_t bytes) {
        if (!isBusy())
            return; // Timed out.
        if (error)
            return finish(error);
        const std::size_t ofHead = std::min(bytes, m_head.size() - m_headWritten);
        m_headWritten += ofHead;
        m_bodyWritten += bytes - ofHead;
        if (m_bodyWritten == m_body.size() && m_headWritten == m_head.size())
            return finish({});
        m_lastProgress = std::chrono::steady_clock::now();
        freeWritten();
        m_progress(bytes);
        writeSome(owner);
    });
}

/// Frees the written part once it is half of the body, so that all moves together cost no more than one copy.
void ResponseWriter::freeWritten()
{
    if (m_bodyWritten < minFreedBytes || m_bodyWritten < m_body.size() / 2)
        return;
    std::string(m_body, m_bodyWritten).swap(m_body); // Assigning may keep the capacity.
    m_bodyWritten = 0;
}

void ResponseWriter::limitTime(const std::shared_ptr<void> &owner)
{
    m_timer.expires_at(m_lastProgress + m_timeout);
    m_timer.async_wait([this, owner](ErrorCode error) {
        if (error || !isBusy())
            return;
        if (std::chrono::steady_clock::now() >= m_lastProgress + m_timeout)
            return finish(asio::error::timed_out);
        limitTime(owner);
    });
}

void ResponseWriter::finish(ErrorCode error)
{
    m_timer.cancel();
    std::string().swap(m_head);
    std::string().swap(m_body);
    std::exchange(m_done, nullptr)(error);
}

} // namespace sardinehinge::http::internal
