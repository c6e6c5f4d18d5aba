#pragma once

#include <sardinehinge/core/result.h>
#include <sardinehinge/core/types.h>
#include <sardinehinge/http/server.h>

#include <string>
#include <variant>
#include <vector>

namespace sardinehinge::daemon {

/// Everything a daemon is told at start. Flags go before environment variables, these before the defaults.
struct Settings
{
    std::string id; ///< Unique among instances, as in the platform's list.
    std::string failureDomain;
    std::string callerAddress = "127.0.0.1:8080"; ///< TCP, for callers.
    std::string peerAddress = "127.0.0.1:8081"; ///< UDP, for other daemons.
    std::string operatorAddress = "127.0.0.1:8082"; ///< TCP, for operators and metrics.
    std::string platformUrl; ///< Of the object store and the instance list.
    std::string platformSettings; ///< Settings file of a hosting platform; then all other settings come from there.
    std::string logLevel = "info"; ///< debug, info, warning or error.
    core::Duration drainNotice
        = core::Duration(std::chrono::milliseconds(1000)); ///< Unready before it stops accepting.
    core::Duration drainLimit
        = core::Duration(std::chrono::milliseconds(30000)); ///< Longest wait for work in progress.
    http::ServerLimits callerLimits;

    bool operator==(const Settings &) const = default;
};

/// What the command line asks for instead of running.
enum class Request { Run, Check, Version, Help };

struct ParsedSettings
{
    Request request = Request::Run;
    Settings settings;
    std::string helpText;
};

/// Reads flags and `SARDINEHINGE_*` variables and checks every value.
/// An error's detail is one line that names the setting, its value and the rule it breaks.
core::Result<ParsedSettings> parseSettings(int argc, const char **argv);

} // namespace sardinehinge::daemon
