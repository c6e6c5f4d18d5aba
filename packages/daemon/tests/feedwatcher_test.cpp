#include "../src/feedwatcher.h"

#include <catch2/catch.hpp>

#include <map>

using namespace sardinehinge;
using namespace std::chrono_literals;

namespace {

using Entries = std::vector<edges::FeedEntry<int>>;

/// A feed whose answers the test gives.
class FakeFeed : public edges::Feed<int>
{
public:
    void list(const std::string &, Callback done) override { calls.push_back({0, std::move(done)}); }
    void watch(std::uint64_t revision, core::Duration, Callback done) override
    {
        calls.push_back({revision, std::move(done)});
    }

    void answer(const Entries &entries, std::uint64_t revision, edges::StoreOutcome outcome = edges::StoreOutcome::Ok)
    {
        REQUIRE_FALSE(calls.empty());
        const auto call = std::move(calls.front());
        calls.erase(calls.begin());
        call.done({outcome, entries, revision, false, {}});
    }

    struct Call
    {
        std::uint64_t revision;
        Callback done;
    };
    std::vector<Call> calls;
};

/// A watcher that has listed {a: 1} at revision 10.
struct Listed
{
    explicit Listed(bool isWatching, const daemon::FeedTiming &timing = shortPauses())
        : watcher(context, feed, handlers(), timing)
    {
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
                [](bool, const std::string &) {},
                {}};
    }

    boost::asio::io_context context;
    FakeFeed feed;
    std::map<std::string, int> values;
    daemon::FeedWatcher<int> watcher;
};

} // namespace

TEST_CASE("A feed that is watched keeps a call waiting, one that follows calls for news only")
{
    Listed watching(true);
    CHECK(watching.feed.calls.size() == 1);
    Listed following(false);
    CHECK(following.feed.calls.empty());
    following.watcher.told({9, 30}, 0ms); // No change since its list.
    following.run();
    CHECK(following.feed.calls.empty());
    following.watcher.told({31, 31}, 0ms);
    following.run();
    REQUIRE(following.feed.calls.size() == 1);
    CHECK(following.feed.calls.front().revision == 30);
    following.feed.answer({{"b", 2, {}}}, 31);
    following.run();
    CHECK(following.feed.calls.empty());
    CHECK(following.values == std::map<std::string, int>{{"a", 1}, {"b", 2}});
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
    following.watcher.takeFrom({{"a", std::nullopt, {}}, {"b", 2, {}}}, base, revision);
    CHECK((following.values == std::map<std::string, int>{{"b", 2}}) == isTaken);
    following.watcher.told({revision, revision}, 0ms);
    following.run();
    CHECK(following.feed.calls.empty() == (isTaken || revision <= 10));
}

TEST_CASE("A late answer of the store does not undo what another daemon passed on since")
{
    Listed following(false);
    following.watcher.told({12, 12}, 0ms);
    following.run();
    REQUIRE(following.feed.calls.size() == 1);
    following.watcher.takeFrom({{"a", 3, {}}}, 10, 15);
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
    following.watcher.told(watching.watcher.position(), 0ms);
    watching.feed.answer({}, 0, edges::StoreOutcome::HistoryGone);
    watching.feed.answer({{"a", 1, {}}, {"b", 2, {}}}, 25);
    watching.run();
    CHECK(watching.values == std::map<std::string, int>{{"a", 1}, {"b", 2}});

    following.watcher.told(watching.watcher.position(), 0ms);
    following.run();
    REQUIRE(following.feed.calls.size() == 1);
    CHECK(following.feed.calls.front().revision == 0); // A list, since a watch from 20 on would not show b.
    following.feed.answer({{"a", 1, {}}, {"b", 2, {}}}, 25);
    following.run();
    CHECK(following.values == std::map<std::string, int>{{"a", 1}, {"b", 2}});
    following.watcher.told(watching.watcher.position(), 0ms);
    following.run();
    CHECK(following.feed.calls.empty());
}

TEST_CASE("A daemon that the store turns away asks again soon enough, though no other feed wakes it")
{
    // Once the store takes its calls again, it has 2 s to know of a change; news and answers take some of it.
    constexpr core::Duration mostBetweenCalls = 1s;
    const auto timing = GENERATE(daemon::FeedTiming(), daemon::configFeedTiming(1s));
    Listed following(false, timing);
    following.watcher.told({30, 30}, 0ms);
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
    following.watcher.told({10, 30}, listed + 5s); // No change since.
    CHECK(following.watcher.completeAt() == listed + 5s);
    following.watcher.told({31, 31}, listed + 9s); // A change that isn't known yet.
    CHECK(following.watcher.completeAt() == listed + 5s);
}
