#pragma once

#include <sardinehinge/core/types.h>

#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace sardinehinge::http::internal {

using Stream = std::unique_ptr<boost::beast::tcp_stream>;
using SteadyTime = std::chrono::steady_clock::time_point;

/// How long an idle connection may be reused, from the peer's Keep-Alive header: 80% of the timeout there, since the
/// peer's timer started earlier. At most 4 s, also without such a header.
std::chrono::milliseconds idleLifetime(std::string_view header);

/// The open connections of a client without an exchange, by the peer's address.
class IdleConnections
{
public:
    /// Keeps at most `perPeer` connections to a peer.
    explicit IdleConnections(std::size_t perPeer)
        : m_perPeer(perPeer)
    {
    }

    /// Removes and returns a connection to `address` that has been idle for at most `maxIdleTime`, or nullptr.
    Stream take(const std::string &address, core::Duration maxIdleTime);
    /// Keeps a connection, or closes it if there are enough.
    void add(const std::string &address, Stream stream, std::chrono::milliseconds lifetime);
    std::size_t count() const noexcept;

private:
    struct Entry
    {
        Stream stream;
        SteadyTime idleSince;
        SteadyTime expiresAt; ///< The peer may close the connection from then on.
    };

    void closeExpired(SteadyTime now);

    std::size_t m_perPeer;
    std::map<std::string, std::deque<Entry>> m_entries;
    SteadyTime m_nextExpiryCheck;
};

} // namespace sardinehinge::http::internal
