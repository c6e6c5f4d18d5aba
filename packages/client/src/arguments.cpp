#include <sardinehinge/client/arguments.h>

#include <popt.h>

#include <charconv>
#include <cstdlib>
#include <memory>
#include <sstream>

namespace sardinehinge::client {

namespace {

enum Option {
    optionDaemon = 1,
    optionExpect,
    optionAuthor,
    optionWorkspace,
    optionPicture,
    optionWait,
    optionWaitSeconds,
    optionJson,
    optionHelp,
    optionVersion,
};

constexpr int maxWaitSeconds = 3600;

/// `argument` is the option as popt reports it; it may include `=VALUE`.
core::Error argumentError(const std::string &argument, const std::string &value, const std::string &rule)
{
    const std::string name = argument.substr(0, argument.find('='));
    return {core::ErrorCode::BadSetting, "arguments", {}, name + "=\"" + value + "\": " + rule};
}

template<typename T>
bool parseNumber(const std::string &text, T &value)
{
    const auto [end, errorCode] = std::from_chars(text.data(), text.data() + text.size(), value);
    return errorCode == std::errc() && end == text.data() + text.size();
}

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        if (!part.empty())
            parts.push_back(part);
    }
    return parts;
}

/// Stores the value of an option. Returns the rule that the value violates, or an empty string.
std::string setOption(Arguments &arguments, int option, const std::string &value)
{
    switch (option) {
    case optionDaemon:
        arguments.daemons = splitList(value);
        return arguments.daemons.empty() ? "must name at least one IP:PORT" : "";
    case optionExpect: {
        std::uint64_t revision = 0;
        if (!parseNumber(value, revision))
            return "must be a revision, a whole number";
        arguments.expectedRevision = revision;
        return {};
    }
    case optionWaitSeconds: {
        const bool isNumber = parseNumber(value, arguments.waitSeconds);
        const bool isInRange = isNumber && arguments.waitSeconds >= 1 && arguments.waitSeconds <= maxWaitSeconds;
        return isInRange ? "" : "must be a whole number from 1 to 3600";
    }
    case optionAuthor:
        arguments.author = value;
        break;
    case optionWorkspace:
        arguments.workspace = value;
        break;
    case optionPicture:
        arguments.picturePath = value;
        break;
    case optionWait:
        arguments.wait = true;
        break;
    case optionJson:
        arguments.json = true;
        break;
    case optionHelp:
        arguments.showHelp = true;
        break;
    case optionVersion:
        arguments.showVersion = true;
        break;
    default:
        break;
    }
    return {};
}

} // namespace

std::string helpText()
{
    return R"(Usage: sardinehingectl [OPTION...] COMMAND

Commands:
  workspace apply FILE --expect=REVISION   Put a workspace document in force, if REVISION is the present one (0: new)
  workspace shutdown NAME                  Refuse new work of a workspace; work in progress ends
  target drain TARGET --workspace=NAME     Move all keys away from a target and give it no new work
Queries:
  workspace show NAME                      The document in force
  workspace history NAME                   Its revisions that the store still has
  workspace validate FILE                  Check a document without applying it
  assignment show WORKSPACE/SERVICE        The owner of each shard
  status                                   What one daemon sees
  timeline                                 The events of all daemons given with --daemon, in causal order

Options:
  --daemon=IP:PORT[,IP:PORT...]   Operator addresses; SARDINEHINGE_DAEMON sets them too
  --expect=REVISION               The revision that a change is based on
  --author=NAME                   Who makes the change; default: the login name
  --wait                          Return only when the change is in force on every daemon
  --wait-seconds=N                Longest such wait, 1 to 3600; default 19
  --picture=FILE                  Also write the time line as an SVG picture
  --json                          Answers for programs
  --help, --version
)";
}

core::Result<Arguments> parseArguments(int argc, const char **argv)
{
    const poptOption options[] = {
        {"daemon", '\0', POPT_ARG_STRING, nullptr, optionDaemon, nullptr, nullptr},
        {"expect", '\0', POPT_ARG_STRING, nullptr, optionExpect, nullptr, nullptr},
        {"author", '\0', POPT_ARG_STRING, nullptr, optionAuthor, nullptr, nullptr},
        {"workspace", '\0', POPT_ARG_STRING, nullptr, optionWorkspace, nullptr, nullptr},
        {"picture", '\0', POPT_ARG_STRING, nullptr, optionPicture, nullptr, nullptr},
        {"wait", '\0', POPT_ARG_NONE, nullptr, optionWait, nullptr, nullptr},
        {"wait-seconds", '\0', POPT_ARG_STRING, nullptr, optionWaitSeconds, nullptr, nullptr},
        {"json", '\0', POPT_ARG_NONE, nullptr, optionJson, nullptr, nullptr},
        {"help", 'h', POPT_ARG_NONE, nullptr, optionHelp, nullptr, nullptr},
        {"version", '\0', POPT_ARG_NONE, nullptr, optionVersion, nullptr, nullptr},
        POPT_TABLEEND,
    };
    Arguments arguments;
    if (const char *daemons = std::getenv("SARDINEHINGE_DAEMON"))
        arguments.daemons = splitList(daemons);
    if (const char *user = std::getenv("USER"))
        arguments.author = user;
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
        poptGetContext("sardinehingectl", argc, argv, options, 0), poptFreeContext);
    int option = 0;
    while ((option = poptGetNextOpt(context.get())) > 0) {
        const std::unique_ptr<char, void (*)(void *)> text(poptGetOptArg(context.get()), std::free);
        const std::string value = text ? text.get() : "";
        if (const std::string rule = setOption(arguments, option, value); !rule.empty())
            return argumentError(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS), value, rule);
    }
    if (option < -1)
        return argumentError(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS), {}, poptStrerror(option));
    while (const char *word = poptGetArg(context.get()))
        arguments.positionals.emplace_back(word);
    return arguments;
}

} // namespace sardinehinge::client
