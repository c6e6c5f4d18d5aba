#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sardinehinge::core {

/// The interval [from, until) in which a target held a shard, in nanoseconds of a clock shared by all records.
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

/// A request that a target executed.
struct ExecutionRecord
{
    std::string request;
    std::string group; ///< Empty for a service without keys.
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;
    std::string target;
    std::int64_t at = 0; ///< Time of the effect, in nanoseconds of the shared clock.

    bool operator==(const ExecutionRecord &) const = default;
};

/// The outcome that a caller was told.
enum class CallerOutcome { Done, NotRun, Unknown };

/// The response to a caller.
struct AnswerRecord
{
    std::string request;
    bool isIdempotent = true;
    CallerOutcome outcome = CallerOutcome::Unknown;
    std::string echoedRequest; ///< The request id in the response body; empty if there was no response.

    bool operator==(const AnswerRecord &) const = default;
};

/// A daemon started to use a revision of a document. The records of one daemon are in chronological order.
struct RevisionRecord
{
    std::string daemon;
    std::string document;
    std::uint64_t revision = 0;

    bool operator==(const RevisionRecord &) const = default;
};

/// The owner of a shard in one acknowledged version of an assignment. Records are in the order of the versions.
struct OwnerRecord
{
    std::string group;
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;
    std::string target;

    bool operator==(const OwnerRecord &) const = default;
};

/// All records of a test run.
struct History
{
    std::vector<HoldRecord> holds;
    std::vector<ExecutionRecord> executions;
    std::vector<AnswerRecord> answers;
    std::vector<RevisionRecord> revisions;
    std::vector<OwnerRecord> owners;
};

/// A rule that a history violates, with the evidence.
struct Violation
{
    std::string rule;
    std::string evidence;

    bool operator==(const Violation &) const = default;
};

/// Returns the violations of the safety rules. Missing records can hide violations but never cause false ones.
///
/// - one-owner: holds of one shard by different targets don't overlap.
/// - held-while-run: a keyed request took effect while its target held the shard at the request's epoch.
/// - at-most-once: a non-idempotent request took effect at most once.
/// - not-run: a request reported as not run had no effect.
/// - own-answer: a response names the request that it belongs to.
/// - no-revert: the revisions of a document that a daemon uses never decrease.
/// - owner-kept: the epochs of a shard never decrease, and each epoch has one target.
std::vector<Violation> violationsIn(const History &history);

} // namespace sardinehinge::core
