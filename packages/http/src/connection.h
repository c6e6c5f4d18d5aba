#pragma once

#include "requestline.h"
#include "requestreading.h"
#include "responsewriter.h"
#include "serverstate.h"

#include <sardinehinge/core/admission/progress.h>
#include <sardinehinge/core/admission/waitingconnection.h>
#include <sardinehinge/http/byteaccount.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <optional>

namespace sardinehinge::http::internal {

using StatePointer = std::shared_ptr<Server::State>;

/// One connection of a caller: reads requests ahead, has them handled as RequestLine permits, and writes the responses
/// in the order of the requests.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(StatePointer state, boost::asio::ip::tcp::socket socket);
    ~Connection() = default;
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Reads the first request.
    void open() { proceed(); }
    /// Closes the connection unless a request has arrived on it or may be about to, on a new connection.
    void drain();
    /// Closes at once and reports `reason`.
    void close(CloseReason reason);

    void sendResponse(ExchangeId exchange, Response response, std::optional<std::size_t> truncateAt);
    void abort(ExchangeId exchange);

    /// Whether a request has arrived of which nothing has been read.
    bool hasUnreadRequest() { return m_reading == Reading::Awaiting && hasInput(); }
    /// How long and how slowly it waits for a request, unless one is in work or a response is being written.
    std::optional<core::WaitingConnection> waiting() const;

    /// Memory for the caller's input and for responses, without requests that the handler has received.
    std::size_t heldBytes() const noexcept;

private:
    enum class Phase { Open, Lingering, Closed };
    enum class Reading {
        None,
        Awaiting, ///< For the first byte of the next request.
        Request,
        Watching, ///< For the caller to leave: no further request may be read now.
    };
    enum class Input { None, Bytes, Closed };
    /// Bodies up to this size aren't counted: the account leaves memory for them.
    static constexpr std::size_t uncountedBytes = 4096;

    void proceed();
    void startRequests();
    void handle(ExchangeId exchange, Request request);
    void writeNext();
    void written(boost::system::error_code error);

    void proceedReading();
    void awaitRequest();
    void limitIdleTime();
    void readRequest();
    void limitReadTime(core::Duration timeout, bool isGrace = false);
    void limitBodyTime();
    bool hasProgressed() const;
    void headerRead(boost::system::error_code error);
    void readBody();
    void bodyRead(boost::system::error_code error, std::size_t bytes);
    void requestRead();
    void readFailed(boost::system::error_code error);
    void reject(int status, const std::string &detail);
    void watchForDisconnect();
    void watchState();
    void callerLeft(std::optional<CloseReason> reason = {});

    bool hasRoomForBody();
    void requestShareTakenBack(std::uint64_t step);
    void refuseForRoom();
    void countResponses();

    void linger();
    void discardInput();
    void close();

    Input input();
    bool hasInput() { return m_buffer.size() != 0 || input() == Input::Bytes; }
    bool hasDisconnected();
    bool keepsAlive() const { return !m_state->isKeepAliveDisabled; }
    LineLimits lineLimits() const { return {m_state->limits.pipelinedRequests, m_state->limits.pipelinedBytes}; }
    core::Duration idleTimeout() const;
    std::uint64_t enter(Reading reading);
    bool isIn(std::uint64_t step) const { return m_phase == Phase::Open && step == m_readStep; }

    StatePointer m_state;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer; ///< Of the reading side, and of lingering.
    ResponseWriter m_writer;
    RequestLine m_line;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::request_parser<ArrivingBody>> m_parser;
    std::unique_ptr<ByteShare> m_requestShare; ///< Of the request that arrives.
    std::unique_ptr<ByteShare> m_responseShare; ///< Of the responses that wait or are being written.
    std::string m_peer;
    Phase m_phase = Phase::Open;
    Reading m_reading = Reading::None;
    std::uint64_t m_readStep = 0; ///< Changes with m_reading, so that completions of earlier steps are ignored.
    bool m_isInputEnded = false; ///< No further request is read.
    bool m_isProceeding = false;
    bool m_isHeadRead = false; ///< Of the request that arrives, as the following.
    std::uint64_t m_arrived = 0; ///< Bytes of the body, with its framing.
    std::uint64_t m_periodBegin = 0; ///< Of these, at the begin of the period in which it must progress.
    core::ProgressMeter m_progress;
    std::chrono::steady_clock::time_point m_requestSince;
    std::uint64_t m_requests = 0; ///< Read on this connection.
    std::size_t m_discarded = 0; ///< Bytes, while lingering.
    std::chrono::steady_clock::time_point m_idleSince; ///< Start of the wait for the next request.
};

} // namespace sardinehinge::http::internal
