#include <sardinehinge/http/client.h>

#include "addresses.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <deque>
#include <map>
#include <optional>

namespace sardinehinge::http {

namespace beast = boost::beast;
namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

constexpr unsigned statusNoContent = 204; ///< Has no body by definition.

class Exchange;
using Stream = std::unique_ptr<beast::tcp_stream>;

/// Whether an idle connection has been closed by the peer, or has bytes on it that belong to no request.
bool isStale(beast::tcp_stream &stream)
{
    char byte = 0;
    ErrorCode error;
    stream.socket().non_blocking(true, error);
    stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error != asio::error::would_block;
}

} // namespace

struct Client::State
{
    State(asio::io_context &ioContext, ClientLimits clientLimits)
        : context(ioContext)
        , limits(clientLimits)
    {
    }

    /// An open connection to `address` that nothing uses, or nullptr.
    Stream takeIdle(const std::string &address)
    {
        auto &streams = idle[address];
        while (!streams.empty()) {
            Stream stream = std::move(streams.back());
            streams.pop_back();
            if (!isStale(*stream))
                return stream;
        }
        return nullptr;
    }

    void giveBack(const std::string &address, Stream stream)
    {
        auto &streams = idle[address];
        if (streams.size() < limits.idleConnections)
            streams.push_back(std::move(stream));
    }

    asio::io_context &context;
    ClientLimits limits;
    ExchangeId nextId = 1;
    std::map<std::string, std::deque<Stream>> idle;
    std::map<ExchangeId, std::shared_ptr<Exchange>> active;
};

namespace {

using Message = beast::http::request<beast::http::string_body>;
using Parser = beast::http::response_parser<beast::http::string_body>;

/// One request and its answer on one connection.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(std::weak_ptr<Client::State> state, Client::ExchangeId id, std::string address, const Request &request,
             core::Duration timeout, Client::Callback done)
        : m_state(std::move(state))
        , m_id(id)
        , m_address(std::move(address))
        , m_deadline(std::chrono::steady_clock::now() + timeout)
        , m_done(std::move(done))
    {
        m_message.method_string(request.method);
        m_message.target(request.target);
        m_message.version(11);
        m_message.set(beast::http::field::host, m_address);
        for (const auto &[name, value] : request.headers)
            m_message.insert(name, value);
        m_message.body() = request.body;
        m_message.prepare_payload();
    }

    void start()
    {
        const auto state = m_state.lock();
        m_stream = state->takeIdle(m_address);
        if (m_stream)
            return write();
        const auto endpoint = internal::parseAddress(m_address);
        if (!endpoint)
            return asio::post(state->context, [self = shared_from_this()] {
                self->finish(ExchangeStep::Connect, "not an IP number and a port");
            });
        m_stream = std::make_unique<beast::tcp_stream>(state->context);
        const auto connectEnd = std::chrono::steady_clock::now() + state->limits.connectTime;
        m_stream->expires_at(std::min(m_deadline, connectEnd));
        m_stream->async_connect(*endpoint, [self = shared_from_this()](ErrorCode error) {
            if (error)
                return self->finish(error == asio::error::connection_refused ? ExchangeStep::Refused
                                                                             : ExchangeStep::Connect,
                                    error.message());
            ErrorCode ignored;
            self->m_stream->socket().set_option(tcp::no_delay(true), ignored);
            self->write();
        });
    }

    void cancel()
    {
        if (m_stream)
            m_stream->close();
    }

private:
    void write()
    {
        m_stream->expires_at(m_deadline);
        beast::http::async_write(*m_stream, m_message, [self = shared_from_this()](ErrorCode error, std::size_t bytes) {
            if (error)
                return self->finish(bytes == 0 ? ExchangeStep::Connect : ExchangeStep::Written, error.message());
            self->read();
        });
    }

    void read()
    {
        const auto state = m_state.lock();
        if (!state)
            return finish(ExchangeStep::Written, "the client was stopped");
        m_parser.emplace();
        m_parser->header_limit(state->limits.headerBytes);
        m_parser->body_limit(state->limits.bodyBytes);
        beast::http::async_read(
            *m_stream, m_buffer, *m_parser, [self = shared_from_this()](ErrorCode error, std::size_t bytes) {
                if (error)
                    return self->finish(bytes == 0 ? ExchangeStep::Written : ExchangeStep::Answering, error.message());
                self->finishRead();
            });
    }

    void finishRead()
    {
        const auto &head = m_parser->get();
        const bool hasLength = head.has_content_length() || head.chunked() || head.result_int() == statusNoContent;
        if (!hasLength)
            return finish(ExchangeStep::Answering, "the answer has no length");
        auto message = m_parser->release();
        const bool keepAlive = message.keep_alive() && m_buffer.size() == 0;
        ExchangeEnd end{
            ExchangeStep::Complete, {static_cast<int>(message.result_int()), {}, std::move(message.body())}, {}};
        for (const auto &field : message)
            end.response.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
        const auto state = m_state.lock();
        if (state && keepAlive) {
            m_stream->expires_never();
            state->giveBack(m_address, std::move(m_stream));
        }
        report(std::move(end));
    }

    void finish(ExchangeStep step, const std::string &detail)
    {
        // A connection with an unfinished exchange is never used again: a late answer would meet the next request.
        if (m_stream)
            m_stream->close();
        report({step, {}, detail});
    }

    void report(ExchangeEnd end)
    {
        if (const auto state = m_state.lock())
            state->active.erase(m_id);
        if (const auto done = std::exchange(m_done, nullptr))
            done(std::move(end));
    }

    std::weak_ptr<Client::State> m_state;
    Client::ExchangeId m_id;
    std::string m_address;
    std::chrono::steady_clock::time_point m_deadline;
    Client::Callback m_done;
    Message m_message;
    Stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
};

} // namespace

Client::Client(asio::io_context &context, ClientLimits limits)
    : m_state(std::make_shared<State>(context, limits))
{
}

Client::~Client() = default;

Client::ExchangeId Client::send(const std::string &address, const Request &request, core::Duration timeout,
                                Callback done)
{
    const ExchangeId id = m_state->nextId++;
    auto exchange = std::make_shared<Exchange>(m_state, id, address, request, timeout, std::move(done));
    m_state->active.emplace(id, exchange);
    exchange->start();
    return id;
}

void Client::cancel(ExchangeId id)
{
    if (const auto found = m_state->active.find(id); found != m_state->active.end())
        std::shared_ptr(found->second)->cancel();
}

std::size_t Client::connections() const noexcept
{
    std::size_t count = m_state->active.size();
    for (const auto &[address, streams] : m_state->idle)
        count += streams.size();
    return count;
}

} // namespace sardinehinge::http
