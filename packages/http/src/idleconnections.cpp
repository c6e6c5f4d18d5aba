#include "idleconnections.h"

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <charconv>

namespace sardinehinge::http::internal {

namespace beast = boost::beast;
namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds expiryCheckInterval(1); ///< Between two checks for expired idle connections.

/// Whether the peer has closed an idle connection, or has sent bytes that belong to no request.
bool isStale(beast::tcp_stream &stream)
{
    char byte = 0;
    boost::system::error_code error;
    stream.socket().non_blocking(true, error);
    stream.socket().receive(asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, error);
    return error != asio::error::would_block;
}

} // namespace

std::chrono::milliseconds idleLifetime(std::string_view header)
{
    constexpr std::chrono::milliseconds maxKeepAlive(4000); // Shorter than the usual idle timeouts of servers.
    const auto at = header.find("timeout=");
    if (at == std::string_view::npos)
        return maxKeepAlive;
    std::uint32_t seconds = 0;
    const std::string_view digits = header.substr(at + 8);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (parsed.ec == std::errc::result_out_of_range)
        return maxKeepAlive;
    return std::min(maxKeepAlive, std::chrono::milliseconds(std::int64_t{seconds} * 800));
}

Stream IdleConnections::take(const std::string &address, core::Duration maxIdleTime)
{
    const auto now = std::chrono::steady_clock::now();
    closeExpired(now);
    const auto found = m_entries.find(address);
    if (found == m_entries.end())
        return nullptr;
    auto &entries = found->second;
    while (!entries.empty()) {
        if (now - entries.back().idleSince > maxIdleTime)
            return nullptr;
        Entry entry = std::move(entries.back());
        entries.pop_back();
        if (now < entry.expiresAt && !isStale(*entry.stream))
            return std::move(entry.stream);
    }
    return nullptr;
}

void IdleConnections::add(const std::string &address, Stream stream, std::chrono::milliseconds lifetime)
{
    auto &entries = m_entries[address];
    const auto now = std::chrono::steady_clock::now();
    if (entries.size() < m_perPeer)
        entries.push_back({std::move(stream), now, now + lifetime});
}

std::size_t IdleConnections::count() const noexcept
{
    std::size_t count = 0;
    for (const auto &[address, entries] : m_entries)
        count += entries.size();
    return count;
}

/// Closes expired idle connections, so that peers that no longer exist hold no file descriptors.
void IdleConnections::closeExpired(SteadyTime now)
{
    if (now < m_nextExpiryCheck)
        return;
    m_nextExpiryCheck = now + expiryCheckInterval;
    for (auto &[address, entries] : m_entries)
        std::erase_if(entries, [now](const Entry &entry) { return now >= entry.expiresAt; });
    std::erase_if(m_entries, [](const auto &each) { return each.second.empty(); });
}

} // namespace sardinehinge::http::internal
