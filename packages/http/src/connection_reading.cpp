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
constexpr int statusUnavailable = 503;

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
        if (self->hasProgressed())
            return self->limitBodyTime();
        self->reject(statusTimeout,
                     self->m_isHeadRead ? "the body arrives too slowly" : "the request was not complete in time");
    });
}

/// Starts the next period in which the body must progress.
void Connection::limitBodyTime()
{
    m_periodBegin = m_arrived;
    limitReadTime(m_state->limits.readTimeout);
}

bool Connection::hasProgressed() const
{
    const core::ProgressRule rule{m_state->limits.readTimeout, m_state->limits.bodyBytesPerSecond};
    return m_isHeadRead && rule.isEnough(m_arrived - m_periodBegin);
}

void Connection::readRequest()
{
    enter(Reading::Request);
    m_isHeadRead = false;
    m_arrived = 0;
    m_requestSince = steady_clock::now();
    m_progress = core::ProgressMeter(m_requestSince.time_since_epoch());
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
    if (m_parser->content_length().value_or(0) > m_state->limits.bodyBytes)
        return readFailed(beast::http::error::body_limit);
    m_isHeadRead = true;
    m_parser->eager(true);
    if (m_parser->is_done())
        return requestRead();
    limitBodyTime();
    readBody();
}

void Connection::readBody()
{
    beast::http::async_read_some(m_socket, m_buffer, *m_parser,
                                 [self = shared_from_this(), step = m_readStep](ErrorCode error, std::size_t bytes) {
                                     if (self->isIn(step))
                                         return self->bodyRead(error, bytes);
                                     if (self->m_isInputEnded)
                                         self->m_parser.reset(); // Refused meanwhile.
                                 });
}

void Connection::bodyRead(ErrorCode error, std::size_t bytes)
{
    if (error)
        return readFailed(error);
    m_arrived += bytes;
    m_progress.note(bytes, steady_clock::now().time_since_epoch());
    if (m_requestShare)
        m_requestShare->noteProgress(bytes);
    if (m_parser->is_done())
        return requestRead();
    if (!hasRoomForBody()) {
        refuseForRoom();
        return m_parser.reset();
    }
    readBody();
}

/// Asks the account for room for what has arrived of the body.
bool Connection::hasRoomForBody()
{
    const std::uint64_t arrived = m_parser->get().body().size();
    if (m_state->account == nullptr || arrived <= uncountedBytes)
        return true;
    if (!m_requestShare) {
        m_requestShare = m_state->account->open(
            core::HeldUse::ArrivingRequest, m_peer, [weak = weak_from_this(), step = m_readStep] {
                // Later: whoever needs the room is in the middle of its work.
                if (const auto self = weak.lock())
                    asio::post(self->m_state->context, [self, step] { self->requestShareTakenBack(step); });
            });
    }
    const auto missing = m_parser->content_length_remaining();
    const std::uint64_t limit = m_state->limits.bodyBytes;
    return m_requestShare->resize(arrived, missing ? *missing : limit - std::min(limit, arrived));
}

void Connection::requestShareTakenBack(std::uint64_t step)
{
    if (isIn(step))
        refuseForRoom();
}

/// Rejects the request that arrives, and frees what has arrived of it.
void Connection::refuseForRoom()
{
    m_requestShare.reset();
    reject(statusUnavailable, "no room for the request");
    if (m_phase != Phase::Open)
        return;
    // Ends the read that may be pending, without harm to the responses that are being written.
    ErrorCode ignored;
    m_socket.shutdown(tcp::socket::shutdown_receive, ignored);
}

/// How long and how slowly the connection waits for a request.
std::optional<core::WaitingConnection> Connection::waiting() const
{
    if (m_phase != Phase::Open || !m_line.isEmpty() || m_writer.isBusy())
        return std::nullopt;
    const auto now = steady_clock::now();
    if (m_reading == Reading::Awaiting && m_buffer.size() == 0)
        return core::WaitingConnection{0, true, now - m_idleSince, 0};
    if (m_reading == Reading::Request)
        return core::WaitingConnection{0, false, now - m_requestSince,
                                       m_progress.bytesPerSecond(now.time_since_epoch())};
    return std::nullopt;
}

void Connection::readFailed(ErrorCode error)
{
    if (error == beast::http::error::end_of_stream || error == asio::error::operation_aborted)
        return callerLeft();
    if (error == beast::http::error::partial_message || error == asio::error::connection_reset)
        return callerLeft(CloseReason::ReadFailed);
    reject(statusFor(error), error.message());
}

void Connection::requestRead()
{
    if (!hasRoomForBody()) {
        refuseForRoom();
        return m_parser.reset();
    }
    // The caller may have left while the request waited to be read.
    if (input() == Input::Closed)
        return callerLeft(CloseReason::CallerLeft);
    m_timer.cancel();
    enter(Reading::None);
    ++m_requests;
    const bool closes = !m_parser->get().keep_alive();
    if (m_requestShare)
        m_requestShare->setUse(core::HeldUse::RequestInWork);
    Request request = toRequest(m_parser->release(), m_peer);
    request.share = std::move(m_requestShare);
    m_line.add(m_state->nextExchange++, std::move(request), steady_clock::now().time_since_epoch(), closes);
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
