#include <sardinehinge/daemon/settings.h>

#include <boost/asio/ip/address.hpp>
#include <popt.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>

namespace sardinehinge::daemon {

namespace {

constexpr std::size_t maxIdLength = 63;
constexpr std::int64_t maxDrainMs = 3'600'000;

/// One setting: its flag, what the help says, and how a value is checked and kept.
struct Entry
{
    const char *flag;
    const char *argument;
    const char *help;
    /// Keeps the value; returns the rule that it breaks, or nothing.
    std::function<std::string(Settings &, const std::string &)> apply;
};

std::string checkName(const std::string &value)
{
    const auto isAllowed = [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; };
    const bool holds
        = !value.empty() && value.size() <= maxIdLength && std::all_of(value.begin(), value.end(), isAllowed);
    return holds ? std::string() : "must be 1 to 63 letters, digits or any of -_.";
}

std::string checkAddress(const std::string &value)
{
    static const std::string rule = "must be an IP number and a port from 1 to 65535, such as 127.0.0.1:8080";
    const auto colon = value.rfind(':');
    if (colon == std::string::npos)
        return rule;
    std::string host = value.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::system::error_code error;
    boost::asio::ip::make_address(host, error);
    std::uint16_t port = 0;
    const char *end = value.data() + value.size();
    const auto [parsed, fault] = std::from_chars(value.data() + colon + 1, end, port);
    return error || fault != std::errc() || parsed != end || port == 0 ? rule : std::string();
}

std::string checkFile(const std::string &value)
{
    return value.empty() ? "must name a file" : std::string();
}

std::string checkUrl(const std::string &value)
{
    static const std::string scheme = "http://";
    const bool holds = value.starts_with(scheme) && checkAddress(value.substr(scheme.size())).empty();
    return holds ? std::string() : "must be http:// with an IP number and a port, such as http://127.0.0.1:9000";
}

/// A setting that is kept as text once `check` finds no fault in it.
auto textSetting(std::string Settings::*member, std::string (*check)(const std::string &))
{
    return [member, check](Settings &settings, const std::string &value) {
        settings.*member = value;
        return check(value);
    };
}

/// A whole number between two bounds, handed to `keep`.
auto numberSetting(std::int64_t least, std::int64_t most, const std::function<void(Settings &, std::int64_t)> &keep)
{
    return [=](Settings &settings, const std::string &value) -> std::string {
        std::int64_t number = 0;
        const char *end = value.data() + value.size();
        const auto [parsed, fault] = std::from_chars(value.data(), end, number);
        if (fault != std::errc() || parsed != end || number < least || number > most)
            return "must be a whole number from " + std::to_string(least) + " to " + std::to_string(most);
        keep(settings, number);
        return {};
    };
}

std::string applyLogLevel(Settings &settings, const std::string &value)
{
    static constexpr std::array levels = {"debug", "info", "warning", "error"};
    settings.logLevel = value;
    const bool holds = std::find(levels.begin(), levels.end(), value) != levels.end();
    return holds ? std::string() : "must be debug, info, warning or error";
}

const std::vector<Entry> &entries()
{
    using std::chrono::milliseconds;
    static const std::vector<Entry> all = {
        {"id", "NAME", "Id of this instance, as in the platform's list (required)",
         textSetting(&Settings::id, checkName)},
        {"failure-domain", "NAME", "Failure domain of this instance (required)",
         textSetting(&Settings::failureDomain, checkName)},
        {"caller-address", "IP:PORT", "Where callers are served; default 127.0.0.1:8080",
         textSetting(&Settings::callerAddress, checkAddress)},
        {"peer-address", "IP:PORT", "Where other daemons are heard (UDP); default 127.0.0.1:8081",
         textSetting(&Settings::peerAddress, checkAddress)},
        {"operator-address", "IP:PORT", "Where operators and metrics are served; default 127.0.0.1:8082",
         textSetting(&Settings::operatorAddress, checkAddress)},
        {"platform-url", "URL", "Object store and instance list (required)",
         textSetting(&Settings::platformUrl, checkUrl)},
        {"settings", "FILE", "Settings file of a hosting platform, which tells all the rest",
         textSetting(&Settings::platformSettings, checkFile)},
        {"log-level", "LEVEL", "debug, info, warning or error; default info", applyLogLevel},
        {"drain-notice-ms", "MS", "Time between unready and the end of accepting at a stop; default 1000",
         numberSetting(0, maxDrainMs, [](Settings &s, std::int64_t n) { s.drainNotice = milliseconds(n); })},
        {"drain-limit-ms", "MS", "Longest wait for requests in progress at a stop; default 30000",
         numberSetting(0, maxDrainMs, [](Settings &s, std::int64_t n) { s.drainLimit = milliseconds(n); })},
        {"header-limit-bytes", "BYTES", "Largest header of a caller's request; default 16384",
         numberSetting(
             256, 1 << 20,
             [](Settings &s, std::int64_t n) { s.callerLimits.headerBytes = static_cast<std::uint32_t>(n); })},
        {"body-limit-bytes", "BYTES", "Largest body of a caller's request; default 1048576",
         numberSetting(0, 1 << 28,
                       [](Settings &s, std::int64_t n) { s.callerLimits.bodyBytes = static_cast<std::uint64_t>(n); })},
        {"connection-limit", "COUNT", "Most connections of callers; default 4000",
         numberSetting(1, 100'000,
                       [](Settings &s, std::int64_t n) { s.callerLimits.connections = static_cast<std::size_t>(n); })},
        {"request-time-ms", "MS", "Longest time to read one request; default 10000",
         numberSetting(10, 600'000, [](Settings &s, std::int64_t n) { s.callerLimits.readTimeout = milliseconds(n); })},
    };
    return all;
}

std::string variableOf(const char *flag)
{
    std::string name = "SARDINEHINGE_";
    for (const char *c = flag; *c != '\0'; ++c)
        name += *c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(*c)));
    return name;
}

core::Error settingError(const std::string &setting, const std::string &value, const std::string &rule)
{
    return {core::ErrorCode::BadSetting, "settings", {}, setting + "=\"" + value + "\": " + rule};
}

/// Values given, by flag, with the name they were given under.
struct Given
{
    std::string source;
    std::string value;
};

std::map<std::string, Given> readEnvironment()
{
    std::map<std::string, Given> given;
    for (const Entry &entry : entries()) {
        const std::string variable = variableOf(entry.flag);
        if (const char *value = std::getenv(variable.c_str()))
            given[entry.flag] = {variable, value};
    }
    return given;
}

std::string helpText()
{
    std::string text = "Usage: sardinehinged [OPTION...]\n\nEach option can also be given as an environment variable:\n"
                       "--drain-notice-ms is SARDINEHINGE_DRAIN_NOTICE_MS. Options go first.\n\n";
    for (const Entry &entry : entries()) {
        std::string line = std::string("  --") + entry.flag + "=" + entry.argument;
        line.resize(std::max<std::size_t>(line.size() + 1, 34), ' ');
        text += line + entry.help + "\n";
    }
    return text
        + "  --check                         Check the settings and stop\n"
          "  --version                       Print the version and stop\n"
          "  --help                          Print this text and stop\n";
}

} // namespace

core::Result<ParsedSettings> parseSettings(int argc, const char **argv)
{
    constexpr int checkOption = 1;
    constexpr int versionOption = 2;
    constexpr int helpOption = 3;
    constexpr int firstEntry = 100;
    std::vector<poptOption> options;
    for (std::size_t index = 0; index < entries().size(); ++index) {
        const Entry &entry = entries()[index];
        options.push_back({entry.flag, '\0', POPT_ARG_STRING, nullptr, firstEntry + static_cast<int>(index), entry.help,
                           entry.argument});
    }
    options.push_back({"check", '\0', POPT_ARG_NONE, nullptr, checkOption, nullptr, nullptr});
    options.push_back({"version", '\0', POPT_ARG_NONE, nullptr, versionOption, nullptr, nullptr});
    options.push_back({"help", 'h', POPT_ARG_NONE, nullptr, helpOption, nullptr, nullptr});
    options.push_back(POPT_TABLEEND);

    ParsedSettings parsed;
    auto given = readEnvironment();
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
        poptGetContext("sardinehinged", argc, argv, options.data(), 0), poptFreeContext);
    int option = 0;
    while ((option = poptGetNextOpt(context.get())) >= 0) {
        if (option == checkOption)
            parsed.request = Request::Check;
        else if (option == versionOption)
            parsed.request = Request::Version;
        else if (option == helpOption)
            parsed.request = Request::Help;
        if (option < firstEntry)
            continue;
        const std::unique_ptr<char, void (*)(void *)> value(poptGetOptArg(context.get()), std::free);
        const char *flag = entries()[static_cast<std::size_t>(option - firstEntry)].flag;
        given[flag] = {std::string("--") + flag, value ? value.get() : ""};
    }
    if (option < -1)
        return settingError(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS), {}, poptStrerror(option));
    if (const char *stray = poptPeekArg(context.get()))
        return settingError("argument", stray, "is not an option; see --help");
    parsed.helpText = helpText();
    if (parsed.request == Request::Help || parsed.request == Request::Version)
        return parsed;

    for (const Entry &entry : entries()) {
        const auto found = given.find(entry.flag);
        if (found == given.end())
            continue;
        if (const std::string rule = entry.apply(parsed.settings, found->second.value); !rule.empty())
            return settingError(found->second.source, found->second.value, rule);
    }
    if (given.contains("settings"))
        return parsed;
    for (const char *required : {"id", "failure-domain", "platform-url"}) {
        if (!given.contains(required))
            return settingError(std::string("--") + required, {},
                                "is required; " + variableOf(required) + " sets it too");
    }
    return parsed;
}

} // namespace sardinehinge::daemon
