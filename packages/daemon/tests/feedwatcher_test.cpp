#include "../src/feedwatcher.h"

#include <catch2/catch.hpp>

#include <map>
#include <thread>

using namespace sardinehinge;
using namespace std::chrono_literals;

namespace {

using Entries = std::vector<edges::FeedEntry<int>>;

/// A feed whose answers the test gives.
class FakeFeed : public edges::Feed<int>
{
public:
    void list(const std::string &, Callback done) override { calls.push_back({0, 0ms, std::move(done)}); }
    void watch(std::uint64_t revision, core::Duration wait, Callback done) override
    {
        calls.push_back({revision, wait, std::move(done)});
    }

    void answer(const Entries &entries, std::uint64_t revision, edges::StoreOutcome outcome = edges::StoreOutcome::Ok)
    {
        answerPage({outcome, entries, revision, false, {}, era});
    }
    void answerPage(const edges::FeedPage<int> &page)
    {
        REQUIRE_FALSE(calls.empty());
        const auto call = std::move(calls.front());
        calls.erase(calls.begin());
        call.done(page);
    }

    struct Call
    {
        std::uint64_t revision;
        core::Duration wait; ///< That a watch asks for.
        Callback done;
    };
    std::vector<Call> calls;
    core::StoreEra era = 0; ///< Told in answers.
};

/// A watcher that has listed {a: 1} at revision 10.
struct Listed
{
    explicit Listed(bool isWatching, const daemon::FeedTiming &timing = shortPauses(), core::StoreEra era = 0)
        : watcher(context, feed, handlers(), timing)
    {
        feed.era = era;
        watcher.setWatching(isWatching);
        watcher.start();
        feed.answer({{"a", 1, {}}}, 10);
        run();
    }

    void run()
    {
        context.restart();
        context.run_for(20ms);
    }

    static daemon::FeedTiming shortPauses()
    {
        daemon::FeedTiming timing;
        timing.pause = 1ms;
        return timing;
    }

    daemon::FeedWatcher<int>::Handlers handlers()
    {
        return {[this](const edges::FeedEntry<int> &entry) {
                    if (entry.value)
                        values[entry.name] = *entry.value;
                    else
                        values.erase(entry.name);
                },
                [](const auto &) {},
                [this](bool isReachable, const std::string &) { failures += isReachable ? 0 : 1; },
                {},
                {},
                {},
                [this](core::Duration, const std::string &) { ++cuts; }};
    }

    boost::asio::io_context context;
    FakeFeed feed;
    std::map<std::string, int> values;
    int failures = 0;
    int cuts = 0;
    daemon::FeedWatcher<int> watcher;
};

/// A call that lists, in FakeFeed::Call::revision.
constexpr std::uint64_t listCall = 0;

} // namespace

TEST_CASE("A feed that is watched keeps a call waiting, one that follows calls for news only")
{
    Listed watching(true);
    CHECK(watching.feed.calls.size() == 1);
    Listed following(false);
    CHECK(following.feed.calls.empty());
    following.watcher.noticed({9, 30}, 0ms); // No change since its list.
    following.run();
    CHECK(following.feed.calls.empty());
    following.watcher.noticed({31, 31}, 0ms);
    following.run();
    REQUIRE(following.feed.calls.size() == 1);
    CHECK(following.feed.calls.front().revision == 30);
    following.feed.answer({{"b", 2, {}}}, 31);
    following.run();
    CHECK(following.feed.calls.empty());
    CHECK(following.values == std::map<std::string, int>{{"a", 1}, {"b", 2}});
}

TEST_CASE("A daemon that has no more notices asks the store at once, also within the pause after changes")
{
    struct Case
    {
        core::Duration sparing;
        bool isPausing; ///< News are known already, and the call for them waits for the pause.
    };
    const auto [sparing, isPausing]
        = GENERATE(values<Case>({{0ms, false}, {99ms, false}, {800ms, false}, {800ms, true}}));
    Listed following(false);
    following.watcher.setSparing(sparing);
    following.watcher.noticed({31, 31}, 0ms);
    following.run();
    // The list began a pause.
    if (following.feed.calls.empty())
        following.context.run_for(sparing);
    REQUIRE(following.feed.calls.size() == 1);
    following.feed.answer({{"b", 2, {}}}, 31);
    if (isPausing)
        following.watcher.noticed({41, 41}, 0ms);
    following.run();
    REQUIRE(following.feed.calls.empty());
    following.watcher.setWatching(true);
    following.run();
    REQUIRE(following.feed.calls.size() == 1);
    following.feed.answer({{"c", 3, {}}}, 41);
    CHECK(following.values == std::map<std::string, int>{{"a", 1}, {"b", 2}, {"c", 3}});
}

TEST_CASE("Changes that another daemon passes on save a call, unless some before them are missing")
{
    struct Case
    {
        std::uint64_t base;
        std::uint64_t revision;
        bool isTaken;
    };
    const auto [base, revision, isTaken]
        = GENERATE(values<Case>({{8, 20, true}, {10, 20, true}, {12, 20, false}, {8, 10, false}}));
    Listed following(false);
    following.watcher.takeFrom({{"a", std::nullopt, {}}, {"b", 2, {}}}, base, revision, 0);
    CHECK((following.values == std::map<std::string, int>{{"b", 2}}) == isTaken);
    following.watcher.noticed({revision, revision}, 0ms);
    following.run();
    CHECK(following.feed.calls.empty() == (isTaken || revision <= 10));
}

TEST_CASE("A late answer of the store does not undo what another daemon passed on since")
{
    Listed following(false);
    following.watcher.noticed({12, 12}, 0ms);
    following.run();
    REQUIRE(following.feed.calls.size() == 1);
    following.watcher.takeFrom({{"a", 3, {}}}, 10, 15, 0);
    following.feed.answer({{"a", 2, {}}}, 12);
    following.run();
    CHECK(following.values == std::map<std::string, int>{{"a", 3}});
}

TEST_CASE("When the store has dropped history, those who relied on another daemon's watch list anew as well")
{
    Listed watching(true);
    watching.feed.answer({}, 20); // The watch heard nothing, although b came at 15.
    watching.run();
    Listed following(false);
    following.watcher.noticed(watching.watcher.position(), 0ms);
    watching.feed.answer({}, 0, edges::StoreOutcome::HistoryGone);
    watching.feed.answer({{"a", 1, {}}, {"b", 2, {}}}, 25);
    watching.run();
    CHECK(watching.values == std::map<std::string, int>{{"a", 1}, {"b", 2}});

    following.watcher.noticed(watching.watcher.position(), 0ms);
    following.run();
    REQUIRE(following.feed.calls.size() == 1);
    CHECK(following.feed.calls.front().revision == 0); // A list, since a watch from 20 on would not show b.
    following.feed.answer({{"a", 1, {}}, {"b", 2, {}}}, 25);
    following.run();
    CHECK(following.values == std::map<std::string, int>{{"a", 1}, {"b", 2}});
    following.watcher.noticed(watching.watcher.position(), 0ms);
    following.run();
    CHECK(following.feed.calls.empty());
}

TEST_CASE("A daemon that the store turns away asks again soon enough, though no other feed wakes it")
{
    // Once the store takes its calls again, it has 2 s to know of a change; news and answers take some of it.
    constexpr core::Duration mostBetweenCalls = 1s;
    const auto timing = GENERATE(daemon::FeedTiming(), daemon::configFeedTiming(1s));
    Listed following(false, timing);
    following.watcher.noticed({30, 30}, 0ms);
    const auto start = std::chrono::steady_clock::now();
    auto lastCall = start;
    core::Duration longest = 0ms;
    while (std::chrono::steady_clock::now() - start < 5s) {
        following.run();
        if (following.feed.calls.empty())
            continue;
        longest = std::max<core::Duration>(longest, std::chrono::steady_clock::now() - lastCall);
        lastCall = std::chrono::steady_clock::now();
        following.feed.answer({}, 0, edges::StoreOutcome::Refused);
    }
    CHECK(longest <= mostBetweenCalls);
    CHECK(lastCall - start > 3s);
}

TEST_CASE("A watcher knows how far back its entries were last complete")
{
    Listed following(false);
    const core::Time listed = following.watcher.completeAt();
    CHECK(listed > 0ms);
    following.watcher.noticed({10, 30}, listed + 5s); // No change since.
    CHECK(following.watcher.completeAt() == listed + 5s);
    following.watcher.noticed({31, 31}, listed + 9s); // A change that isn't known yet.
    CHECK(following.watcher.completeAt() == listed + 5s);
}

TEST_CASE("A watch answered in a later era doesn't hide what the store has lost")
{
    const std::uint64_t revision = GENERATE(values<std::uint64_t>({7, 10, 30}));
    Listed watching(true, Listed::shortPauses(), 1);
    watching.feed.era = 2;
    watching.feed.answer({{"b", 2, {}}}, revision);
    watching.run();
    REQUIRE(watching.feed.calls.size() == 1);
    CHECK(watching.feed.calls.front().revision == listCall);
    watching.feed.answer({{"c", 3, {}}}, revision);
    watching.run();
    CHECK(watching.values.contains("c"));
    CHECK(watching.watcher.position() == core::FeedPosition{revision, revision, 0, 2});
    REQUIRE(watching.feed.calls.size() == 1);
    CHECK(watching.feed.calls.front().revision == revision);
    CHECK(watching.failures == 0);
}

TEST_CASE("An answer of an earlier era, or of none, counts as a failed call")
{
    const core::StoreEra era = GENERATE(values<core::StoreEra>({0, 4}));
    const auto outcome = GENERATE(edges::StoreOutcome::Ok, edges::StoreOutcome::HistoryGone);
    daemon::FeedTiming timing = Listed::shortPauses();
    timing.retry = timing.retryMax = 1ms;
    Listed watching(true, timing, 5);
    watching.feed.era = era;
    watching.feed.answer({{"a", 9, {}}}, 40, outcome);
    watching.run();
    CHECK(watching.failures == 1);
    CHECK(watching.values == std::map<std::string, int>{{"a", 1}});
    CHECK(watching.watcher.position() == core::FeedPosition{10, 10, 0, 5});
    REQUIRE(watching.feed.calls.size() == 1);
    CHECK(watching.feed.calls.front().revision == 10);
}

TEST_CASE("A list whose pages are of two eras begins anew")
{
    Listed watching(true, Listed::shortPauses(), 1);
    watching.feed.era = 2;
    watching.feed.answer({}, 8);
    watching.run();
    watching.feed.answerPage({edges::StoreOutcome::Ok, {{"a", 1, {}}}, 8, true, {}, 2});
    watching.feed.answerPage({edges::StoreOutcome::Ok, {{"b", 2, {}}}, 8, false, {}, 3});
    watching.run();
    CHECK(watching.watcher.position().era == 1);
    watching.feed.answerPage({edges::StoreOutcome::Ok, {{"a", 1, {}}, {"b", 2, {}}}, 6, false, {}, 3});
    watching.run();
    CHECK(watching.watcher.position() == core::FeedPosition{6, 6, 0, 3});
}

TEST_CASE("A notice of a later era leads to a list, whatever its revisions, and one of an earlier era to nothing")
{
    struct Case
    {
        core::FeedPosition told;
        bool lists;
    };
    const auto [told, lists] = GENERATE(values<Case>({
        {{4, 4, 0, 6}, true},
        {{10, 10, 0, 6}, true},
        {{90, 90, 0, 6}, true},
        {{90, 90, 0, 4}, false},
        {{90, 90, 80, 4}, false},
        {{90, 90, 0, 0}, false},
    }));
    Listed following(false, Listed::shortPauses(), 5);
    following.watcher.noticed(told, 0ms);
    following.run();
    REQUIRE(following.feed.calls.size() == (lists ? 1 : 0));
    CHECK(following.watcher.position() == core::FeedPosition{10, 10, 0, 5});
    if (lists)
        CHECK(following.feed.calls.front().revision == listCall);
}

TEST_CASE("News told of in an earlier era isn't asked for once the store has fallen behind it")
{
    Listed following(false, Listed::shortPauses(), 1);
    following.watcher.noticed({500, 500, 0, 1}, 0ms);
    following.run();
    following.feed.era = 2;
    following.feed.answer({}, 9);
    following.run();
    following.feed.answer({{"a", 1, {}}}, 9);
    following.run();
    CHECK(following.feed.calls.empty());
    CHECK(following.watcher.position() == core::FeedPosition{9, 9, 0, 2});
}

TEST_CASE("Changes passed on in another era aren't taken")
{
    const core::StoreEra era = GENERATE(values<core::StoreEra>({0, 4, 5, 6}));
    Listed following(false, Listed::shortPauses(), 5);
    following.watcher.takeFrom({{"a", 9, {}}}, 10, 15, era);
    following.run();
    CHECK(following.values == std::map<std::string, int>{{"a", era == 5 ? 9 : 1}});
    CHECK(following.feed.calls.size() == (era == 6 ? 1 : 0));
}

// Guards against an outage of the store that is none: it cuts a waiting call off, and serves the next one.
TEST_CASE("A waiting call that is cut off shows no outage, unless the next one isn't answered either")
{
    enum class Call { Cut, Overdue, Refused, Answered, Changed };
    struct Case
    {
        const char *name;
        std::vector<Call> calls;
        int cuts;
        int failures;
    };
    const bool isWatching = GENERATE(true, false);
    const auto [name, calls, cuts, failures] = GENERATE(values<Case>({
        {"cut once", {Call::Cut, Call::Answered}, 1, 0},
        {"cut once, just before a change", {Call::Cut, Call::Changed}, 1, 0},
        {"cut again and again",
         {Call::Cut, Call::Answered, Call::Cut, Call::Answered, Call::Cut, Call::Answered},
         3,
         0},
        {"cut, and the next call too", {Call::Cut, Call::Cut, Call::Answered}, 1, 1},
        {"cut, and the next calls too", {Call::Cut, Call::Cut, Call::Cut, Call::Answered}, 1, 2},
        {"cut as an outage begins", {Call::Cut, Call::Refused, Call::Answered}, 1, 1},
        {"no answer in time", {Call::Overdue, Call::Answered}, 0, 1},
        {"refused", {Call::Refused, Call::Answered}, 0, 1},
        {"cut after an outage", {Call::Refused, Call::Answered, Call::Cut, Call::Answered}, 1, 1},
    }));
    INFO(name << (isWatching ? ", watching" : ", following"));
    daemon::FeedTiming timing = Listed::shortPauses();
    timing.retry = timing.retryMax = 1ms;
    timing.wait = timing.catchUpWait = 200ms;
    Listed feed(isWatching, timing);
    std::uint64_t revision = 100;
    feed.watcher.noticed({revision, revision}, 0ms); // A follower calls, too, and goes on until it is answered.
    feed.run();
    bool isAnswered = true;
    for (const Call call : calls) {
        REQUIRE(feed.feed.calls.size() == 1);
        CHECK(feed.feed.calls.front().wait == (isAnswered ? timing.wait : timing.checkWait));
        if (call == Call::Overdue)
            std::this_thread::sleep_for(timing.wait);
        if (call == Call::Answered || call == Call::Changed)
            feed.feed.answer(call == Call::Changed ? Entries{{"b", 2, {}}} : Entries{}, revision);
        else
            feed.feed.answer({}, 0, call == Call::Refused ? edges::StoreOutcome::Refused : edges::StoreOutcome::Lost);
        isAnswered = call == Call::Answered || call == Call::Changed;
        if (isAnswered)
            feed.watcher.noticed({revision + 1, ++revision}, 0ms);
        feed.run();
    }
    CHECK(feed.cuts == cuts);
    CHECK(feed.failures == failures);
    CHECK(feed.values.contains("b") == (calls.back() == Call::Changed));
}
