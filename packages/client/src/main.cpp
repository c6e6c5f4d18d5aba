#include <sardinehinge/client/commands.h>
#include <sardinehinge/client/queries.h>

#include <QCoreApplication>

#include <algorithm>
#include <functional>
#include <iostream>
#include <vector>

namespace {

using sardinehinge::client::Arguments;

struct Command
{
    std::vector<std::string> name;
    std::size_t operandCount;
    std::function<int(const Arguments &)> run;
};

const std::vector<Command> &commands()
{
    using namespace sardinehinge::client;
    static const std::vector<Command> all = {
        {{"workspace", "apply"}, 1, applyWorkspace},
        {{"workspace", "shutdown"}, 1, shutDownWorkspace},
        {{"target", "drain"}, 1, drainTarget},
        {{"workspace", "show"}, 1, showWorkspace},
        {{"workspace", "history"}, 1, showHistory},
        {{"workspace", "validate"}, 1, validateWorkspace},
        {{"assignment", "show"}, 1, showAssignment},
        {{"status"}, 0, showStatus},
        {{"timeline"}, 0, showTimeline},
    };
    return all;
}

} // namespace

int main(int argc, char **argv)
{
    using namespace sardinehinge;
    QCoreApplication application(argc, argv);
    const auto parsed = client::parseArguments(argc, const_cast<const char **>(argv));
    if (const core::Error *error = core::errorIn(parsed)) {
        std::cerr << "sardinehingectl: " << error->detail << '\n';
        return client::exitUsage;
    }
    const auto &arguments = std::get<Arguments>(parsed);
    if (arguments.showHelp) {
        std::cout << client::helpText();
        return client::exitSuccess;
    }
    if (arguments.showVersion) {
        std::cout << "sardinehingectl 0.1.0\n";
        return client::exitSuccess;
    }
    for (const Command &command : commands()) {
        const auto &positionals = arguments.positionals;
        const bool matches = positionals.size() == command.name.size() + command.operandCount
            && std::equal(command.name.begin(), command.name.end(), positionals.begin());
        if (matches)
            return command.run(arguments);
    }
    std::cerr << "sardinehingectl: command=\"" << (arguments.positionals.empty() ? "" : arguments.positionals.front())
              << "\": must be one of the commands in --help, with its operands\n";
    return client::exitUsage;
}
