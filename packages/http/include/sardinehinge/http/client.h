#pragma once

#include <sardinehinge/core/types.h>
#include <sardinehinge/http/message.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace sardinehinge::http {

/// How far an exchange came before it ended.
enum class ExchangeOutcome {
    NotSent, ///< Nothing was written: the request certainly didn't reach the peer.
    ConnectionRefused, ///< As NotSent; the peer's host answered that no process listens there.
    NoResponse, ///< At least one byte of the request was written; no byte of the answer came.
    TruncatedResponse, ///< The answer began but didn't end.
    Complete, ///< The whole answer is here.
};

/// The end of an exchange. `response` is only meaningful at step Complete.
struct ExchangeResult
{
    ExchangeOutcome outcome = ExchangeOutcome::NotSent;
    Response response;
    std::string detail;

    bool operator==(const ExchangeResult &) const = default;
};

struct ClientLimits
{
    core::Duration connectTimeout = core::Duration(std::chrono::milliseconds(250));
    std::uint32_t headerBytes = 64 * 1024;
    std::uint64_t bodyBytes = 16ULL * 1024 * 1024;
    std::size_t idleConnections = 8; ///< Kept open per peer.

    bool operator==(const ClientLimits &) const = default;
};

/// How one request is to be exchanged.
struct ExchangeOptions
{
    core::Duration timeout = core::Duration(std::chrono::seconds(1)); ///< For the whole exchange.
    /// A header that the peer repeats in its answer. An answer without it, or with another value, belongs to an earlier
    /// request: it is dropped, and the connection is read on.
    std::optional<std::pair<std::string, std::string>> echoedHeader;
    /// An open connection that has been idle for longer isn't used: the peer may just be closing it.
    core::Duration maxIdleTime = core::Duration(std::chrono::seconds(60));
    /// Takes an answer without a length as complete when the peer ends the connection in order.
    bool acceptsCloseDelimited = false;

    bool operator==(const ExchangeOptions &) const = default;
};

/// Exchanges requests with peers over kept-alive connections. It never sends a request twice, and its ends tell a
/// request that certainly wasn't sent from one that may have arrived. Unless ExchangeOptions say
/// otherwise, an answer that only the end of the connection delimits counts as incomplete: it can't be told from a
/// truncated one. A `Host` header of the request goes before the peer's address. Single-threaded: use it on its
/// io_context only.
class Client
{
public:
    using Callback = std::function<void(ExchangeResult)>;
    using ExchangeId = std::uint64_t;

    Client(boost::asio::io_context &context, ClientLimits limits = {});
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// Sends `request` to `address` (IP number and port). `done` is called exactly once, within `timeout`.
    ExchangeId send(const std::string &address, const Request &request, core::Duration timeout, Callback done);
    ExchangeId send(const std::string &address, const Request &request, const ExchangeOptions &options, Callback done);
    /// Closes the exchange's connection; its callback comes with the step reached. Unknown ids are ignored.
    void cancel(ExchangeId id);
    /// Connections open to all peers, idle ones included.
    std::size_t connections() const noexcept;

    struct State; ///< Internal.

private:
    std::shared_ptr<State> m_state;
};

} // namespace sardinehinge::http
