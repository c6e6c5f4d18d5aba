#pragma once

#include <sardinehinge/core/controlgroup.h>
#include <sardinehinge/core/documents.h>
#include <sardinehinge/core/requestrouter.h>
#include <sardinehinge/edges/objectstore.h>
#include <sardinehinge/http/message.h>
#include <sardinehinge/protocol/peercodec.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

/// What the duties of a daemon say to each other through their rings.
namespace sardinehinge::daemon {

// Caller duty to routing duty.

/// A caller's request; `exchange` names it between the two duties.
struct CallerRequest
{
    std::uint64_t exchange = 0;
    http::Request message;
};

struct CallerGone
{
    std::uint64_t exchange = 0;
};

using ToRouting = std::variant<CallerRequest, CallerGone>;

// Routing duty to caller duty.

struct CallerAnswer
{
    std::uint64_t exchange = 0;
    http::Response response;
};

// Control duty to routing duty.

/// A workspace document that takes force with `revision`.
struct WorkspaceUpdate
{
    core::WorkspaceChanged change;
    std::uint64_t revision = 0;
};

using ControlToRouting = std::variant<WorkspaceUpdate, core::OwnersChanged, core::TargetsChanged>;

// Routing duty to control duty.

struct WorkspaceInForce
{
    std::string workspace;
    std::uint64_t revision = 0;
};

struct ServiceLoad
{
    core::ServiceId service;
    std::map<std::uint32_t, double> load;
};

using RoutingToControl = std::variant<WorkspaceInForce, ServiceLoad>;

// Control duty to peer duty.

struct PeerAddresses
{
    std::map<std::string, std::string> byId;
};

struct OutgoingMessage
{
    std::string to;
    core::PeerMessage message;
};

/// Messages about slots go between routing duties; the control duty has no part in them.
using SlotMessage = std::variant<core::SlotDemand, core::SlotGrant>;

struct OutgoingSlotMessage
{
    std::string to;
    SlotMessage message;
};

struct IncomingSlotMessage
{
    core::DaemonIdentity from;
    SlotMessage message;
};

using ToPeers = std::variant<PeerAddresses, OutgoingMessage>;

// Peer duty to control duty.

struct IncomingMessage
{
    core::DaemonIdentity from;
    core::PeerMessage message;
};

// Control duty to platform duty.

struct ReadObject
{
    std::string name;
};

struct WriteObject
{
    std::string name;
    std::string body;
    std::string author;
    std::string attempt;
    std::uint64_t expectedRevision = 0;
};

struct ReadVersions
{
    std::string name;
    std::string operation;
};

/// Watch the store and the instance list, or stop.
struct SetWatching
{
    bool enabled = false;
};

using ToPlatform = std::variant<ReadObject, WriteObject, ReadVersions, SetWatching>;

// Platform duty to control duty.

struct ObjectRead
{
    std::string name;
    core::Result<edges::StoredObject> result;
};

struct ObjectWritten
{
    std::string attempt;
    core::WriteOutcome outcome;
    edges::StoredObject object;
};

struct VersionsRead
{
    std::string operation;
    core::Result<std::vector<edges::StoredObject>> result;
};

struct ObjectsWatched
{
    std::vector<edges::StoredObject> objects;
};

struct ListRead
{
    core::InstanceView view;
};

/// A watch or a list read failed.
struct PlatformFailed
{
    core::Error error;
};

using FromPlatform = std::variant<ObjectRead, ObjectWritten, VersionsRead, ObjectsWatched, ListRead, PlatformFailed>;

// Control duty to order duty, and back.

struct OutgoingOrder
{
    core::ServiceId service;
    core::OrderTarget order;
};

struct OrderOutcome
{
    core::ServiceId service;
    std::string target;
    std::uint64_t sequence = 0;
    std::optional<core::TargetReport> report;
    bool refused = false;
};

// Operator duty to control duty.

/// Writes a workspace document if its revision is `expectedRevision`. The operation is named by the write's attempt.
struct ApplyWorkspace
{
    std::string operation;
    core::WorkspaceSpec spec;
    std::string author;
    std::uint64_t expectedRevision = 0;
};

/// Asks all daemons which revision of a document is in force.
struct CheckInForce
{
    std::string operation;
    std::string document;
    std::uint64_t revision = 0;
};

struct ShowHistory
{
    std::string operation;
    std::string document;
};

struct Resign
{
};

using ToControl = std::variant<ApplyWorkspace, CheckInForce, ShowHistory, Resign>;

} // namespace sardinehinge::daemon
