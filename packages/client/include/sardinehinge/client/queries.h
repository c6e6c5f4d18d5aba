#pragma once

#include <sardinehinge/client/arguments.h>

namespace sardinehinge::client {

/// Queries change nothing. Each prints its result and returns an exit status.
int showStatus(const Arguments &arguments);
int showAssignment(const Arguments &arguments);
int showWorkspace(const Arguments &arguments);
int showHistory(const Arguments &arguments);
int validateWorkspace(const Arguments &arguments);
int showTimeline(const Arguments &arguments);

} // namespace sardinehinge::client
