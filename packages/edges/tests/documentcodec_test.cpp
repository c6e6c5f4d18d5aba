#include <sardinehinge/edges/documentcodec.h>
#include <sardinehinge/edges/documentstore.h>
#include <sardinehinge/edges/ownershipcodec.h>

#include <catch2/catch.hpp>

#include <deque>

using namespace sardinehinge;
using namespace sardinehinge::edges;

TEST_CASE("Documents survive encoding")
{
    core::WorkspaceSpec spec;
    spec.name = "tsenovo";
    spec.drainedTargets = {"t-1"};
    core::ServiceSpec archive;
    archive.name = "series-archive";
    archive.division = core::Division::Ranges;
    archive.splits = {"b", "k"};
    archive.shardCount = 3;
    archive.targetsCheckFences = false;
    archive.endpoints = {{"/range", true, core::WorkClass::Long, std::chrono::seconds(30)}};
    spec.services = {archive};
    CHECK(std::get<core::WorkspaceSpec>(decodeWorkspace(encodeWorkspace(spec))) == spec);

    const core::Assignment assignment{7, {{"t-1", 3, "t-2", true}, {"", 0, "", false}}};
    CHECK(std::get<core::Assignment>(decodeAssignment(encodeAssignment(assignment))) == assignment);

    const core::ControlRecord record{9, {"d-1", 1'796'366'390'068'267}, {{"d-1", 5}, {"d-2", 6}}, {{"d-3", 7}}, 12};
    CHECK(std::get<core::ControlRecord>(decodeRecord(encodeRecord(record))) == record);

    const core::InstanceView view{4, {{"t-1", core::InstanceKind::Target, "127.0.0.1:1", "sofia-1", "w/s", true}}};
    CHECK(std::get<core::InstanceView>(decodeInstances(encodeInstances(view))) == view);

    const StoredEnvelope envelope{"a-2", {{"a-1", 3}}, "ivan", R"({"x":1})"};
    CHECK(std::get<StoredEnvelope>(decodeEnvelope(encodeEnvelope(envelope))) == envelope);

    const core::TargetOrder order{"w/s",    3,       9, 0xffffffffffffff, -1, std::chrono::milliseconds(400),
                                  {{1, 2}}, {{3, 4}}};
    CHECK(std::get<core::TargetOrder>(decodeOrder(encodeOrder(order))) == order);

    const core::TargetReport report{"w/s", 3, 9, true, 0xffffffffffffff, 1'000'000'000'000'000'001, {{1, 2}}};
    CHECK(std::get<core::TargetReport>(decodeReport(encodeReport(report))) == report);
}

TEST_CASE("A wrong workspace document is refused whole, with the path of each fault")
{
    const auto [document, faults] = GENERATE(values<std::pair<std::string, std::vector<std::string>>>({
        {"", {"document: not JSON at byte 0: illegal value"}},
        {"[1]", {"document: must be an object"}},
        {R"({"name":"w"})", {"services: is missing"}},
        {R"({"name":"W x","services":[{"name":"s"}]})", {"name: must be 1 to 63 of a-z, 0-9 and -"}},
        {R"({"name":"w","colour":1,"services":[{"name":"s"}]})", {"colour: is not a known parameter"}},
        {R"({"name":"w","services":[{"name":"s","slotsPerTarget":0,"division":"modulo"}]})",
         {"services[0].division: must be one of none, hash, ranges"}},
        {R"({"name":"w","services":[{"name":"s","slotsPerTarget":0},{"name":"s"}]})",
         {"services[0].slotsPerTarget: must be from 1 to 1000",
          "services[0].longSlotsPerTarget: must not exceed slotsPerTarget", "services[1].name: must not repeat"}},
        {R"({"name":"w","services":[{"name":"s","division":"ranges","splits":["m","b"]}]})",
         {"services[0].splits: must ascend without repetition"}},
        {R"({"name":"w","services":[{"name":"s","endpoints":[{"pathPrefix":"x","deadlineMs":0}]}]})",
         {"services[0].endpoints[0].pathPrefix: must start with /",
          "services[0].endpoints[0].deadlineMs: must be from 1 to 600000"}},
        {R"({"name":"w","services":[{"name":"s","shardCount":1.5}]})",
         {"services[0].shardCount: must be a whole number from 0 to 2^53"}},
    }));
    INFO(document);
    const auto decoded = decodeWorkspace(document);
    REQUIRE(std::holds_alternative<std::vector<std::string>>(decoded));
    CHECK(std::get<std::vector<std::string>>(decoded) == faults);
}

namespace {

/// A store in memory that loses answers on demand, and may apply a write twice as a resending client would.
class FakeStore : public ObjectStore
{
public:
    void read(const std::string &name, Callback<core::Result<StoredObject>> done) override
    {
        const auto found = m_objects.find(name);
        done(found == m_objects.end() ? StoredObject{name, 0, {}} : found->second);
    }

    void write(const std::string &name, const std::string &bytes, std::uint64_t expected,
               Callback<WriteReply> done) override
    {
        StoredObject &object = m_objects[name];
        const bool isApplied = object.revision == expected;
        if (isApplied)
            object = {name, ++m_revision, bytes};
        if (isApplied && intruder) {
            intruder(object, ++m_revision);
            intruder = nullptr;
        }
        if (isApplied && resends)
            return done({WriteAnswer::Conflict, 0});
        if (isApplied && losesAnswer)
            return done({WriteAnswer::Lost, 0});
        done(isApplied ? WriteReply{WriteAnswer::Applied, object.revision} : WriteReply{WriteAnswer::Conflict, 0});
    }

    void watch(std::uint64_t, core::Duration, Callback<core::Result<WatchReply>>) override { }
    void versions(const std::string &, Callback<core::Result<std::vector<StoredObject>>>) override { }

    bool losesAnswer = false;
    bool resends = false; ///< The client sent twice: the second copy's conflict is all that the writer sees.
    std::function<void(StoredObject &, std::uint64_t)> intruder;

private:
    std::map<std::string, StoredObject> m_objects;
    std::uint64_t m_revision = 0;
};

} // namespace

TEST_CASE("A write that took effect is reported as applied although its answer was lost or hidden by a copy")
{
    const bool resends = GENERATE(false, true);
    const bool hasIntruder = GENERATE(false, true);
    FakeStore store;
    store.losesAnswer = !resends;
    store.resends = resends;
    if (hasIntruder) {
        store.intruder = [](StoredObject &object, std::uint64_t revision) {
            const auto before = std::get<StoredEnvelope>(decodeEnvelope(object.bytes));
            object = {object.name, revision, encodeEnvelope({"other", {{before.attempt, object.revision}}, "x", "{}"})};
        };
    }
    DocumentStore documents(store, [](const std::string &) {});
    core::WriteOutcome outcome;
    documents.write("workspaces/w", R"({"a":1})", "ivan", "mine", 0,
                    [&](const core::WriteOutcome &got, const StoredObject &) { outcome = got; });
    CHECK(outcome.kind == core::WriteOutcome::Kind::Applied);
    CHECK(outcome.revision == 1);
}

TEST_CASE("Of two writers based on the same revision one is told that it lost")
{
    FakeStore store;
    DocumentStore first(store, [](const std::string &) {});
    DocumentStore second(store, [](const std::string &) {});
    std::vector<core::WriteOutcome::Kind> outcomes;
    const auto keep = [&](const core::WriteOutcome &got, const StoredObject &) { outcomes.push_back(got.kind); };
    first.write("workspaces/w", "{}", "ivan", "a-1", 0, keep);
    second.write("workspaces/w", "{}", "mette", "b-1", 0, keep);
    CHECK(outcomes == std::vector{core::WriteOutcome::Kind::Applied, core::WriteOutcome::Kind::Conflict});
}
