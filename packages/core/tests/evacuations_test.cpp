#include <sardinehinge/core/membership/evacuations.h>

#include <catch2/catch.hpp>

using namespace sardinehinge::core;

namespace {

RegisteredTarget targetIn(const std::string &domain, bool isDraining = false)
{
    RegisteredTarget target;
    target.identity = {domain + "-target", 1};
    target.service = "service";
    target.failureDomain = domain;
    target.isDraining = isDraining;
    return target;
}

/// What becomes known of the store's entries, one step after the other, one second apart.
struct Step
{
    enum class Kind { Put, Remove, List, EraChange, Wait };
    Kind kind = Kind::Wait;
    std::vector<std::string> domains = {};
    int seconds = 1;
};

} // namespace

TEST_CASE("Targets of evacuated failure domains count as draining until the evacuation ends")
{
    using Kind = Step::Kind;
    struct Case
    {
        std::string name;
        std::vector<Step> steps;
        std::vector<std::string> evacuated;
    };
    const auto [name, steps, evacuated] = GENERATE(values<Case>({
        {"none", {{Kind::List}}, {}},
        {"one", {{Kind::Put, {"a"}}}, {"a"}},
        {"listed at the start", {{Kind::Put, {"b"}}, {Kind::List, {"b"}}}, {"b"}},
        {"two at once", {{Kind::Put, {"a", "b"}}}, {"a", "b"}},
        {"all", {{Kind::Put, {"a", "b", "c"}}}, {"a", "b", "c"}},
        {"taken back", {{Kind::Put, {"a", "b"}}, {Kind::Remove, {"a"}}}, {"b"}},
        {"requested again", {{Kind::Put, {"a"}}, {Kind::Remove, {"a"}}, {Kind::Put, {"a"}}}, {"a"}},
        {"an unknown one is taken back", {{Kind::Remove, {"a"}}}, {}},
        {"missing from a list", {{Kind::Put, {"a", "b"}}, {Kind::List, {"b"}}}, {"b"}},
        {"the store is away", {{Kind::Put, {"a"}}, {Kind::Wait, {}, 3600}}, {"a"}},
        {"lost by the store", {{Kind::Put, {"a"}}, {Kind::EraChange}, {Kind::List}, {Kind::Wait, {}, 3}}, {"a"}},
        {"lost, and listed again within the grace",
         {{Kind::Put, {"a"}}, {Kind::EraChange}, {Kind::List}, {Kind::List}},
         {"a"}},
        {"lost, and the grace is over", {{Kind::Put, {"a"}}, {Kind::EraChange}, {Kind::List}, {Kind::Wait, {}, 5}}, {}},
        {"lost, and written again",
         {{Kind::Put, {"a"}}, {Kind::EraChange}, {Kind::List}, {Kind::Put, {"a"}}, {Kind::Wait, {}, 60}},
         {"a"}},
        {"lost, written again and taken back",
         {{Kind::Put, {"a"}}, {Kind::EraChange}, {Kind::List}, {Kind::Put, {"a"}}, {Kind::Remove, {"a"}}},
         {}},
        {"the store shows one that had been taken back",
         {{Kind::Put, {"a"}}, {Kind::Remove, {"a"}}, {Kind::EraChange}, {Kind::Put, {"a"}}, {Kind::List, {"a"}}},
         {"a"}},
    }));
    INFO(name);
    Evacuations evacuations;
    Time now = 100s;
    for (const Step &step : steps) {
        for (const std::string &domain : step.domains) {
            if (step.kind == Kind::Put)
                evacuations.put(domain);
            else if (step.kind == Kind::Remove)
                evacuations.remove(domain);
        }
        if (step.kind == Kind::List)
            evacuations.keepOnly(step.domains, now);
        else if (step.kind == Kind::EraChange)
            evacuations.eraChanged();
        now += std::chrono::seconds(step.seconds);
        evacuations.expire(now);
    }
    const auto marked
        = evacuations.markDraining({targetIn("a"), targetIn("b"), targetIn("c"), targetIn("d", true), targetIn("")});
    std::vector<std::string> draining;
    for (const RegisteredTarget &target : marked) {
        if (target.isDraining && target.failureDomain != "d")
            draining.push_back(target.failureDomain);
    }
    CHECK(marked[3].isDraining); // By its own entry.
    CHECK(draining == evacuated);
    CHECK(evacuations.size() == evacuated.size());
}

TEST_CASE("The begin and the end of an evacuation are reported once")
{
    using Change = Evacuations::Change;
    Evacuations evacuations;
    evacuations.put("a");
    evacuations.put("a");
    CHECK(evacuations.takeChanges() == std::vector{Change{"a", true}});
    CHECK(evacuations.takeChanges().empty());
    evacuations.eraChanged();
    evacuations.keepOnly({}, 1s);
    CHECK(evacuations.listed().empty());
    CHECK(evacuations.takeChanges().empty());
    evacuations.expire(1s + Evacuations::lostEntryGrace);
    evacuations.remove("a");
    CHECK(evacuations.takeChanges() == std::vector{Change{"a", false}});
}

TEST_CASE("Keys have left an evacuated domain once a target elsewhere has held them")
{
    struct Case
    {
        RoutedRange second;
        bool isLeft;
    };
    const KeyRange keys{100, lastKey};
    const auto [second, isLeft] = GENERATE_COPY(values<Case>({
        {{keys, "b-target", RangeState::Held}, true},
        {{keys, "a-target", RangeState::Held}, false},
        {{keys, "", RangeState::Moving}, false},
        {{keys, "b-target", RangeState::OwnerLost}, false},
        {{keys, "unknown", RangeState::Held}, false},
    }));
    Evacuations evacuations;
    evacuations.put("a");
    const std::vector targets{targetIn("a"), targetIn("b")};
    const RangeOwners owners{"service", 1, 1, {{{0, 99}, "b-target", RangeState::Held}, second}};
    const auto remaining = evacuations.remainingKeys({{0, lastKey}}, owners, targets);
    CHECK(remaining == (isLeft ? std::vector<KeyRange>() : std::vector{keys}));

    // Other keys move meanwhile, and parts of the rest are held elsewhere.
    const RangeOwners later{"service",
                            1,
                            2,
                            {{{0, 199}, "", RangeState::Moving},
                             {{200, 999}, "b-target", RangeState::Held},
                             {{1000, lastKey}, "a-target", RangeState::Held}}};
    CHECK(evacuations.remainingKeys(remaining, later, targets)
          == (isLeft ? std::vector<KeyRange>() : std::vector<KeyRange>{{100, 199}, {1000, lastKey}}));
}
