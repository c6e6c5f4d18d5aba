#include <sardinehinge/edges/documentcodec.h>

#include <catch2/catch.hpp>

using namespace sardinehinge;
using namespace sardinehinge::edges;

namespace {

std::string instance(const std::string &id)
{
    return R"({"id":)" + id + R"(,"kind":"target","address":"127.0.0.1:1","service":"w/s"})";
}

std::vector<std::string> idsOf(const std::string &instances)
{
    const auto read = decodeInstances(R"({"version":7,"instances":[)" + instances + "]}");
    REQUIRE(core::errorIn(read) == nullptr);
    CHECK(std::get<core::InstanceView>(read).version == 7);
    std::vector<std::string> ids;
    for (const core::Instance &each : std::get<core::InstanceView>(read).instances)
        ids.push_back(each.id);
    return ids;
}

} // namespace

TEST_CASE("An odd entry of the instance list names no instance and hides no other")
{
    const std::string odd = GENERATE(values<std::string>({
        "17",
        "null",
        "{}",
        R"({"id":"x"})",
        R"({"id":"x","address":"127.0.0.1:99999"})",
        R"({"id":"x","address":"nowhere"})",
        R"({"id":"x","address":"127.0.0.1:1","kind":"other"})",
        R"({"id":"x","address":"127.0.0.1:1","leaving":"yes"})",
        R"({"id":"x","address":"127.0.0.1:1","service":17})",
        R"({"id":"x","address":1e999})",
        instance("17"),
        instance("\"\""),
        instance("\" x\""),
        instance("\"x\\r\\ny\""),
        instance("\"\xff\""),
        instance("\"" + std::string(5000, 'x') + "\""),
        instance(std::string(100'000, '[') + std::string(100'000, ']')),
    }));
    INFO(odd.substr(0, 60));
    const std::string a = instance("\"a\"");
    const std::string b = instance("\"b\"");
    using Ids = std::vector<std::string>;
    CHECK(idsOf(odd + "," + a + "," + b) == Ids{"a", "b"});
    CHECK(idsOf(a + "," + odd + "," + b) == Ids{"a", "b"});
    CHECK(idsOf(a + "," + b + "," + odd) == Ids{"a", "b"});
    CHECK(idsOf(odd).empty());
}

TEST_CASE("An instance with an odd name is used under that name")
{
    const std::string id = GENERATE("a&b", "a+b", "a#b", "a%26b", "a b", "..", "\xc3\xa4", "\xef\xbf\xbd");
    CHECK(idsOf(instance("\"" + id + "\"")) == std::vector<std::string>{id});
}
