#pragma once

#include <sardinehinge/core/result.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sardinehinge::client {

/// What the operator asked for.
struct Arguments
{
    std::vector<std::string> positionals; ///< The command and its operands, such as `workspace`, `apply`, `FILE`.
    std::vector<std::string> daemons; ///< Operator addresses, IP:PORT. The first one is asked; `timeline` asks all.
    std::optional<std::uint64_t> expectedRevision; ///< The revision that a change is based on.
    std::string author;
    std::string workspace;
    std::string picturePath; ///< File for the picture of `timeline`.
    int waitSeconds = 19; ///< Longest wait with --wait.
    bool wait = false;
    bool json = false;
    bool showHelp = false;
    bool showVersion = false;

    bool operator==(const Arguments &) const = default;
};

/// Reads the command line and `SARDINEHINGE_DAEMON`; an error's detail names the argument, its value and the rule.
core::Result<Arguments> parseArguments(int argc, const char **argv);

std::string helpText();

} // namespace sardinehinge::client
