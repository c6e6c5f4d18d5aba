#include "connection.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

/// The reading side of a connection.
namespace sardinehinge::http::internal {

namespace beast = boost::beast;
namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using std::chrono::steady_clock;

namespace {

/// A drained server waits this long for the first request of a connection that it has just accepted.
constexpr std::chrono::milliseconds newConnectionGrace(500);
/// A process that runs late finds the read timeout expired and input waiting: the time in which it reads that.
constexpr std::chrono::milliseconds lateInputGrace(100);
/// Between two checks whether a caller has left whose input isn't read.
constexpr std::chrono::milliseconds disconnectCheckInterval(100);
/// Beyond the header: the start of a body or of the next request.
constexpr std::size_t readAheadBytes = 8 * 1024UL;

constexpr int statusBadRequest = 400;
constexpr int statusTimeout = 408;

} // namespace

/// Reads the next request if there is room for it in line.
void Connection::proceedReading()
{
    if (m_phase != Phase::Open || m_reading == Reading::Request)
        return;
    if (m_isInputEnded || !m_line.mayRead(lineLimits(), keepsAlive())) {
        if (m_reading != Reading::Watching)
            watchForDisconnect();
        return;
    }
    if (m_buffer.size() != 0)
        return readRequest();
    if (m_line.isEmpty() && m_state->isDraining && m_requests != 0 && !hasInput())
        return close(CloseReason::Drain);
    if (m_reading != Reading::Awaiting)
        awaitRequest();
    if (m_line.isEmpty()) {
        m_idleSince = steady_clock::now();
        limitIdleTime();
    }
}

/// Waits for the first byte of the next request, with an empty line at most for the idle timeout.
void Connection::awaitRequest()
{
    m_socket.async_wait(tcp::socket::wait_read,
                        [self = shared_from_this(), step = enter(Reading::Awaiting)](ErrorCode error) {
                            if (!self->isIn(step))
                                return;
                            if (error)
                                return self->callerLeft();
                            if (self->m_line.mayRead(self->lineLimits(), self->keepsAlive()))
                                return self->readRequest();
                            self->watchForDisconnect();
                        });
}

core::Duration Connection::idleTimeout() const
{
    const bool isNewInDrain = m_state->isDraining && m_requests == 0;
    return isNewInDrain ? std::min<core::Duration>(newConnectionGrace, m_state->limits.idleTimeout)
                        : m_state->limits.idleTimeout;
}

/// Closes the connection when it has been idle for the timeout that applies then. A process that runs late finds the
/// timer expired although a request has arrived in time, so that is checked first.
void Connection::limitIdleTime()
{
    m_timer.expires_at(m_idleSince + idleTimeout());
    m_timer.async_wait([self = shared_from_this(), step = m_readStep](ErrorCode error) {
        if (error || !self->isIn(step) || !self->m_line.isEmpty() || self->hasInput())
            return;
        if (steady_clock::now() < self->m_idleSince + self->idleTimeout())
            return self->limitIdleTime();
        self->close(CloseReason::IdleTimeout);
    });
}

/// Rejects a request that isn't complete in time. As above, what has arrived by then is read first, in a grace period.
void Connection::limitReadTime(core::Duration timeout, bool isGrace)
{
    m_timer.expires_after(timeout);
    m_timer.async_wait([self = shared_from_this(), step = m_readStep, isGrace](ErrorCode error) {
        if (error || !self->isIn(step))
            return;
        if (!isGrace || self->input() == Input::Bytes)
            return self->limitReadTime(lateInputGrace, true);
        self->reject(statusTimeout, "the request was not complete in time");
    });
}

void Connection::readRequest()
{
    enter(Reading::Request);
    m_parser.emplace();
    m_parser->header_limit(m_state->limits.headerBytes);
    m_parser->body_limit(m_state->limits.bodyBytes);
    m_buffer.max_size(std::max<std::size_t>(m_state->limits.headerBytes + readAheadBytes, m_buffer.size()));
    limitReadTime(m_state->limits.readTimeout);
    beast::http::async_read_header(m_socket, m_buffer, *m_parser,
                                   [self = shared_from_this(), step = m_readStep](ErrorCode error, std::size_t) {
                                       if (self->isIn(step))
                                           self->headerRead(error);
                                   });
}

void Connection::headerRead(ErrorCode error)
{
    if (error)
        return readFailed(error);
    if (const std::string fault = framingError(m_parser->get()); !fault.empty())
        return reject(statusBadRequest, fault);
    // The parser would allocate the declared length at once.
    if (m_parser->content_length().value_or(0) > m_state->limits.bodyBytes)
        return readFailed(beast::http::error::body_limit);
    beast::http::async_read(m_socket, m_buffer, *m_parser,
                            [self = shared_from_this(), step = m_readStep](ErrorCode bodyError, std::size_t) {
                                if (self->isIn(step))
                                    self->requestRead(bodyError);
                            });
}

void Connection::readFailed(ErrorCode error)
{
    if (error == beast::http::error::end_of_stream || error == asio::error::operation_aborted)
        return callerLeft();
    if (error == beast::http::error::partial_message || error == asio::error::connection_reset)
        return callerLeft(CloseReason::ReadFailed);
    reject(statusFor(error), error.message());
}

void Connection::requestRead(ErrorCode error)
{
    if (error)
        return readFailed(error);
    // The caller may have left while the request waited to be read.
    if (input() == Input::Closed)
        return callerLeft(CloseReason::CallerLeft);
    m_timer.cancel();
    enter(Reading::None);
    ++m_requests;
    const bool closes = !m_parser->get().keep_alive();
    m_line.add(m_state->nextExchange++, toRequest(m_parser->release(), m_peer), steady_clock::now().time_since_epoch(),
               closes);
    m_parser.reset();
    proceed();
}

/// Answers what can't be read as a request, after the requests before it.
void Connection::reject(int status, const std::string &detail)
{
    m_timer.cancel();
    enter(Reading::None); // A read may still be pending: it keeps the parser until the connection closes.
    m_isInputEnded = true;
    m_line.addRejection(m_state->handler.rejection(status, detail, m_peer));
    proceed();
}

/// Detects a caller that leaves while its requests are handled and no further one may be read.
void Connection::watchForDisconnect()
{
    m_socket.async_wait(tcp::socket::wait_read,
                        [self = shared_from_this(), step = enter(Reading::Watching)](ErrorCode error) {
                            if (!self->isIn(step))
                                return;
                            if (error || self->input() == Input::Closed)
                                return self->callerLeft();
                            self->watchState();
                        });
}

/// Unread input hides the end of the stream, so the state of the connection is polled.
void Connection::watchState()
{
    m_timer.expires_after(disconnectCheckInterval);
    m_timer.async_wait([self = shared_from_this(), step = m_readStep](ErrorCode error) {
        if (error || !self->isIn(step))
            return;
        if (self->hasDisconnected())
            return self->callerLeft();
        self->watchState();
    });
}

/// What can be read from the socket now.
Connection::Input Connection::input()
{
    char byte = 0;
    ErrorCode error;
    m_socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    if (!error)
        return Input::Bytes;
    return error == asio::error::would_block ? Input::None : Input::Closed;
}

/// Whether the caller has closed its sending side, also behind unread input.
bool Connection::hasDisconnected()
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    return ::getsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0
        || info.tcpi_state != TCP_ESTABLISHED;
}

/// Begins a step of reading. Returns its number.
std::uint64_t Connection::enter(Reading reading)
{
    m_reading = reading;
    return ++m_readStep;
}

} // namespace sardinehinge::http::internal
