#pragma once

#include <sardinehinge/core/assignment.h>
#include <sardinehinge/core/conditionalwrite.h>
#include <sardinehinge/core/result.h>
#include <sardinehinge/core/workspacespec.h>

#include <string>
#include <vector>

namespace sardinehinge::edges {

/// The frame around every object that the system stores: who wrote it, and the attempts that led to it.
struct StoredEnvelope
{
    std::string attempt;
    std::vector<core::StoredState::Earlier> earlier; ///< At most core::maxStoredAttempts, newest first.
    std::string author;
    std::string body; ///< The document proper, as JSON.

    bool operator==(const StoredEnvelope &) const = default;
};

std::string encodeEnvelope(const StoredEnvelope &envelope);
core::Result<StoredEnvelope> decodeEnvelope(const std::string &bytes);

/// A workspace document, or the faults that it has: one line each, starting with the path of the value.
using WorkspaceDocument = std::variant<core::WorkspaceSpec, std::vector<std::string>>;

/// Reads an operator's document. Unknown fields are faults, so that a misspelt parameter isn't lost.
WorkspaceDocument decodeWorkspace(const std::string &json);
std::string encodeWorkspace(const core::WorkspaceSpec &spec);

std::string encodeAssignment(const core::Assignment &assignment);
core::Result<core::Assignment> decodeAssignment(const std::string &json);

std::string encodeRecord(const core::ControlRecord &record);
core::Result<core::ControlRecord> decodeRecord(const std::string &json);

std::string encodeInstances(const core::InstanceView &view);
core::Result<core::InstanceView> decodeInstances(const std::string &json);

/// Names of objects in the store.
std::string workspaceObject(const std::string &workspace);
std::string recordObject(const core::ServiceId &service);
std::string assignmentObject(const core::ServiceId &service);
/// The document that carries the instance list among the daemons; it isn't in the store.
constexpr const char *instancesDocument = "instances";

} // namespace sardinehinge::edges
