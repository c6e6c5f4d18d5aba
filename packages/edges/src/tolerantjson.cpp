#include <sardinehinge/edges/tolerantjson.h>

#include <sardinehinge/core/text.h>

#include <QByteArrayView>
#include <QJsonDocument>
#include <QList>

#include <algorithm>

namespace sardinehinge::edges {

namespace {

/// Depth of the parts that are repaired: a response, its list, an event, its object, and the object's fields.
constexpr int repairedDepth = 4;

struct Member
{
    QByteArrayView key; ///< With its quotes; empty in an array.
    QByteArrayView value;
};

bool isSpace(char c) noexcept
{
    return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

QByteArrayView trimmed(QByteArrayView text)
{
    while (!text.isEmpty() && isSpace(text.front()))
        text = text.sliced(1);
    while (!text.isEmpty() && isSpace(text.back()))
        text.chop(1);
    return text;
}

bool isParsable(QByteArrayView value)
{
    return QJsonDocument::fromJson("[" + value.toByteArray() + "]").isArray();
}

/// Splits an object or array, without its brackets, at its commas. Doesn't recurse, whatever the depth of the text.
/// Returns nothing if brackets or quotes don't match: then it isn't known where a part ends.
std::optional<QList<Member>> split(QByteArrayView text)
{
    QList<Member> members;
    qsizetype start = 0;
    qsizetype colon = -1;
    qsizetype depth = 0;
    bool isString = false;
    for (qsizetype at = 0; at <= text.size(); ++at) {
        const char c = at == text.size() ? ',' : text[at];
        if (isString && at < text.size()) {
            at += c == '\\' ? 1 : 0;
            isString = c != '"';
        } else if (c == '"') {
            isString = true;
        } else if (c == '{' || c == '[') {
            ++depth;
        } else if (c == '}' || c == ']') {
            if (--depth < 0)
                return std::nullopt;
        } else if (c == ':' && depth == 0 && colon < 0) {
            colon = at;
        } else if (c == ',' && (depth == 0 || at == text.size())) {
            const qsizetype end = std::min(at, text.size());
            if (colon < 0)
                members.push_back({{}, trimmed(text.sliced(start, end - start))});
            else
                members.push_back(
                    {trimmed(text.sliced(start, colon - start)), trimmed(text.sliced(colon + 1, end - colon - 1))});
            start = at + 1;
            colon = -1;
        }
    }
    if (isString || depth != 0)
        return std::nullopt;
    return members;
}

/// The text with each byte that isn't UTF-8 as the escape of a lone surrogate, U+DC80 to U+DCFF, by which bytesOf()
/// knows it. Such text doesn't come from a JSON text that can be read as it is.
QByteArray withEscapedBytes(QByteArrayView value)
{
    const std::string_view bytes(value.data(), static_cast<std::size_t>(value.size()));
    QByteArray text;
    for (std::size_t at = 0; at < bytes.size();) {
        const std::size_t length = core::utf8LengthAt(bytes, at);
        if (length == 0)
            text += "\\udc" + QByteArray::number(static_cast<unsigned char>(bytes[at]), 16);
        else
            text.append(bytes.data() + at, static_cast<qsizetype>(length));
        at += std::max<std::size_t>(length, 1);
    }
    return text;
}

/// Returns nothing if a list as a whole can't be read: it must not pass for one without entries.
std::optional<QByteArray> repaired(QByteArrayView value, QByteArrayView key, int depth,
                                   const QList<QByteArray> &wholeKeys)
{
    constexpr int listDepth = 1;
    if (isParsable(value))
        return value.toByteArray();
    if (value.size() >= 2 && value.front() == '"') {
        if (QByteArray text = withEscapedBytes(value); isParsable(text))
            return text;
    }
    const bool isWhole = std::any_of(wholeKeys.begin(), wholeKeys.end(),
                                     [key](const QByteArray &each) { return key == '"' + each + '"'; });
    const bool isContainer = value.size() >= 2
        && ((value.front() == '{' && value.back() == '}') || (value.front() == '[' && value.back() == ']'));
    const bool isRepaired = isContainer && depth < repairedDepth && !isWhole;
    const auto members = isRepaired ? split(value.sliced(1, value.size() - 2)) : std::nullopt;
    if (!members)
        return depth <= listDepth ? std::nullopt : std::optional(QByteArray("null"));
    QByteArray text(1, value.front());
    for (const Member &member : *members) {
        if (!member.key.isEmpty() && !isParsable(member.key))
            continue;
        const auto part = repaired(member.value, member.key, depth + 1, wholeKeys);
        if (!part)
            return std::nullopt;
        if (text.size() > 1)
            text += ',';
        if (!member.key.isEmpty())
            text += member.key.toByteArray() + ':';
        text += *part;
    }
    return text + value.back();
}

} // namespace

std::string bytesOf(const QString &text)
{
    if (text.isValidUtf16())
        return text.toStdString();
    constexpr char16_t firstByte = 0xdc80;
    constexpr char16_t lastByte = 0xdcff;
    std::string bytes;
    for (qsizetype at = 0; at < text.size(); ++at) {
        const char16_t unit = text[at].unicode();
        const bool isPair = text[at].isHighSurrogate() && at + 1 < text.size() && text[at + 1].isLowSurrogate();
        if (isPair)
            bytes += text.sliced(at++, 2).toStdString();
        else if (unit >= firstByte && unit <= lastByte)
            bytes += static_cast<char>(unit & 0xffU);
        else
            bytes += text.sliced(at, 1).toStdString();
    }
    return bytes;
}

std::optional<QJsonObject> parseTolerantly(const QByteArray &text, const QList<QByteArray> &wholeKeys)
{
    const QJsonDocument whole = QJsonDocument::fromJson(text);
    if (whole.isObject())
        return whole.object();
    const QJsonDocument rest
        = QJsonDocument::fromJson(repaired(trimmed(text), {}, 0, wholeKeys).value_or(QByteArray()));
    return rest.isObject() ? std::optional(rest.object()) : std::nullopt;
}

} // namespace sardinehinge::edges
