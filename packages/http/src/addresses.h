#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <charconv>
#include <optional>
#include <string>

namespace sardinehinge::http::internal {

/// Parses `IP:port` or `[IPv6]:port`; returns nullopt if `address` is neither.
inline std::optional<boost::asio::ip::tcp::endpoint> parseAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    std::string host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    std::uint16_t port = 0;
    const char *end = address.data() + address.size();
    const auto [parsed, fault] = std::from_chars(address.data() + colon + 1, end, port);
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(host, error);
    if (fault != std::errc() || parsed != end || error)
        return std::nullopt;
    return boost::asio::ip::tcp::endpoint(ip, port);
}

inline std::string toString(const boost::asio::ip::tcp::endpoint &endpoint)
{
    const std::string host = endpoint.address().to_string();
    const std::string port = std::to_string(endpoint.port());
    return endpoint.address().is_v6() ? "[" + host + "]:" + port : host + ":" + port;
}

} // namespace sardinehinge::http::internal
