#pragma once

#include <sardinehinge/core/types.h>
#include <sardinehinge/http/message.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace sardinehinge::http::internal {

using ExchangeId = std::uint64_t;

/// Bounds on what one connection holds ahead of its caller.
struct LineLimits
{
    std::size_t depth = 1; ///< Requests whose response hasn't been written.
    std::size_t bytes = 0; ///< Of requests that wait and responses that haven't been written.

    bool operator==(const LineLimits &) const = default;
};

/// The requests of one connection in the order in which they arrived, from reading to the written response.
///
/// A request waits, is started, is answered and leaves the line once its response, as the first in line, was written.
/// Requests that may run beside others are started at once; any other only as the first in line, and nothing is
/// started beside it.
class RequestLine
{
public:
    /// A response that is next to be written.
    struct Next
    {
        Response response;
        std::optional<std::size_t> truncateAt; ///< Bytes of the body after which the connection is closed.
        bool closes = false; ///< Nothing behind it will be answered on this connection.
        std::vector<ExchangeId> abandoned; ///< Started behind a response that closes the connection.

        bool operator==(const Next &) const = default;
    };

    /// Appends a request. `closes`: the caller expects no response after this one.
    void add(ExchangeId id, Request request, core::Time now, bool closes);
    /// Appends the response to what couldn't be read as a request; it closes the connection.
    void addRejection(Response response);

    /// Whether a further request may be read. `keepsAlive`: responses needn't close the connection.
    bool mayRead(const LineLimits &limits, bool keepsAlive) const;

    /// The next request to start, or nullptr.
    const Request *firstWaiting() const;
    /// Whether firstWaiting() may be started now. A response of the size of the largest one so far is expected for each
    /// request in progress.
    bool mayStart(bool mayRunBeside, const LineLimits &limits, bool keepsAlive) const;
    struct Started
    {
        ExchangeId id = 0;
        Request request;
    };
    /// Starts firstWaiting(); sets Request::waited.
    Started start(bool mayRunBeside, core::Time now);

    /// Takes the response to a started request. Returns false if it isn't in line or has one. `closes`: nothing behind
    /// it is answered.
    bool answer(ExchangeId id, Response response, bool closes = false, std::optional<std::size_t> truncateAt = {});
    /// Takes the response of the first in line if it is there and hasn't been taken. Without `keepsAlive`, or if it
    /// closes the connection, requests that weren't started leave the line.
    std::optional<Next> takeNext(bool keepsAlive);
    /// Removes the first in line, whose response was written. Returns whether the connection closes behind it.
    bool written();

    /// The caller sends and reads no more: keeps the responses that are complete up to the first request without one.
    /// Returns the started requests that are abandoned.
    std::vector<ExchangeId> callerLeft();
    /// Removes all requests. Returns the started ones without a response.
    std::vector<ExchangeId> clear();

    bool isEmpty() const noexcept { return m_entries.empty(); }
    std::size_t size() const noexcept { return m_entries.size(); }
    /// Bytes of waiting requests and of responses that haven't been taken. Those of started requests are the handler's.
    std::size_t heldBytes() const noexcept { return m_heldBytes; }

private:
    enum class State { Waiting, Started, Answered, Writing };

    struct Entry
    {
        ExchangeId id = 0;
        State state = State::Waiting;
        bool mayRunBeside = false;
        bool closes = false;
        core::Time arrived{};
        Request request;
        Response response;
        std::optional<std::size_t> truncateAt;
        std::size_t bytes = 0; ///< Held for this entry.
    };

    std::size_t waitingIndex() const;
    void hold(Entry &entry, std::size_t bytes);
    std::vector<ExchangeId> truncate(std::size_t size);

    std::deque<Entry> m_entries;
    std::size_t m_heldBytes = 0;
    std::size_t m_largestResponse = 0;
};

} // namespace sardinehinge::http::internal
