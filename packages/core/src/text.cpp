#include <sardinehinge/core/text.h>

#include <algorithm>

namespace sardinehinge::core {

namespace {

constexpr std::size_t maxIdBytes = 256;
constexpr std::size_t maxShownBytes = 256; ///< Of a value in a log line.

unsigned byteAt(std::string_view text, std::size_t at) noexcept
{
    return at < text.size() ? static_cast<unsigned char>(text[at]) : 0;
}

bool isControl(char c) noexcept
{
    constexpr char del = 0x7f;
    return (c >= 0 && c < ' ') || c == del;
}

bool isBlank(char c) noexcept
{
    return c == ' ' || c == '\t';
}

/// Whether a value may stand without quotes.
bool isPlain(char c) noexcept
{
    return c > ' ' && c < 0x7f && c != '"' && c != '\\' && c != '=';
}

void appendEscaped(std::string &line, char c)
{
    constexpr std::string_view digits = "0123456789abcdef";
    const auto byte = static_cast<unsigned char>(c);
    line += "\\x";
    line += digits[byte / 16];
    line += digits[byte % 16];
}

/// Appends `text`, with `\` before each of `marks`.
void appendReadable(std::string &line, std::string_view text, std::string_view marks)
{
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t length = utf8LengthAt(text, at);
        if (length == 0 || isControl(text[at])) {
            appendEscaped(line, text[at]);
            ++at;
            continue;
        }
        if (marks.find(text[at]) != std::string_view::npos)
            line += '\\';
        line += text.substr(at, length);
        at += length;
    }
}

} // namespace

std::size_t utf8LengthAt(std::string_view text, std::size_t at) noexcept
{
    const unsigned first = byteAt(text, at);
    const unsigned second = byteAt(text, at + 1);
    const auto follow = [&](std::size_t from, std::size_t count) {
        for (std::size_t next = from; next < from + count; ++next) {
            if ((byteAt(text, at + next) & 0xc0U) != 0x80U)
                return false;
        }
        return true;
    };
    if (first < 0x80)
        return at < text.size() ? 1 : 0;
    if (first >= 0xc2 && first <= 0xdf)
        return follow(1, 1) ? 2 : 0;
    if (first >= 0xe0 && first <= 0xef) {
        // Neither overlong forms nor surrogates.
        const unsigned least = first == 0xe0 ? 0xa0 : 0x80;
        const unsigned most = first == 0xed ? 0x9f : 0xbf;
        return second >= least && second <= most && follow(2, 1) ? 3 : 0;
    }
    if (first >= 0xf0 && first <= 0xf4) {
        // Neither overlong forms nor code points above U+10FFFF.
        const unsigned least = first == 0xf0 ? 0x90 : 0x80;
        const unsigned most = first == 0xf4 ? 0x8f : 0xbf;
        return second >= least && second <= most && follow(2, 2) ? 4 : 0;
    }
    return 0;
}

bool isInstanceId(std::string_view text) noexcept
{
    if (text.empty() || text.size() > maxIdBytes || isBlank(text.front()) || isBlank(text.back()))
        return false;
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t length = utf8LengthAt(text, at);
        if (length == 0 || (isControl(text[at]) && text[at] != '\t'))
            return false;
        at += length;
    }
    return true;
}

std::string logValue(std::string_view text)
{
    if (!text.empty() && text.size() <= maxShownBytes && std::all_of(text.begin(), text.end(), isPlain))
        return std::string(text);
    std::string value = "\"";
    appendReadable(value, text.substr(0, maxShownBytes), "\"\\");
    value += '"';
    if (text.size() > maxShownBytes)
        value += "(" + std::to_string(text.size()) + "_bytes)";
    return value;
}

std::string logLine(std::string_view text)
{
    if (std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c < 0x7f; }))
        return std::string(text);
    std::string line;
    line.reserve(text.size());
    appendReadable(line, text, {});
    return line;
}

} // namespace sardinehinge::core
