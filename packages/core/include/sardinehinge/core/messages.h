#pragma once

#include <sardinehinge/core/types.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace sardinehinge::core {

/// Asks a witness to promise that it acknowledges no heartbeat of a term below `term`. `baseTerm` is the term of the
/// control record that the candidate knows.
struct PromiseRequest
{
    std::string group;
    std::uint64_t term = 0;
    std::uint64_t baseTerm = 0;

    bool operator==(const PromiseRequest &) const = default;
};

/// Answers a PromiseRequest, or refuses a Heartbeat. `term` echoes the request; `promisedTerm` and `baseTerm` are the
/// witness's own.
struct PromiseReply
{
    std::string group;
    std::uint64_t term = 0;
    bool granted = false;
    std::uint64_t promisedTerm = 0;
    std::uint64_t baseTerm = 0;

    bool operator==(const PromiseReply &) const = default;
};

/// Asks a witness to confirm the sender's authority. An acknowledgement confirms it from `sentAt` on, a time on the
/// sender's clock.
struct Heartbeat
{
    std::string group;
    std::uint64_t term = 0;
    std::uint64_t baseTerm = 0;
    std::int64_t sentAt = 0;

    bool operator==(const Heartbeat &) const = default;
};

/// Acknowledges a Heartbeat and echoes its fields.
struct HeartbeatAck
{
    std::string group;
    std::uint64_t term = 0;
    std::uint64_t baseTerm = 0;
    std::int64_t sentAt = 0;

    bool operator==(const HeartbeatAck &) const = default;
};

/// A part of a document's bytes, starting at `offset`. `total` is the size of the whole document in bytes. A document
/// sent in one piece has offset 0 and bytes.size() == total.
struct Piece
{
    std::string document;
    std::uint64_t revision = 0;
    std::uint32_t total = 0;
    std::uint32_t offset = 0;
    std::string bytes;

    bool operator==(const Piece &) const = default;
};

/// Requests a document at `revision` or later.
struct Fetch
{
    std::string document;
    std::uint64_t revision = 0;

    bool operator==(const Fetch &) const = default;
};

struct DocumentRevision
{
    std::string document;
    std::uint64_t revision = 0;

    bool operator==(const DocumentRevision &) const = default;
};

/// Summary of all documents that a daemon holds. Equal hashes mean that both daemons hold the same revisions.
struct Digest
{
    std::uint64_t hash = 0;
    std::int64_t storeAgeMs = 0; ///< Milliseconds since any daemon is known to have reached the store.
    bool isReply = false;

    bool operator==(const Digest &) const = default;
};

/// The document revisions that a Digest summarises. A long list is split over several messages.
struct DigestList
{
    std::vector<DocumentRevision> revisions;
    bool isReply = false;

    bool operator==(const DigestList &) const = default;
};

/// Asks which revision of `document` the receiver has in force. `token` matches the reply to the query.
struct RevisionQuery
{
    std::string document;
    std::uint64_t token = 0;

    bool operator==(const RevisionQuery &) const = default;
};

/// Answers a RevisionQuery.
struct RevisionReply
{
    std::string document;
    std::uint64_t token = 0;
    std::uint64_t revision = 0;

    bool operator==(const RevisionReply &) const = default;
};

/// Cumulative counts of short and long requests. They never decrease within an incarnation of a daemon, so messages may
/// be lost, duplicated or reordered.
struct ClassCounts
{
    std::uint64_t shortWork = 0;
    std::uint64_t longWork = 0;

    bool operator==(const ClassCounts &) const = default;
};

/// Tells the daemon that allocates the slots of a target how many permits the sender needs.
struct SlotDemand
{
    std::string target;
    std::uint32_t slots = 0; ///< Slots of the target, for all daemons together.
    std::uint32_t longSlots = 0; ///< Slots of these that long requests may use.
    ClassCounts wanted; ///< Permits requested so far.
    ClassCounts granted; ///< Permits received so far, including those the sender took without asking.
    ClassCounts finished; ///< Permits whose request has finished.

    bool operator==(const SlotDemand &) const = default;
};

/// Answers a SlotDemand.
struct SlotGrant
{
    std::string target;
    ClassCounts granted; ///< Permits given to the receiver so far.
    bool isCalm = false; ///< Enough slots are free that a few requests may start without a permit.

    bool operator==(const SlotGrant &) const = default;
};

/// Any message from one daemon to another. Messages are independent: they may be lost, duplicated or reordered.
using PeerMessage = std::variant<PromiseRequest, PromiseReply, Heartbeat, HeartbeatAck, Piece, Fetch, Digest,
                                 DigestList, RevisionQuery, RevisionReply, SlotDemand, SlotGrant>;

/// A shard and the ownership epoch under which a target holds it. The epoch is the fencing token.
struct ShardEpoch
{
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;

    auto operator<=>(const ShardEpoch &) const = default;
};

/// An order to a target: renews all leases of the group that the target still holds, grants `grants`, and asks the
/// target to release `releases` once their requests have finished.
///
/// The lease expires at `anchor` + `lease` on the target's clock. `anchor` is an earlier reading of that clock, so a
/// delayed or replayed order extends no lease. A target that doesn't check fences counts `lease` from the receipt.
struct TargetOrder
{
    std::string group;
    std::uint64_t term = 0;
    std::uint64_t sequence = 0;
    std::uint64_t targetIncarnation = 0; ///< 0 in the first order, which only requests a clock reading.
    std::int64_t anchor = 0;
    Duration lease = 0ms;
    std::vector<ShardEpoch> grants;
    std::vector<ShardEpoch> releases;

    bool operator==(const TargetOrder &) const = default;
};

/// A target's answer to an order: the grants that it holds afterwards and a new reading of its clock.
struct TargetReport
{
    std::string group;
    std::uint64_t term = 0; ///< Highest term that the target has seen.
    std::uint64_t sequence = 0; ///< Sequence of the order that this answers.
    bool accepted
        = false; ///< False when the target rejected the order, for example for an old term or another incarnation.
    std::uint64_t incarnation = 0;
    std::int64_t clock = 0;
    std::vector<ShardEpoch> held; ///< Includes grants that are being released.

    bool operator==(const TargetReport &) const = default;
};

} // namespace sardinehinge::core
