#include <sardinehinge/daemon/settings.h>

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace sardinehinge;

namespace {

core::Result<daemon::ParsedSettings> parse(std::vector<const char *> arguments)
{
    arguments.insert(arguments.begin(), "sardinehinged");
    const int count = static_cast<int>(arguments.size());
    arguments.push_back(nullptr);
    return daemon::parseSettings(count, arguments.data());
}

std::vector<const char *> rightArguments()
{
    return {"--id=d-1", "--failure-domain=viborg", "--platform-url=http://127.0.0.1:9000"};
}

} // namespace

TEST_CASE("Right settings are taken, with defaults for the rest")
{
    const auto parsed = parse(rightArguments());
    REQUIRE(core::errorIn(parsed) == nullptr);
    const daemon::Settings &settings = std::get<daemon::ParsedSettings>(parsed).settings;
    CHECK(settings.id == "d-1");
    CHECK(settings.callerAddress == "127.0.0.1:8080");
    CHECK(settings.drainNotice == std::chrono::milliseconds(1000));
}

TEST_CASE("A wrong setting gets one line that names it, its value and the rule")
{
    const auto [argument, line] = GENERATE(values<std::pair<const char *, std::string>>({
        {"--id=a b", "--id=\"a b\": must be 1 to 63 letters, digits or any of -_."},
        {"--caller-address=localhost:80",
         "--caller-address=\"localhost:80\": must be an IP number and a port from 1 to 65535, such as 127.0.0.1:8080"},
        {"--caller-address=127.0.0.1:99999",
         "--caller-address=\"127.0.0.1:99999\": must be an IP number and a port from 1 to 65535, such as "
         "127.0.0.1:8080"},
        {"--platform-url=https://x",
         "--platform-url=\"https://x\": must be http:// with an IP number and a port, such as http://127.0.0.1:9000"},
        {"--drain-notice-ms=-1", "--drain-notice-ms=\"-1\": must be a whole number from 0 to 3600000"},
        {"--connection-limit=1e3", "--connection-limit=\"1e3\": must be a whole number from 1 to 100000"},
        {"--log-level=loud", "--log-level=\"loud\": must be debug, info, warning or error"},
        {"--nonsense", "--nonsense=\"\": unknown option"},
        {"stray", "argument=\"stray\": is not an option; see --help"},
    }));
    auto arguments = rightArguments();
    arguments.push_back(argument);
    const auto parsed = parse(arguments);
    REQUIRE(core::errorIn(parsed) != nullptr);
    CHECK(core::errorIn(parsed)->detail == line);
}

TEST_CASE("What is required and missing is named")
{
    const auto parsed = parse({"--id=d-1", "--failure-domain=viborg"});
    REQUIRE(core::errorIn(parsed) != nullptr);
    CHECK(core::errorIn(parsed)->detail == "--platform-url=\"\": is required; SARDINEHINGE_PLATFORM_URL sets it too");
}

TEST_CASE("Flags go before environment variables")
{
    setenv("SARDINEHINGE_LOG_LEVEL", "error", 1);
    const auto fromEnvironment = parse(rightArguments());
    auto arguments = rightArguments();
    arguments.push_back("--log-level=debug");
    const auto fromFlag = parse(arguments);
    setenv("SARDINEHINGE_LOG_LEVEL", "loud", 1);
    const auto wrong = parse(rightArguments());
    unsetenv("SARDINEHINGE_LOG_LEVEL");
    CHECK(std::get<daemon::ParsedSettings>(fromEnvironment).settings.logLevel == "error");
    CHECK(std::get<daemon::ParsedSettings>(fromFlag).settings.logLevel == "debug");
    CHECK(core::errorIn(wrong)->detail == "SARDINEHINGE_LOG_LEVEL=\"loud\": must be debug, info, warning or error");
}
