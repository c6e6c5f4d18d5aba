#pragma once

#include <sardinehinge/core/quarantinekeeper.h>
#include <sardinehinge/core/rangecontrol.h>
#include <sardinehinge/core/ratepermits.h>
#include <sardinehinge/core/result.h>
#include <sardinehinge/core/watchroster.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sardinehinge::protocol {

/// Asks the controller of a service for its latest announcement.
struct OwnersWanted
{
    std::string service;

    bool operator==(const OwnersWanted &) const = default;
};

/// One daemon's requests by key, to the controller of the service.
struct LoadMessage
{
    std::string service;
    std::map<std::uint32_t, std::uint32_t> requests;
    std::map<std::string, double> slowness; ///< By target; carried in thousandths, 1,000 at most.

    bool operator==(const LoadMessage &) const = default;
};

/// A target refused a key that it should own.
struct RefusedMessage
{
    std::string service;
    std::string target;
    std::uint32_t key = 0;

    bool operator==(const RefusedMessage &) const = default;
};

/// A target of a sharded service said that it is leaving.
struct LeavingMessage
{
    std::string service;
    core::TargetIdentity target;

    bool operator==(const LeavingMessage &) const = default;
};

/// One changed entry of the registry of targets.
struct TargetChange
{
    std::string id;
    std::optional<core::RegisteredTarget> target; ///< Nothing: it was deleted, or can't be read.

    bool operator==(const TargetChange &) const = default;
};

/// What a daemon's watch of the registry just brought. Whoever has all changes up to `base` has all up to `revision`
/// then.
struct TargetChanges
{
    std::uint64_t base = 0; ///< Store revision of the change before these.
    std::uint64_t revision = 0;
    std::vector<TargetChange> changes;
    core::StoreEra era = 0; ///< Of both revisions.

    bool operator==(const TargetChanges &) const = default;
};

/// Quarantines that another daemon may not know of.
struct QuarantineMessage
{
    std::vector<core::Quarantine> entries; ///< QuarantineKeeper::maxEntries at most.

    bool operator==(const QuarantineMessage &) const = default;
};

/// Finds out whether two daemons know the same quarantines.
struct QuarantineDigest
{
    std::uint64_t digest = 0; ///< core::QuarantineList::digest().
    bool isReply = false;

    bool operator==(const QuarantineDigest &) const = default;
};

/// Makes a daemon known to another.
struct Hello
{
    std::string address; ///< IP number and UDP port of the sender.
    bool isReply = false;
    std::uint32_t linkMbps = 0; ///< As core::PeerDaemon.

    bool operator==(const Hello &) const = default;
};

using GatewayMessage
    = std::variant<core::RangeOwners, core::RangeOwnersChange, core::ControllerHeartbeat, core::ControllerHeartbeatAck,
                   core::ControllerResigned, OwnersWanted, LoadMessage, RefusedMessage, Hello, core::WatchNotice,
                   TargetChanges, LeavingMessage, core::PermitRequest, core::PermitGrant, core::CrashReport,
                   QuarantineMessage, QuarantineDigest>;

/// A message and who sent it. The `from` fields of beats, resignations and notices are the sender's id.
struct GatewayDatagram
{
    core::DaemonIdentity sender;
    GatewayMessage message;

    bool operator==(const GatewayDatagram &) const = default;
};

std::string encode(const GatewayDatagram &datagram);
/// An error of step `decode` when the bytes are no datagram with exactly one message, or a value is out of its range.
core::Result<GatewayDatagram> decodeGateway(std::string_view bytes);

} // namespace sardinehinge::protocol
