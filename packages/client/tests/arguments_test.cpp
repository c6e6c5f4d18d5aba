#include <sardinehinge/client/arguments.h>
#include <sardinehinge/client/timeline.h>

#include <catch2/catch.hpp>

using namespace sardinehinge;

namespace {

core::Result<client::Arguments> parse(std::vector<const char *> arguments)
{
    arguments.insert(arguments.begin(), "sardinehingectl");
    const int count = static_cast<int>(arguments.size());
    arguments.push_back(nullptr);
    return client::parseArguments(count, arguments.data());
}

} // namespace

TEST_CASE("Options and positional arguments may be mixed in any order")
{
    const auto parsed
        = parse({"workspace", "--expect=7", "apply", "--daemon=127.0.0.1:1,127.0.0.1:2", "file.json", "--wait"});
    REQUIRE(core::errorIn(parsed) == nullptr);
    const auto &arguments = std::get<client::Arguments>(parsed);
    CHECK(arguments.positionals == std::vector<std::string>{"workspace", "apply", "file.json"});
    CHECK(arguments.expectedRevision == std::optional<std::uint64_t>(7));
    CHECK(arguments.daemons.size() == 2);
    CHECK(arguments.wait);
}

TEST_CASE("An invalid argument is reported with its name, its value and the violated rule")
{
    const auto [argument, line] = GENERATE(values<std::pair<const char *, std::string>>({
        {"--expect=x", "--expect=\"x\": must be a revision, a whole number"},
        {"--wait-seconds=0", "--wait-seconds=\"0\": must be a whole number from 1 to 3600"},
        {"--colour", "--colour=\"\": unknown option"},
    }));
    const auto parsed = parse({"status", argument});
    REQUIRE(core::errorIn(parsed) != nullptr);
    CHECK(core::errorIn(parsed)->detail == line);
}

TEST_CASE("Timelines are merged in causal order and rendered as SVG")
{
    const std::vector<client::TimelineEvent> first = {{{100, 0}, "a", 400, "start"}, {{100, 2}, "a", 110, "<write>"}};
    const std::vector<client::TimelineEvent> second = {{{100, 1}, "b", 400, "start"}, {{90, 0}, "b", 400, "early"}};
    const auto merged = client::mergeTimelines({first, second});
    std::vector<std::string> details;
    for (const auto &event : merged)
        details.push_back(event.detail);
    CHECK(details == std::vector<std::string>{"early", "start", "start", "<write>"});
    const std::string svg = client::drawTimeline(merged);
    CHECK(svg.find("&lt;write&gt;") != std::string::npos);
    CHECK(svg.ends_with("</svg>\n"));
}
