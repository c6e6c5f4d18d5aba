#include <sardinehinge/core/history.h>

#include <algorithm>
#include <map>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace sardinehinge::core {

namespace {

using Shard = std::pair<std::string, std::uint32_t>;

std::string describe(const Shard &shard)
{
    return shard.first + " shard " + std::to_string(shard.second);
}

void checkOneOwner(const History &history, std::vector<Violation> &violations)
{
    std::map<Shard, std::vector<const HoldRecord *>> byShard;
    for (const HoldRecord &hold : history.holds)
        byShard[{hold.group, hold.shard}].push_back(&hold);
    for (auto &[shard, holds] : byShard) {
        std::sort(holds.begin(), holds.end(), [](const HoldRecord *a, const HoldRecord *b) {
            return std::tie(a->from, a->until) < std::tie(b->from, b->until);
        });
        // A later hold of another target can overlap the earlier hold that ends last, or, if both are of the same
        // target, the one that ends last among the other targets.
        const HoldRecord *latestEnd = nullptr;
        const HoldRecord *latestEndOfOther = nullptr;
        for (const HoldRecord *hold : holds) {
            for (const HoldRecord *earlier : {latestEnd, latestEndOfOther}) {
                if (earlier != nullptr && earlier->target != hold->target && hold->from < earlier->until)
                    violations.push_back({"one-owner",
                                          describe(shard) + ": " + earlier->target + " until "
                                              + std::to_string(earlier->until) + ", " + hold->target + " from "
                                              + std::to_string(hold->from)});
            }
            if (latestEnd == nullptr || hold->until > latestEnd->until) {
                if (latestEnd != nullptr && latestEnd->target != hold->target)
                    latestEndOfOther = latestEnd;
                latestEnd = hold;
            } else if (hold->target != latestEnd->target
                       && (latestEndOfOther == nullptr || hold->until > latestEndOfOther->until)) {
                latestEndOfOther = hold;
            }
        }
    }
}

void checkExecutionsHeld(const History &history, std::vector<Violation> &violations)
{
    std::map<std::tuple<std::string, std::uint32_t, std::uint64_t, std::string>, std::vector<const HoldRecord *>> holds;
    for (const HoldRecord &hold : history.holds)
        holds[{hold.group, hold.shard, hold.epoch, hold.target}].push_back(&hold);
    for (const ExecutionRecord &execution : history.executions) {
        if (execution.group.empty())
            continue;
        const auto found = holds.find({execution.group, execution.shard, execution.epoch, execution.target});
        // A release that waited for this request ends the hold at the time of its effect, so the end is included.
        const auto covers = [&execution](const HoldRecord *hold) {
            return hold->from <= execution.at && execution.at <= hold->until;
        };
        const bool isHeld = found != holds.end() && std::any_of(found->second.begin(), found->second.end(), covers);
        if (!isHeld)
            violations.push_back({"held-while-run", execution.request + " at " + execution.target});
    }
}

void checkRequests(const History &history, std::vector<Violation> &violations)
{
    std::unordered_map<std::string, int> executionCounts;
    for (const ExecutionRecord &execution : history.executions)
        ++executionCounts[execution.request];
    for (const AnswerRecord &answer : history.answers) {
        const auto found = executionCounts.find(answer.request);
        const int count = found == executionCounts.end() ? 0 : found->second;
        if (!answer.isIdempotent && count > 1)
            violations.push_back({"at-most-once", answer.request + " ran " + std::to_string(count) + " times"});
        if (answer.outcome == CallerOutcome::NotRun && count > 0)
            violations.push_back({"not-run", answer.request + " was reported as not run but took effect"});
        if (answer.outcome == CallerOutcome::Done && answer.echoedRequest != answer.request)
            violations.push_back({"own-answer", answer.request + " got the response of " + answer.echoedRequest});
    }
}

void checkRevisions(const History &history, std::vector<Violation> &violations)
{
    std::map<std::pair<std::string, std::string>, std::uint64_t> latest;
    for (const RevisionRecord &record : history.revisions) {
        std::uint64_t &known = latest[{record.daemon, record.document}];
        if (record.revision < known)
            violations.push_back({"no-revert",
                                  record.daemon + " " + record.document + " from " + std::to_string(known) + " to "
                                      + std::to_string(record.revision)});
        known = std::max(known, record.revision);
    }
}

void checkOwners(const History &history, std::vector<Violation> &violations)
{
    std::map<Shard, const OwnerRecord *> latest;
    for (const OwnerRecord &owner : history.owners) {
        const OwnerRecord *&known = latest[{owner.group, owner.shard}];
        const bool isViolated = known != nullptr
            && (owner.epoch < known->epoch || (owner.epoch == known->epoch && owner.target != known->target));
        if (isViolated)
            violations.push_back({"owner-kept",
                                  describe({owner.group, owner.shard}) + ": epoch " + std::to_string(known->epoch)
                                      + " of " + known->target + ", then " + std::to_string(owner.epoch) + " of "
                                      + owner.target});
        known = &owner;
    }
}

} // namespace

std::vector<Violation> violationsIn(const History &history)
{
    std::vector<Violation> violations;
    checkOneOwner(history, violations);
    checkExecutionsHeld(history, violations);
    checkRequests(history, violations);
    checkRevisions(history, violations);
    checkOwners(history, violations);
    return violations;
}

} // namespace sardinehinge::core
