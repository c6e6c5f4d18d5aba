#pragma once

#include <sardinehinge/core/types.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace sardinehinge::core {

/// Asks a witness to acknowledge nobody below `term` any more. `baseTerm` is the record the candidate knows.
struct PromiseRequest
{
    std::string group;
    std::uint64_t term = 0;
    std::uint64_t baseTerm = 0;

    bool operator==(const PromiseRequest &) const = default;
};

/// Answers a PromiseRequest or a Heartbeat that was refused. `promisedTerm` and `baseTerm` are what the witness holds.
struct PromiseReply
{
    std::string group;
    std::uint64_t term = 0;
    bool granted = false;
    std::uint64_t promisedTerm = 0;
    std::uint64_t baseTerm = 0;

    bool operator==(const PromiseReply &) const = default;
};

/// Asks a witness to confirm the sender's authority. An acknowledgement counts from `sentAt`, by the sender's clock.
struct Heartbeat
{
    std::string group;
    std::uint64_t term = 0;
    std::uint64_t baseTerm = 0;
    std::int64_t sentAt = 0;

    bool operator==(const Heartbeat &) const = default;
};

struct HeartbeatAck
{
    std::string group;
    std::uint64_t term = 0;
    std::uint64_t baseTerm = 0;
    std::int64_t sentAt = 0;

    bool operator==(const HeartbeatAck &) const = default;
};

/// A part of a document's bytes. A document of one piece has offset 0 and bytes.size() == total.
struct Piece
{
    std::string document;
    std::uint64_t revision = 0;
    std::uint32_t total = 0;
    std::uint32_t offset = 0;
    std::string bytes;

    bool operator==(const Piece &) const = default;
};

/// Asks for a document at `revision` or later.
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

/// Summary of all documents a daemon holds. Equal hashes mean equal holdings.
struct Digest
{
    std::uint64_t hash = 0;
    std::int64_t storeAgeMs = 0; ///< Time since anybody is known to have heard from the store.
    bool isReply = false;

    bool operator==(const Digest &) const = default;
};

/// The revisions behind a digest; a long list comes in several messages.
struct DigestList
{
    std::vector<DocumentRevision> revisions;
    bool isReply = false;

    bool operator==(const DigestList &) const = default;
};

/// Asks which revision of `document` is in force at the receiver.
struct RevisionQuery
{
    std::string document;
    std::uint64_t token = 0;

    bool operator==(const RevisionQuery &) const = default;
};

struct RevisionReply
{
    std::string document;
    std::uint64_t token = 0;
    std::uint64_t revision = 0;

    bool operator==(const RevisionReply &) const = default;
};

/// Counts by class of work, short work first. They only rise during a daemon's life, so that messages can be lost,
/// doubled and reordered without harm.
struct ClassCounts
{
    std::uint64_t shortWork = 0;
    std::uint64_t longWork = 0;

    bool operator==(const ClassCounts &) const = default;
};

/// What a daemon needs of a target's slots, to the daemon that shares them out.
struct SlotDemand
{
    std::string target;
    std::uint32_t slots = 0; ///< Of the target, for all daemons together.
    std::uint32_t longSlots = 0;
    ClassCounts wanted; ///< Permits asked for so far.
    ClassCounts granted; ///< Permits got so far, those it took by itself included.
    ClassCounts finished; ///< Permits used up so far.

    bool operator==(const SlotDemand &) const = default;
};

struct SlotGrant
{
    std::string target;
    ClassCounts granted; ///< Permits that the receiver got so far.
    bool isCalm = false; ///< Slots are plenty: a few requests may start without asking.

    bool operator==(const SlotGrant &) const = default;
};

/// Everything that one daemon says to another. Each message stands alone: loss, doubling and reordering are harmless.
using PeerMessage = std::variant<PromiseRequest, PromiseReply, Heartbeat, HeartbeatAck, Piece, Fetch, Digest,
                                 DigestList, RevisionQuery, RevisionReply, SlotDemand, SlotGrant>;

/// A shard and the epoch under which it is held.
struct ShardEpoch
{
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;

    auto operator<=>(const ShardEpoch &) const = default;
};

/// An order to a target. It renews all grants of the group that the target still holds, gives `grants`, and asks for
/// the graceful release of `releases`. The lease ends at `anchor` + `lease` by the target's own clock, where `anchor`
/// is a reading that the target gave earlier: an order that was delayed or replayed extends nothing. A target that
/// doesn't check fences counts `lease` from the receipt.
struct TargetOrder
{
    std::string group;
    std::uint64_t term = 0;
    std::uint64_t sequence = 0;
    std::uint64_t targetIncarnation = 0; ///< 0 in the first order, which only asks for a clock reading.
    std::int64_t anchor = 0;
    Duration lease = 0ms;
    std::vector<ShardEpoch> grants;
    std::vector<ShardEpoch> releases;

    bool operator==(const TargetOrder &) const = default;
};

/// A target's answer to an order: what it holds after it, and a fresh reading of its clock.
struct TargetReport
{
    std::string group;
    std::uint64_t term = 0; ///< Highest term the target has seen.
    std::uint64_t sequence = 0; ///< Of the order it answers.
    bool accepted = false; ///< False when the order's term was too old.
    std::uint64_t incarnation = 0;
    std::int64_t clock = 0;
    std::vector<ShardEpoch> held; ///< Includes grants that are being released.

    bool operator==(const TargetReport &) const = default;
};

} // namespace sardinehinge::core
