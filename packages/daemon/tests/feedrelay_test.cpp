#include "../src/feedrelay.h"
#include "../src/feedwatcher.h"

#include <sardinehinge/http/server.h>

#include <catch2/catch.hpp>

#include <map>
#include <thread>

using namespace sardinehinge;
using namespace std::chrono_literals;

namespace {

/// A feed whose calls the test answers, and whose sources are `NAME VALUE`.
class FakeFeed : public edges::Feed<int>
{
public:
    void list(const std::string &, Callback done) override { done(page({{"a", 1, {}}}, 10)); }
    void watch(std::uint64_t, core::Duration, Callback done) override { watches.push_back(std::move(done)); }
    edges::FeedPage<int> read(const std::string &source) const override
    {
        const auto space = source.find(' ');
        if (space == std::string::npos)
            return {};
        return page({{source.substr(0, space), std::stoi(source.substr(space + 1)), {}}}, 0);
    }

    std::vector<Callback> watches;

private:
    static edges::FeedPage<int> page(std::vector<edges::FeedEntry<int>> entries, std::uint64_t revision)
    {
        edges::FeedPage<int> page{edges::StoreOutcome::Ok, std::move(entries), revision, false, {}, 1, {}};
        return page;
    }
};

using Watcher = daemon::FeedWatcher<int>;

/// A watcher that follows: it has listed {a: 1} at revision 10 and reads news from a peer whose answers the test gives.
struct Follower
{
    explicit Follower(bool isWatching = false)
        : watcher(context, feed,
                  {[this](const edges::FeedEntry<int> &entry) { values[entry.name] = entry.value.value_or(0); },
                   [](const auto &) {},
                   [](bool, const std::string &) {},
                   {},
                   {},
                   [this](std::uint64_t revision, core::StoreEra, std::function<void(Watcher::Answers)> done) {
                       reads.push_back(revision);
                       pending = std::move(done);
                   }},
                  timing())
    {
        watcher.setWatching(isWatching);
        watcher.start();
        run();
    }

    static daemon::FeedTiming timing()
    {
        daemon::FeedTiming timing;
        timing.pause = timing.retry = timing.retryMax = 1ms;
        timing.newsWait = 50ms;
        return timing;
    }

    void run()
    {
        context.restart();
        context.run_for(20ms);
    }

    boost::asio::io_context context;
    FakeFeed feed;
    std::map<std::string, int> values;
    std::vector<std::uint64_t> reads;
    std::function<void(Watcher::Answers)> pending;
    Watcher watcher;
};

edges::GatewaySettings settingsFor(const std::string &metricsAddress, std::uint32_t linkMbps = 0)
{
    edges::GatewaySettings settings;
    settings.metricsAddress = metricsAddress;
    settings.linkMbps = linkMbps;
    return settings;
}

/// Serves a relay's answers as another daemon does.
class RelayHandler : public http::RequestHandler
{
public:
    explicit RelayHandler(daemon::FeedRelay &relay)
        : m_relay(relay)
    {
    }
    void handle(std::uint64_t, http::Request request, std::shared_ptr<http::Responder> responder) override
    {
        if (isSilent)
            return;
        responder->send(m_relay.respond(request, 0ms).value_or(http::Response{404, {}, {}}));
    }
    void callerDisconnected(std::uint64_t) override { }
    http::Response rejection(int status, const std::string &, const std::string &) override { return {status, {}, {}}; }

    bool isSilent = false;

private:
    daemon::FeedRelay &m_relay;
};

} // namespace

TEST_CASE("News are read from the daemon that has them, and from the store what it lacks")
{
    struct Case
    {
        const char *name;
        Watcher::Answers answers;
        std::map<std::string, int> values;
        bool isStoreCalled;
    };
    const auto [name, answers, expected, isStoreCalled] = GENERATE(values<Case>({
        {"all", {{10, 20, "b 2"}}, {{"a", 1}, {"b", 2}}, false},
        {"all, in two answers", {{10, 15, "b 2"}, {15, 20, "b 3"}}, {{"a", 1}, {"b", 3}}, false},
        {"more than the news", {{10, 25, "b 2"}}, {{"a", 1}, {"b", 2}}, false},
        {"none", {}, {{"a", 1}}, true},
        {"a gap before the answer", {{12, 20, "b 2"}}, {{"a", 1}}, true},
        {"old news", {{5, 10, "b 2"}}, {{"a", 1}}, true},
        {"an answer that can't be read", {{10, 20, "nonsense"}}, {{"a", 1}}, true},
    }));
    INFO(name);
    Follower follower;
    follower.watcher.noticed({20, 20, 0, 1}, 0ms);
    REQUIRE(follower.reads == std::vector<std::uint64_t>{10});
    REQUIRE(follower.feed.watches.empty());
    follower.pending(answers);
    follower.run();
    CHECK(follower.values == expected);
    CHECK(follower.feed.watches.empty() != isStoreCalled);
    CHECK(follower.reads.size() == 1);
}

TEST_CASE("News that come while others are read are read next")
{
    Follower follower;
    follower.watcher.noticed({20, 20, 0, 1}, 0ms);
    follower.watcher.noticed({30, 30, 0, 1}, 0ms);
    REQUIRE(follower.reads.size() == 1);
    std::exchange(follower.pending, nullptr)({{10, 20, "b 2"}});
    REQUIRE(follower.reads == std::vector<std::uint64_t>{10, 20});
    follower.pending({{20, 30, "c 3"}});
    follower.run();
    CHECK(follower.values == std::map<std::string, int>{{"a", 1}, {"b", 2}, {"c", 3}});
    CHECK(follower.feed.watches.empty());
}

// Guards against news that a daemon misses, though others have it, while the store leaves its own call unanswered.
TEST_CASE("News are read from another daemon if the store doesn't answer this one in time")
{
    enum class Store { Silent, Refusing, Answering };
    struct Case
    {
        const char *name;
        Store store;
        bool isPeerRead; ///< Beside the own call.
    };
    const bool isWatching = GENERATE(true, false);
    const auto [name, store, isPeerRead] = GENERATE(values<Case>({
        {"the store is silent", Store::Silent, true},
        {"the store refuses each call", Store::Refusing, true},
        {"the store answers", Store::Answering, false},
    }));
    INFO(name << (isWatching ? ", watching" : ", following"));
    Follower daemon(isWatching);
    const auto runStore = [&, store = store] {
        daemon.run();
        std::this_thread::sleep_for(20ms); // run() returns early when nothing is due.
        if (store == Store::Silent || daemon.feed.watches.empty())
            return;
        const auto answer = daemon.feed.watches.back();
        daemon.feed.watches.clear();
        store == Store::Refusing ? answer({edges::StoreOutcome::Refused, {}, 0, false, {}, 0, {}})
                                 : answer({edges::StoreOutcome::Ok, {{"b", 2, {}}}, 20, false, {}, 1, {}});
    };
    const auto notify = [&] { daemon.watcher.noticed({20, 20, 0, 1}, 0ms); };
    notify();
    if (!isWatching) {
        // A follower asks the other daemon first, which doesn't have the news yet.
        REQUIRE(daemon.reads.size() == 1);
        daemon.pending({});
    }
    const std::size_t before = daemon.reads.size();
    runStore();
    notify();
    CHECK(daemon.reads.size() == before); // The store has some time.
    for (int round = 0; round < 4; ++round)
        runStore();
    notify();
    notify(); // One call at a time.
    CHECK(daemon.reads.size() == before + (isPeerRead ? 1 : 0));
    if (isPeerRead)
        daemon.pending({{10, 20, "b 2"}});
    CHECK(daemon.values == std::map<std::string, int>{{"a", 1}, {"b", 2}});
    CHECK(daemon.watcher.position().completeTo == 20);
    runStore();
    notify();
    CHECK(daemon.reads.size() == before + (isPeerRead ? 1 : 0)); // Nothing is missing any more.
}

TEST_CASE("An answer of a peer is dropped when a later era is known by then")
{
    Follower follower;
    follower.watcher.noticed({20, 20, 0, 1}, 0ms);
    follower.watcher.eraSeen(2);
    follower.pending({{10, 20, "b 2"}});
    follower.run();
    CHECK(follower.values == std::map<std::string, int>{{"a", 1}});
}

TEST_CASE("A daemon reads what another one's watches brought")
{
    struct Case
    {
        const char *name;
        std::uint64_t revision;
        core::StoreEra era;
        bool isSilent;
        std::size_t answers;
    };
    const auto [name, revision, era, isSilent, answers] = GENERATE(values<Case>({
        {"both", 10, 1, false, 2},
        {"the latest", 20, 1, false, 1},
        {"not known", 5, 1, false, 0},
        {"another era", 10, 2, false, 0},
        {"no response", 10, 1, true, 0},
    }));
    INFO(name);
    boost::asio::io_context context;
    daemon::FeedRelay serving(context, settingsFor("127.0.0.1:1"));
    serving.add(daemon::FeedRelay::Kind::Targets, {10, 20, "first"}, 1);
    serving.add(daemon::FeedRelay::Kind::Targets, {20, 30, std::string(100'000, 'x')}, 1);
    RelayHandler handler(serving);
    handler.isSilent = isSilent;
    http::Server server(context, handler);
    REQUIRE(core::errorIn(server.listen("127.0.0.1:0")) == nullptr);
    daemon::FeedRelay reading(context, settingsFor("127.0.0.1:" + std::to_string(server.port())));
    std::optional<std::size_t> count;
    reading.read("127.0.0.1:9", daemon::FeedRelay::Kind::Targets, revision, era,
                 [&count](const daemon::FeedRelay::Answers &read, int) { count = read.size(); });
    const auto limit = std::chrono::steady_clock::now() + 10s;
    while (!count && std::chrono::steady_clock::now() < limit)
        context.run_one_for(100ms);
    CHECK(count == answers);
}

TEST_CASE("A daemon whose link has no room for its answers says so")
{
    boost::asio::io_context context;
    daemon::FeedRelay relay(context, settingsFor("127.0.0.1:1", 10));
    relay.add(daemon::FeedRelay::Kind::Configs, {10, 20, std::string(300'000, 'x')}, 1);
    const http::Request request{"GET", "/feeds/configs?after=10&era=1", {}, {}, {}};
    CHECK(relay.respond(request, 0ms)->status == 200);
    CHECK(relay.respond(request, 0ms)->status == 200);
    CHECK(relay.respond(request, 0ms)->status == 503);
    CHECK(relay.respond(request, 1s)->status == 200);
    CHECK_FALSE(relay.respond({"GET", "/metrics", {}, {}, {}}, 0ms));
    CHECK(relay.respond({"GET", "/feeds/configs?after=x&era=1", {}, {}, {}}, 1s)->status == 404);
}
