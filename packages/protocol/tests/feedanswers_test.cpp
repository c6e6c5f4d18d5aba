#include <sardinehinge/protocol/feedanswers.h>

#include <catch2/catch.hpp>

using namespace sardinehinge;

TEST_CASE("Answers of a watch are read as they were written")
{
    const auto answers = GENERATE(values<std::vector<core::FeedAnswer>>({
        {},
        {{1, 2, ""}},
        {{1, 2, "{\"events\":[]}"}, {2, 18446744073709551615U, std::string("\n1 2 3\n\0x", 9)}},
    }));
    CHECK(protocol::decodeFeedAnswers(protocol::encodeFeedAnswers(answers)) == answers);
}

TEST_CASE("Text that isn't answers of a watch is refused")
{
    const std::string text = GENERATE(as<std::string>(), "1", "1 2", "1 2 3", "1 2 3\nab", "1 2 -1\n", "a 2 1\nx",
                                      "1 2 99999999999999999999\nx", "1  2 1\nx", "1 2 1\nxy", "<html></html>\n");
    CHECK_FALSE(protocol::decodeFeedAnswers(text));
}
