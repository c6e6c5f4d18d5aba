#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sardinehinge::core {

/// A span of time in which a target held a shard, by a clock that all records share. [from, until) in nanoseconds.
struct HoldRecord
{
    std::string group;
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;
    std::string target;
    std::int64_t from = 0;
    std::int64_t until = 0;

    bool operator==(const HoldRecord &) const = default;
};

/// A request that took effect at a target.
struct ExecutionRecord
{
    std::string request;
    std::string group; ///< Empty for a service without keys.
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;
    std::string target;
    std::int64_t at = 0;

    bool operator==(const ExecutionRecord &) const = default;
};

enum class CallerOutcome { Done, NotRun, Unknown };

/// What a caller was told.
struct AnswerRecord
{
    std::string request;
    bool isIdempotent = true;
    CallerOutcome outcome = CallerOutcome::Unknown;
    std::string echoedRequest; ///< The id that the answer's body names; empty without an answer.

    bool operator==(const AnswerRecord &) const = default;
};

/// A daemon put a revision of a document in force. In the order of its time line.
struct RevisionRecord
{
    std::string daemon;
    std::string document;
    std::uint64_t revision = 0;

    bool operator==(const RevisionRecord &) const = default;
};

/// An owner as one acknowledged version of an assignment names it. In the order of the versions.
struct OwnerRecord
{
    std::string group;
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;
    std::string target;

    bool operator==(const OwnerRecord &) const = default;
};

/// All that a run left behind.
struct History
{
    std::vector<HoldRecord> holds;
    std::vector<ExecutionRecord> executions;
    std::vector<AnswerRecord> answers;
    std::vector<RevisionRecord> revisions;
    std::vector<OwnerRecord> owners;
};

/// A rule that a history breaks, with the evidence.
struct Violation
{
    std::string rule;
    std::string evidence;

    bool operator==(const Violation &) const = default;
};

/// Checks the rules that must always hold. Each is sound on a partial history: a missing record hides violations and
/// makes none up.
///
/// one-owner: holds of one shard by different targets don't overlap.
/// held-while-run: a keyed request took effect within a hold of its target and epoch.
/// at-most-once: a non-idempotent request took effect once at most.
/// not-run: a request refused as not run took no effect.
/// own-answer: an answer names the request it belongs to.
/// no-revert: revisions in force at a daemon never fall.
/// owner-kept: epochs of a shard never fall, and an epoch names one target.
std::vector<Violation> violationsIn(const History &history);

} // namespace sardinehinge::core
