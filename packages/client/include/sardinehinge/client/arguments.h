#pragma once

#include <sardinehinge/core/result.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sardinehinge::client {

/// The parsed command line.
struct Arguments
{
    std::vector<std::string> positionals; ///< Command and operands, for example `workspace apply FILE`.
    std::vector<std::string> daemons; ///< Operator addresses, IP:PORT; only `timeline` queries more than the first.
    std::optional<std::uint64_t> expectedRevision; ///< Revision that a change is based on; 0 for a new workspace.
    std::string author; ///< Who makes the change; the login name by default.
    std::string workspace; ///< Workspace of the target to drain.
    std::string picturePath; ///< SVG file that `timeline` writes; empty for none.
    int waitSeconds = 19; ///< Limit of the wait with --wait, 1 to 3600.
    bool wait = false; ///< Wait until the change is in force on every daemon.
    bool json = false; ///< Print results as JSON.
    bool showHelp = false;
    bool showVersion = false;

    bool operator==(const Arguments &) const = default;
};

/// Parses the command line. `SARDINEHINGE_DAEMON` supplies the daemons if --daemon is missing, `USER` the author if
/// --author is missing. On error, the detail names the argument, its value and the rule that it violates.
core::Result<Arguments> parseArguments(int argc, const char **argv);

/// The text that --help prints.
std::string helpText();

} // namespace sardinehinge::client
