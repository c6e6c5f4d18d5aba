#include <sardinehinge/http/client.h>
#include <sardinehinge/http/resourceaccount.h>

#include "addresses.h"
#include "bodies.h"
#include "idleconnections.h"
#include "responsehead.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

#include <map>
#include <optional>

namespace sardinehinge::http {

namespace beast = boost::beast;
namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

constexpr unsigned statusNoContent = 204; ///< Never has a body.

/// With more interim responses and responses to earlier requests, the exchange fails.
constexpr int maxDiscardedResponses = 4;

class Exchange;
using internal::idleLifetime;
using internal::SteadyTime;
using internal::Stream;

/// Makes the close of the connection, by this process or by its end, a reset that discards unsent bytes.
void resetOnClose(beast::tcp_stream &stream)
{
    ErrorCode ignored; // Fails only on a socket that isn't connected any more.
    stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
}

/// Limits how long the kernel sends unacknowledged bytes again.
void setSendTimeout(beast::tcp_stream &stream, std::chrono::milliseconds timeout)
{
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    ErrorCode ignored;
    stream.socket().set_option(UserTimeout(static_cast<int>(std::max<std::int64_t>(timeout.count(), 1))), ignored);
}

} // namespace

struct Client::State
{
    State(asio::io_context &ioContext, ClientLimits clientLimits, ByteAccount *shared)
        : context(ioContext)
        , limits(clientLimits)
        , account(shared != nullptr
                      ? std::shared_ptr<ByteAccount>(std::shared_ptr<void>(), shared)
                      : std::make_shared<ResourceAccount>(core::accountLimitsOf(clientLimits.totalBodyBytes)))
        , idle(clientLimits.idleConnections)
    {
    }

    asio::io_context &context;
    ClientLimits limits;
    std::shared_ptr<ByteAccount> account; ///< Counts the responses that arrive.
    ExchangeId nextId = 1;
    internal::IdleConnections idle;
    std::map<ExchangeId, std::shared_ptr<Exchange>> active;
};

namespace {

using Message = beast::http::request<internal::SharedBody>;
using Parser = beast::http::response_parser<internal::ArrivingBody>;

/// One request and its response on one connection.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(std::weak_ptr<Client::State> state, Client::ExchangeId id, std::string address, const Request &request,
             const ExchangeOptions &options, Client::Callback done, std::shared_ptr<const std::string> body)
        : m_state(std::move(state))
        , m_account(m_state.lock()->account)
        , m_id(id)
        , m_address(std::move(address))
        , m_options(options)
        , m_deadline(std::chrono::steady_clock::now() + options.timeout)
        , m_done(std::move(done))
    {
        m_message.method_string(request.method);
        m_message.target(request.target);
        m_message.version(11);
        m_message.set(beast::http::field::host, m_address);
        for (const auto &[name, value] : request.headers) {
            if (beast::iequals(name, "Host"))
                m_message.set(beast::http::field::host, value);
            else
                m_message.insert(name, value);
        }
        if (!body && !request.body.empty())
            body = std::make_shared<const std::string>(request.body);
        m_message.body() = std::move(body);
        m_message.prepare_payload();
    }

    void start()
    {
        const auto state = m_state.lock();
        m_buffer.max_size(state->limits.headerBytes + readAheadBytes);
        if (m_options.reusesConnections)
            m_stream = state->idle.take(m_address, m_options.maxIdleTime);
        if (m_stream)
            return write();
        if (!m_options.opensConnections)
            return asio::post(state->context, [self = shared_from_this()] {
                self->finish(ExchangeOutcome::NoOpenConnection, "no connection is open");
            });
        const auto endpoint = internal::parseAddress(m_address);
        if (!endpoint)
            return asio::post(state->context, [self = shared_from_this()] {
                self->finish(ExchangeOutcome::NotSent, "not an IP address and a port");
            });
        m_stream = std::make_unique<beast::tcp_stream>(state->context);
        const auto connectDeadline = std::chrono::steady_clock::now() + state->limits.connectTimeout;
        m_stream->expires_at(std::min(m_deadline, connectDeadline));
        m_stream->async_connect(*endpoint, [self = shared_from_this()](ErrorCode error) {
            if (error)
                return self->finish(error == asio::error::connection_refused ? ExchangeOutcome::ConnectionRefused
                                                                             : ExchangeOutcome::NotSent,
                                    error.message());
            ErrorCode ignored;
            self->m_stream->socket().set_option(tcp::no_delay(true), ignored);
            self->write();
        });
    }

    void cancel()
    {
        if (!m_stream)
            return;
        resetOnClose(*m_stream);
        m_stream->close();
    }

    bool isSending() const noexcept { return m_isSending; }

private:
    /// Beyond the header: at least a line of chunked coding.
    static constexpr std::size_t readAheadBytes = 64 * 1024UL;
    static constexpr std::size_t maxReadBytes = 64 * 1024UL; ///< In one call.
    /// So many received bytes that aren't parsed yet need no room.
    static constexpr std::uint64_t uncountedBytes = 4096;
    static constexpr const char *noRoom = "the unfinished responses exceed their limit";

    void write()
    {
        m_isSending = true;
        if (m_options.arrivalTimeout) {
            const auto left = m_deadline - std::chrono::steady_clock::now();
            resetOnClose(*m_stream);
            setSendTimeout(*m_stream,
                           std::chrono::duration_cast<std::chrono::milliseconds>(
                               std::min<SteadyTime::duration>(left, *m_options.arrivalTimeout)));
        }
        m_stream->expires_at(m_deadline);
        beast::http::async_write(*m_stream, m_message, [self = shared_from_this()](ErrorCode error, std::size_t bytes) {
            if (error)
                return self->finish(bytes == 0 ? ExchangeOutcome::NotSent : ExchangeOutcome::NoResponse,
                                    error.message());
            self->m_message.body().reset(); // Sent once only; nobody else may need it any more.
            self->read();
        });
    }

    void read()
    {
        const auto state = m_state.lock();
        if (!state)
            return finish(ExchangeOutcome::NoResponse, "the client was stopped");
        m_parser.emplace();
        m_parser->header_limit(state->limits.headerBytes);
        m_parser->body_limit(state->limits.bodyBytes);
        m_hasReceived = m_buffer.size() != 0; // Behind an earlier response.
        parse();
    }

    /// Discards what was read, which isn't the response to the request.
    void readNext(const char *faultIfTooMany)
    {
        if (++m_discardedResponses > maxDiscardedResponses)
            return finish(ExchangeOutcome::NoResponse, faultIfTooMany);
        read();
    }

    /// Reads what the connection has, up to the limits of the buffer.
    void readSome()
    {
        const std::size_t space = beast::read_size(m_buffer, maxReadBytes);
        if (space == 0)
            return finish(ExchangeOutcome::TruncatedResponse, "a line or the head exceeds its limit");
        m_stream->async_read_some(m_buffer.prepare(space),
                                  [self = shared_from_this()](ErrorCode error, std::size_t bytes) {
                                      self->m_buffer.commit(bytes);
                                      self->m_hasReceived = self->m_hasReceived || bytes != 0;
                                      self->someRead(error);
                                  });
    }

    void someRead(ErrorCode error)
    {
        if (error == asio::error::eof && m_parser->got_some()) {
            m_parser->put_eof(error); // The end of a response without a length.
            if (!error)
                return responseRead();
        }
        if (error)
            return readFailed(error);
        parse();
    }

    /// Hands what was received to the parser. The head is looked at first, since the parser unfolds its lines.
    void parse()
    {
        const auto received = m_buffer.cdata();
        const bool isHead = !m_parser->is_header_done();
        if (isHead && internal::hasFoldedLine({static_cast<const char *>(received.data()), received.size()}))
            return finish(ExchangeOutcome::TruncatedResponse, "a line of the head begins with a blank");
        ErrorCode error = beast::http::error::need_more;
        if (received.size() != 0)
            m_buffer.consume(m_parser->put(received, error));
        if (error && error != beast::http::error::need_more)
            return readFailed(error);
        if (isHead && m_parser->is_header_done())
            return headRead();
        if (m_parser->is_done())
            return responseRead();
        const auto state = m_state.lock();
        if (!state)
            return finish(ExchangeOutcome::TruncatedResponse, "the client was stopped");
        if (!hasRoom(*state))
            return finish(ExchangeOutcome::TruncatedResponse, noRoom);
        readSome();
    }

    void headRead()
    {
        const auto state = m_state.lock();
        if (!state)
            return finish(ExchangeOutcome::TruncatedResponse, "the client was stopped");
        if (const char *fault = internal::faultIn(m_parser->get()))
            return finish(ExchangeOutcome::TruncatedResponse, fault);
        if (internal::isInterim(m_parser->get()))
            return readNext("too many interim responses");
        // Now, since the parser adds the fields of a trailer.
        m_response = {static_cast<int>(m_parser->get().result_int()), {}, {}};
        for (const auto &field : m_parser->get())
            m_response.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
        // The parser would allocate the declared length at once.
        if (m_parser->content_length().value_or(0) > state->limits.bodyBytes)
            return finish(ExchangeOutcome::TruncatedResponse, "the declared length exceeds the body limit");
        m_parser->eager(true);
        if (m_parser->is_done())
            return responseRead();
        parse();
    }

    void readFailed(ErrorCode error)
    {
        finish(m_hasReceived ? ExchangeOutcome::TruncatedResponse : ExchangeOutcome::NoResponse, error.message());
    }

    /// Asks the account for room for what has arrived of the response: the body, and what isn't parsed yet of the head,
    /// a line of chunked coding or the trailer. Most responses arrive whole and need none.
    bool hasRoom(Client::State &state)
    {
        const std::uint64_t unparsed = m_buffer.capacity() > uncountedBytes ? m_buffer.capacity() : 0;
        const std::uint64_t arrived = m_parser->get().body().size() + unparsed;
        if (arrived == 0)
            return true;
        if (!m_share) {
            m_share = m_account->open(core::HeldUse::ArrivingResponse, m_address, [weak = weak_from_this()] {
                const auto self = weak.lock();
                const auto owner = self ? self->m_state.lock() : nullptr;
                // Later: whoever needs the room is in the middle of its work.
                if (owner)
                    asio::post(owner->context, [self] { self->finish(ExchangeOutcome::TruncatedResponse, noRoom); });
            });
        }
        const std::uint64_t noted = std::exchange(m_notedBytes, arrived);
        m_share->noteProgress(arrived - std::min(noted, arrived));
        const auto missing = m_parser->content_length_remaining();
        return m_share->resize(arrived,
                               missing ? *missing : state.limits.bodyBytes - std::min(state.limits.bodyBytes, arrived));
    }

    /// Whether the response repeats the header of this request, and not that of another besides.
    bool isOwnResponse() const
    {
        if (!m_options.echoedHeader)
            return true;
        const auto &[name, value] = *m_options.echoedHeader;
        bool isOwn = false;
        for (const auto &[eachName, eachValue] : m_response.headers) {
            if (!beast::iequals(eachName, name))
                continue;
            if (eachValue != value)
                return false;
            isOwn = true;
        }
        return isOwn;
    }

    void responseRead()
    {
        m_share.reset();
        const auto &head = m_parser->get();
        if (!isOwnResponse()) {
            constexpr const char *unrelated = "the response belongs to another request";
            return m_parser->need_eof() ? finish(ExchangeOutcome::NoResponse, unrelated) : readNext(unrelated);
        }
        const bool hasLength = head.has_content_length() || head.chunked() || head.result_int() == statusNoContent;
        if (!hasLength && !m_options.acceptsCloseDelimited)
            return finish(ExchangeOutcome::TruncatedResponse, "the response has neither a length nor chunked coding");
        const bool keepAlive = m_options.keepsConnection && hasLength && head.keep_alive() && m_buffer.size() == 0;
        m_response.body = m_parser->release().body().take();
        const auto state = m_state.lock();
        if (state && keepAlive) {
            m_stream->expires_never();
            const auto lifetime = idleLifetime(headerValue(m_response.headers, "Keep-Alive").value_or(std::string()));
            state->idle.add(m_address, std::move(m_stream), lifetime);
        }
        report({ExchangeOutcome::Complete, std::move(m_response), {}});
    }

    void finish(ExchangeOutcome outcome, const std::string &detail)
    {
        // Never reuse a connection with an unfinished exchange: the next request could get the late response.
        cancel();
        report({outcome, {}, detail});
    }

    void report(ExchangeResult result)
    {
        if (const auto state = m_state.lock()) {
            m_share.reset();
            state->active.erase(m_id);
        }
        if (const auto done = std::exchange(m_done, nullptr))
            done(std::move(result));
    }

    std::weak_ptr<Client::State> m_state;
    std::shared_ptr<ByteAccount> m_account; ///< The share may outlive the client.
    Client::ExchangeId m_id;
    std::string m_address;
    ExchangeOptions m_options;
    SteadyTime m_deadline;
    int m_discardedResponses = 0;
    bool m_isSending = false;
    bool m_hasReceived = false; ///< Bytes of the current response.
    std::unique_ptr<ByteShare> m_share; ///< Of the response, while it arrives.
    std::uint64_t m_notedBytes = 0; ///< Of the response, as progress.
    Client::Callback m_done;
    Message m_message;
    Stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    Response m_response; ///< Its head is read, its body is with the parser.
};

} // namespace

bool isPeerAddress(const std::string &text)
{
    const auto endpoint = internal::parseAddress(text);
    return endpoint && endpoint->port() != 0;
}

Client::Client(asio::io_context &context, ClientLimits limits, ByteAccount *account)
    : m_state(std::make_shared<State>(context, limits, account))
{
}

Client::~Client() = default;

Client::ExchangeId Client::send(const std::string &address, const Request &request, core::Duration timeout,
                                Callback done)
{
    ExchangeOptions options;
    options.timeout = timeout;
    return send(address, request, options, std::move(done));
}

Client::ExchangeId Client::send(const std::string &address, const Request &request, const ExchangeOptions &options,
                                Callback done, std::shared_ptr<const std::string> body)
{
    const ExchangeId id = m_state->nextId++;
    auto exchange
        = std::make_shared<Exchange>(m_state, id, address, request, options, std::move(done), std::move(body));
    m_state->active.emplace(id, exchange);
    exchange->start();
    return id;
}

void Client::connect(const std::string &address, std::function<void(ConnectOutcome)> done)
{
    const auto endpoint = internal::parseAddress(address);
    if (!endpoint)
        return asio::post(m_state->context, [done = std::move(done)] { done(ConnectOutcome::Failed); });
    auto stream = std::make_shared<Stream>(std::make_unique<beast::tcp_stream>(m_state->context));
    (*stream)->expires_after(m_state->limits.connectTimeout);
    (*stream)->async_connect(
        *endpoint, [weak = std::weak_ptr(m_state), stream, address, done = std::move(done)](ErrorCode error) {
            const auto state = weak.lock();
            if (state && !error) {
                ErrorCode ignored;
                (*stream)->socket().set_option(tcp::no_delay(true), ignored);
                (*stream)->expires_never();
                state->idle.add(address, std::move(*stream), idleLifetime({}));
            }
            if (state && !error)
                done(ConnectOutcome::Open);
            else
                done(error == asio::error::connection_refused ? ConnectOutcome::Refused : ConnectOutcome::Failed);
        });
}

void Client::cancel(ExchangeId id)
{
    if (const auto found = m_state->active.find(id); found != m_state->active.end())
        std::shared_ptr(found->second)->cancel();
}

void Client::cancelUnsent(ExchangeId id)
{
    const auto found = m_state->active.find(id);
    if (found != m_state->active.end() && !found->second->isSending())
        std::shared_ptr(found->second)->cancel();
}

std::size_t Client::connections() const noexcept
{
    return m_state->active.size() + m_state->idle.count();
}

} // namespace sardinehinge::http
