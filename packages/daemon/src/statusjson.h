#pragma once

#include "operations.h"
#include "snapshot.h"

#include <sardinehinge/daemon/eventlog.h>

#include <QJsonObject>

namespace sardinehinge::daemon {

/// What operators are shown, as JSON; docs/API.md describes each.
QJsonObject statusJson(const Snapshot &snapshot);
QJsonObject assignmentJson(const GroupStatus &group);
QJsonObject workspaceJson(const WorkspaceStatus &workspace);
QJsonObject operationJson(const Operation &operation);
QJsonObject timelineJson(const std::string &daemonId, const std::vector<TimelineEntry> &entries);
QJsonObject errorJson(const core::Error &error);

} // namespace sardinehinge::daemon
