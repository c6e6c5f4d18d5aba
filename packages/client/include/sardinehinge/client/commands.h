#pragma once

#include <sardinehinge/client/arguments.h>

namespace sardinehinge::client {

/// Exit statuses; docs/API.md lists them.
enum ExitStatus {
    exitSuccess = 0,
    exitFailure = 1, ///< The daemon reported an error, or could not be reached.
    exitUsage = 2, ///< Wrong arguments, or a document that breaks a rule.
    exitConflict = 3, ///< Another change came first.
    exitOutcomeUnknown = 4, ///< Whether the change took effect is not known.
    exitLagging = 5, ///< The change is accepted, but not in force everywhere within the wait.
};

/// Commands change something. Each prints its result and returns an exit status.
int applyWorkspace(const Arguments &arguments);
int shutDownWorkspace(const Arguments &arguments);
int drainTarget(const Arguments &arguments);

} // namespace sardinehinge::client
