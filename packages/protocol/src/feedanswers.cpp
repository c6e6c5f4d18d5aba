#include <sardinehinge/protocol/feedanswers.h>

#include <charconv>

namespace sardinehinge::protocol {

namespace {

/// Reads the number before `end`, and removes both from the text.
std::optional<std::uint64_t> takeNumber(std::string_view &text, char end)
{
    const auto at = text.find(end);
    if (at == std::string_view::npos)
        return std::nullopt;
    std::uint64_t number = 0;
    const auto [parsed, error] = std::from_chars(text.data(), text.data() + at, number);
    if (error != std::errc() || parsed != text.data() + at)
        return std::nullopt;
    text.remove_prefix(at + 1);
    return number;
}

} // namespace

std::string encodeFeedAnswers(const std::vector<core::FeedAnswer> &answers)
{
    std::string text;
    for (const core::FeedAnswer &answer : answers)
        text += std::to_string(answer.base) + ' ' + std::to_string(answer.revision) + ' '
            + std::to_string(answer.source.size()) + '\n' + answer.source;
    return text;
}

std::optional<std::vector<core::FeedAnswer>> decodeFeedAnswers(std::string_view text)
{
    std::vector<core::FeedAnswer> answers;
    while (!text.empty()) {
        const auto base = takeNumber(text, ' ');
        const auto revision = base ? takeNumber(text, ' ') : std::nullopt;
        const auto bytes = revision ? takeNumber(text, '\n') : std::nullopt;
        if (!bytes || *bytes > text.size())
            return std::nullopt;
        answers.push_back({*base, *revision, std::string(text.substr(0, *bytes))});
        text.remove_prefix(*bytes);
    }
    return answers;
}

} // namespace sardinehinge::protocol
