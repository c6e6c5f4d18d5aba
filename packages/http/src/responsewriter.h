#pragma once

#include <sardinehinge/core/types.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace sardinehinge::http::internal {

/// Writes one response at a time. A peer that reads slowly may take as long as it needs, one that reads nothing for the
/// timeout fails the write. What was written is freed on the way.
class ResponseWriter
{
public:
    using Done = std::function<void(boost::system::error_code)>;
    using Progress = std::function<void(std::size_t bytes)>;

    /// `socket` must outlive the writer, and non-blocking mode must be left to it.
    /// `progress` is called for the bytes that the peer took, before `done`.
    ResponseWriter(boost::asio::ip::tcp::socket &socket, Progress progress);

    /// Writes `head` and `body`, then calls `done`. `owner` keeps this object until then. Requires !isBusy().
    void write(const std::shared_ptr<void> &owner, std::string head, std::string body, core::Duration timeout,
               Done done);

    bool isBusy() const noexcept { return m_done != nullptr; }
    /// Memory of the response that is being written.
    std::size_t heldBytes() const noexcept { return m_head.capacity() + m_body.capacity(); }

private:
    void writeSome(const std::shared_ptr<void> &owner);
    void freeWritten();
    void limitTime(const std::shared_ptr<void> &owner);
    void finish(boost::system::error_code error);

    boost::asio::ip::tcp::socket &m_socket;
    Progress m_progress;
    boost::asio::steady_timer m_timer;
    std::string m_head;
    std::string m_body;
    std::size_t m_headWritten = 0;
    std::size_t m_bodyWritten = 0; ///< Of what is left of the body.
    core::Duration m_timeout{};
    std::chrono::steady_clock::time_point m_lastProgress;
    Done m_done;
};

} // namespace sardinehinge::http::internal
