#include <sardinehinge/http/message.h>

#include <boost/beast/core/string.hpp>

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
            decoded += text[index] == '+' ? ' ' : text[index];
        }
    }
    return decoded;
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
            return equals == std::string_view::npos ? std::string() : decodePercent(pair.substr(equals + 1));
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return std::nullopt;
}

} // namespace sardinehinge::http
