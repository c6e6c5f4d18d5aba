#include "connection.h"

#include "addresses.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace sardinehinge::http::internal {

namespace beast = boost::beast;
namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using std::chrono::steady_clock;

namespace {

/// After the last response: time for the caller to read it and close. Closing with unread input would reset the
/// connection, which can destroy a response on its way.
constexpr std::chrono::milliseconds lingerTime(1000);
constexpr std::size_t lingerBytes = 1024 * 1024UL;

constexpr int firstFinalStatus = 200;
constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;
constexpr int statusInternalError = 500;

bool mayHaveBody(int status)
{
    return status >= firstFinalStatus && status != statusNoContent && status != statusNotModified;
}

std::string headText(const Response &response, bool closes)
{
    beast::http::response<beast::http::empty_body> head;
    head.result(static_cast<unsigned>(response.status));
    for (const auto &[name, value] : response.headers)
        head.insert(name, value);
    head.keep_alive(!closes);
    head.content_length(response.body.size());
    const auto append = [](std::string &text, beast::string_view part) { text.append(part.data(), part.size()); };
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " ";
    append(text, head.reason().empty() ? beast::http::obsolete_reason(head.result()) : head.reason());
    text += "\r\n";
    for (const auto &field : head) {
        append(text, field.name_string());
        text += ": ";
        append(text, field.value());
        text += "\r\n";
    }
    return text += "\r\n";
}

/// Sends the responses to one request. Holds a weak reference, so that a connection is freed when its caller
/// disconnects.
class ConnectionResponder : public Responder
{
public:
    ConnectionResponder(std::weak_ptr<Connection> connection, ExchangeId exchange)
        : m_connection(std::move(connection))
        , m_exchangeId(exchange)
    {
    }

    void send(Response response) override
    {
        if (const auto connection = m_connection.lock())
            connection->sendResponse(m_exchangeId, std::move(response), {});
    }

    void abort() override
    {
        if (const auto connection = m_connection.lock())
            connection->abort(m_exchangeId);
    }

    void sendTruncated(Response response, std::size_t bytes) override
    {
        if (const auto connection = m_connection.lock())
            connection->sendResponse(m_exchangeId, std::move(response), bytes);
    }

private:
    std::weak_ptr<Connection> m_connection;
    ExchangeId m_exchangeId;
};

} // namespace

Connection::Connection(StatePointer state, tcp::socket socket)
    : m_state(std::move(state))
    , m_socket(std::move(socket))
    , m_timer(m_state->context)
    , m_writer(m_socket, [this](std::size_t bytes) {
        if (m_responseShare)
            m_responseShare->noteProgress(bytes);
        countResponses();
    })
{
    ErrorCode ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
    const auto endpoint = m_socket.remote_endpoint(ignored);
    m_peer = ignored ? std::string("unknown") : toString(endpoint);
}

void Connection::drain()
{
    if (m_phase != Phase::Open || m_reading != Reading::Awaiting || !m_line.isEmpty())
        return;
    if (m_requests == 0) {
        m_idleSince = steady_clock::now();
        limitIdleTime();
    } else if (!hasInput()) {
        close(CloseReason::Drain);
    }
}

std::size_t Connection::heldBytes() const noexcept
{
    return m_buffer.capacity() + m_line.heldBytes() + m_writer.heldBytes();
}

/// Does all that can be done now. Handlers that respond at once lead back here.
void Connection::proceed()
{
    if (m_isProceeding || m_phase != Phase::Open)
        return;
    struct Guard
    {
        explicit Guard(bool &value)
            : flag(value)
        {
            flag = true;
        }
        ~Guard() { flag = false; }
        Guard(const Guard &) = delete;
        Guard &operator=(const Guard &) = delete;
        bool &flag;
    };
    const auto self = shared_from_this();
    const Guard guard(m_isProceeding);
    startRequests();
    writeNext();
    proceedReading();
    countResponses();
}

/// Counts the responses that wait for their turn or for the caller. They are ready, so they aren't refused; if the
/// account is short, the connection of a caller that reads slowly is closed.
void Connection::countResponses()
{
    const std::uint64_t bytes = m_line.heldBytes() + m_writer.heldBytes();
    if (m_phase != Phase::Open || m_state->account == nullptr || bytes <= uncountedBytes)
        return m_responseShare.reset();
    if (!m_responseShare)
        m_responseShare = m_state->account->open(core::HeldUse::WaitingResponse, m_peer, [weak = weak_from_this()] {
            // Later: whoever needs the room is in the middle of its work.
            if (const auto self = weak.lock())
                asio::post(self->m_state->context, [self] {
                    if (self->m_phase == Phase::Open && self->m_responseShare)
                        self->close(CloseReason::NoRoom);
                });
        });
    m_responseShare->hold(bytes);
}

void Connection::startRequests()
{
    while (m_phase == Phase::Open) {
        const Request *waiting = m_line.firstWaiting();
        if (waiting == nullptr)
            return;
        const bool mayRunBeside = m_state->handler.mayRunBeside(*waiting);
        if (!m_line.mayStart(mayRunBeside, lineLimits(), keepsAlive()))
            return;
        auto [exchange, request] = m_line.start(mayRunBeside, steady_clock::now().time_since_epoch());
        handle(exchange, std::move(request));
    }
}

void Connection::handle(ExchangeId exchange, Request request)
{
    try {
        m_state->handler.handle(exchange, std::move(request),
                                std::make_shared<ConnectionResponder>(weak_from_this(), exchange));
    } catch (...) {
        // Nothing else would answer the request or forget it.
        m_line.answer(exchange,
                      m_state->handler.rejection(statusInternalError, "the request could not be handled", m_peer),
                      true);
        m_state->handler.callerDisconnected(exchange);
        m_isInputEnded = true;
        asio::post(m_state->context, [self = shared_from_this()] { self->proceed(); });
        throw;
    }
}

void Connection::sendResponse(ExchangeId exchange, Response response, std::optional<std::size_t> truncateAt)
{
    if (m_line.answer(exchange, std::move(response), truncateAt.has_value(), truncateAt))
        proceed();
}

void Connection::abort(ExchangeId exchange)
{
    if (m_line.answer(exchange, {}))
        close();
}

void Connection::writeNext()
{
    if (m_phase != Phase::Open || m_writer.isBusy())
        return;
    auto next = m_line.takeNext(keepsAlive());
    if (!next)
        return;
    if (!mayHaveBody(next->response.status))
        next->response.body.clear();
    auto head = headText(next->response, next->closes);
    std::string body = std::move(next->response.body);
    if (next->truncateAt && *next->truncateAt < body.size())
        body.resize(*next->truncateAt);
    m_isInputEnded = m_isInputEnded || next->closes;
    m_writer.write(shared_from_this(), std::move(head), std::move(body), m_state->limits.writeTimeout,
                   [this](ErrorCode error) { written(error); });
    for (const ExchangeId exchange : next->abandoned)
        m_state->handler.callerDisconnected(exchange);
}

void Connection::written(ErrorCode error)
{
    if (m_phase != Phase::Open)
        return;
    if (error)
        return close(CloseReason::WriteFailed);
    if (m_line.written())
        return linger();
    proceed();
}

/// The caller has closed its connection or its sending side. Responses that are complete are still delivered in order.
void Connection::callerLeft(std::optional<CloseReason> reason)
{
    const auto self = shared_from_this();
    enter(Reading::None);
    m_timer.cancel();
    m_isInputEnded = true;
    const auto abandoned = m_line.callerLeft();
    if (m_line.isEmpty() && reason)
        close(*reason);
    else if (m_line.isEmpty())
        close();
    for (const ExchangeId exchange : abandoned)
        m_state->handler.callerDisconnected(exchange);
}

/// Closes the sending side, then reads until the caller has closed too.
void Connection::linger()
{
    m_phase = Phase::Lingering;
    m_responseShare.reset();
    ErrorCode ignored;
    m_socket.cancel(ignored);
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    m_timer.expires_after(lingerTime);
    m_timer.async_wait([self = shared_from_this()](ErrorCode error) {
        if (!error && self->m_phase == Phase::Lingering)
            self->close();
    });
    discardInput();
}

void Connection::discardInput()
{
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
        if (self->m_phase != Phase::Lingering)
            return;
        std::array<char, 16 * 1024UL> discarded; // NOLINT(cppcoreguidelines-pro-type-member-init): overwritten.
        while (!error && self->m_discarded < lingerBytes) {
            const std::size_t bytes = self->m_socket.receive(asio::buffer(discarded), 0, error);
            self->m_discarded += bytes;
        }
        if (error == asio::error::would_block)
            return self->discardInput();
        self->close();
    });
}

void Connection::close(CloseReason reason)
{
    if (m_phase != Phase::Closed)
        m_state->handler.connectionClosed({reason, m_peer, steady_clock::now() - m_idleSince, m_requests, hasInput()});
    close();
}

void Connection::close()
{
    if (m_phase == Phase::Closed)
        return;
    m_phase = Phase::Closed;
    m_requestShare.reset();
    m_responseShare.reset();
    m_timer.cancel();
    ErrorCode ignored;
    m_socket.shutdown(tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
    const auto self = shared_from_this();
    m_state->open.erase(self);
    m_state->openCount.store(m_state->open.size());
    for (const ExchangeId exchange : m_line.clear())
        m_state->handler.callerDisconnected(exchange);
}

} // namespace sardinehinge::http::internal
