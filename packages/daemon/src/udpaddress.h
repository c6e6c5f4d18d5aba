#pragma once

#include <boost/asio/ip/udp.hpp>

#include <charconv>
#include <optional>
#include <string>

namespace sardinehinge::daemon {

/// Reads `IP:port`; nothing when it isn't one.
inline std::optional<boost::asio::ip::udp::endpoint> parseUdpAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(address.substr(0, colon), error);
    std::uint16_t port = 0;
    const char *last = address.data() + address.size();
    const auto [end, fault] = std::from_chars(address.data() + colon + 1, last, port);
    if (error || fault != std::errc() || end != last)
        return std::nullopt;
    return boost::asio::ip::udp::endpoint(ip, port);
}

} // namespace sardinehinge::daemon
