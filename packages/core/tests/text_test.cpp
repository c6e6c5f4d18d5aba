#include <sardinehinge/core/text.h>

#include <catch2/catch.hpp>

using namespace sardinehinge;

TEST_CASE("Any name is one value in a log line")
{
    const auto [text, value] = GENERATE(table<std::string, std::string>({
        {"i-7f3a91c2", "i-7f3a91c2"},
        {"a&b+c#d%26?/;", "a&b+c#d%26?/;"},
        {"", R"("")"},
        {"a b", R"("a b")"},
        {"a=b", R"("a=b")"},
        {R"(a"b\c)", R"("a\"b\\c")"},
        {"a\nt=1 id=x", R"("a\x0at=1 id=x")"},
        {"a\tb\x7f", R"("a\x09b\x7f")"},
        {"\xc3\xa4", "\"\xc3\xa4\""},
        {"\xef\xbf\xbd", "\"\xef\xbf\xbd\""},
        {"\xff\xc3", R"("\xff\xc3")"},
        {"\xed\xa0\x80", R"("\xed\xa0\x80")"},
        {"\xc0\xaf", R"("\xc0\xaf")"},
        {"\xf4\x90\x80\x80", R"("\xf4\x90\x80\x80")"},
        {std::string(300, 'x'), "\"" + std::string(256, 'x') + "\"(300_bytes)"},
    }));
    CHECK(core::logValue(text) == value);
}

TEST_CASE("The text of an event stays one line of UTF-8")
{
    const auto [text, line] = GENERATE(table<std::string, std::string>({
        {R"(target=a reason="b \"c\"")", R"(target=a reason="b \"c\"")"},
        {"a\r\nb", R"(a\x0d\x0ab)"},
        {"\xff\xc3\xa4", "\\xff\xc3\xa4"},
        {"\xf0\x9f\x90\x9f\x1b[2J", "\xf0\x9f\x90\x9f\\x1b[2J"},
    }));
    CHECK(core::logLine(text) == line);
}
