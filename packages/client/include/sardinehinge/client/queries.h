#pragma once

#include <sardinehinge/client/arguments.h>

namespace sardinehinge::client {

/// Read-only commands. Each prints its result and returns an ExitStatus.
int showStatus(const Arguments &arguments);
int showAssignment(const Arguments &arguments);
int showWorkspace(const Arguments &arguments);
int showHistory(const Arguments &arguments);
int validateWorkspace(const Arguments &arguments);
int showTimeline(const Arguments &arguments);

} // namespace sardinehinge::client
