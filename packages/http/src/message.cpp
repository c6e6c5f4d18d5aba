#include <sardinehinge/http/message.h>

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace sardinehinge::http {

namespace {

int hexDigit(char c) noexcept
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

std::string decodeQueryValue(std::string_view text)
{
    std::string spaced(text);
    std::replace(spaced.begin(), spaced.end(), '+', ' ');
    return decodePercent(spaced);
}

bool isUnreserved(char c) noexcept
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
        || c == '~' || c == '.';
}

} // namespace

std::optional<std::string> headerValue(const Headers &headers, std::string_view name)
{
    for (const auto &[key, value] : headers) {
        if (boost::beast::iequals(boost::beast::string_view(key.data(), key.size()),
                                  boost::beast::string_view(name.data(), name.size())))
            return value;
    }
    return std::nullopt;
}

std::string encodePercent(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    const bool isDotSegment = text == "." || text == "..";
    std::string encoded;
    for (const char c : text) {
        if (isUnreserved(c) && !isDotSegment) {
            encoded += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded += '%';
        encoded += digits[byte / 16];
        encoded += digits[byte % 16];
    }
    return encoded;
}

std::string decodePercent(std::string_view text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const bool hasDigits = text[index] == '%' && index + 2 < text.size() && hexDigit(text[index + 1]) >= 0
            && hexDigit(text[index + 2]) >= 0;
        if (hasDigits) {
            decoded += static_cast<char>(hexDigit(text[index + 1]) * 16 + hexDigit(text[index + 2]));
            index += 2;
        } else {
            decoded += text[index];
        }
    }
    return decoded;
}

std::string_view pathOf(std::string_view target) noexcept
{
    return target.substr(0, target.find('?'));
}

std::optional<std::string> queryValue(std::string_view target, std::string_view name)
{
    const auto mark = target.find('?');
    if (mark == std::string_view::npos)
        return std::nullopt;
    std::string_view rest = target.substr(mark + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string() : decodeQueryValue(pair.substr(equals + 1));
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return std::nullopt;
}

} // namespace sardinehinge::http
