#include "../src/gatewaycontrol.h"

#include <sardinehinge/core/eventnumbers.h>

#include <catch2/catch.hpp>

#include <mutex>
#include <thread>

using namespace sardinehinge;
using namespace std::chrono_literals;

namespace {

/// What a store holds, in the two states that matter here: everything, or what an older copy had.
struct FakeStore
{
    template<typename Value>
    struct Object
    {
        Value value;
        std::uint64_t revision;
    };

    std::mutex mutex;
    core::StoreEra era = 1;
    std::uint64_t revision = 100;
    std::map<std::string, Object<core::GatewayConfig>> configs;
    std::map<std::string, Object<core::RegisteredTarget>> targets;
    std::map<std::string, Object<core::Evacuation>> evacuations;
    std::map<std::string, Object<core::PeerDaemon>> peers;
    std::size_t feedLists = 0;
    std::size_t evacuationLists = 0;
    bool isListingEvacuations = true; ///< Otherwise these lists fail.
    std::size_t peerLists = 0;
    std::size_t pageSize = 1000; ///< Of lists of daemons.
    std::function<void()> peerPageRead; ///< Called after the next page of such a list, with the lock held.
    std::size_t enters = 0;
    std::size_t entryWrites = 0;
};

template<typename Value>
class FakeFeed
{
public:
    using Objects = std::map<std::string, FakeStore::Object<Value>>;
    using Callback = typename edges::Feed<Value>::Callback;

    FakeFeed(boost::asio::io_context &context, FakeStore &store, Objects FakeStore::*objects,
             std::size_t FakeStore::*lists)
        : m_context(context)
        , m_store(store)
        , m_objects(objects)
        , m_lists(lists)
    {
    }

    void list(Callback done)
    {
        const std::lock_guard lock(m_store.mutex);
        ++(m_store.*m_lists);
        auto page = changesAfter(0);
        if constexpr (std::is_same_v<Value, core::Evacuation>) {
            if (!m_store.isListingEvacuations)
                page.outcome = edges::StoreOutcome::Refused;
        }
        boost::asio::post(m_context, [done, page] { done(page); });
    }
    void listPage(const std::string &after, Callback done)
    {
        const std::lock_guard lock(m_store.mutex);
        if (after.empty())
            ++(m_store.*m_lists);
        edges::FeedPage<Value> page{edges::StoreOutcome::Ok, {}, m_store.revision, false, {}, m_store.era};
        const Objects &objects = m_store.*m_objects;
        for (auto next = objects.upper_bound(after); next != objects.end(); ++next) {
            page.hasMore = page.entries.size() == m_store.pageSize;
            if (page.hasMore)
                break;
            page.entries.push_back({next->first, next->second.value, {}});
        }
        if (const auto action = std::exchange(m_store.peerPageRead, nullptr))
            action();
        boost::asio::post(m_context, [done, page] { done(page); });
    }
    /// Answers after a short wait, with or without changes.
    void watch(std::uint64_t revision, Callback done)
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(m_context, 20ms);
        timer->async_wait([this, timer, revision, done](const boost::system::error_code &error) {
            if (error)
                return;
            edges::FeedPage<Value> page;
            {
                const std::lock_guard lock(m_store.mutex);
                page = changesAfter(revision);
            }
            done(page);
        });
    }

private:
    edges::FeedPage<Value> changesAfter(std::uint64_t revision) const
    {
        edges::FeedPage<Value> page{edges::StoreOutcome::Ok, {}, m_store.revision, false, {}, m_store.era, {}};
        for (const auto &[name, object] : m_store.*m_objects) {
            if (object.revision > revision)
                page.entries.push_back({name, object.value, {}});
        }
        return page;
    }

    boost::asio::io_context &m_context;
    FakeStore &m_store;
    Objects FakeStore::*m_objects;
    std::size_t FakeStore::*m_lists;
};

template<typename Value>
class FakeObjects : public edges::Feed<Value>
{
public:
    explicit FakeObjects(FakeFeed<Value> feed)
        : m_feed(std::move(feed))
    {
    }
    void list(const std::string &, typename edges::Feed<Value>::Callback done) override { m_feed.list(done); }
    void watch(std::uint64_t revision, core::Duration, typename edges::Feed<Value>::Callback done) override
    {
        m_feed.watch(revision, done);
    }

private:
    FakeFeed<Value> m_feed;
};

class FakePeers : public edges::PeerRegistry
{
public:
    FakePeers(boost::asio::io_context &context, FakeStore &store)
        : m_context(context)
        , m_store(store)
        , m_feed(context, store, &FakeStore::peers, &FakeStore::peerLists)
    {
    }
    void list(const std::string &after, Callback done) override { m_feed.listPage(after, done); }
    void watch(std::uint64_t revision, core::Duration, Callback done) override { m_feed.watch(revision, done); }
    void enter(const core::PeerDaemon &self, std::function<void(edges::StoreOutcome, std::uint64_t)> done) override
    {
        const std::lock_guard lock(m_store.mutex);
        ++m_store.enters;
        auto &entry = m_store.peers[self.id];
        if (self.incarnation == 0 || entry.value.incarnation != self.incarnation) {
            ++m_store.entryWrites;
            entry = {self, ++m_store.revision};
            if (self.incarnation == 0)
                entry.value.incarnation = (m_store.era << 40U) + entry.revision;
        }
        boost::asio::post(
            m_context, [done, incarnation = entry.value.incarnation] { done(edges::StoreOutcome::Ok, incarnation); });
    }

private:
    boost::asio::io_context &m_context;
    FakeStore &m_store;
    FakeFeed<core::PeerDaemon> m_feed;
};

/// No service is sharded here, so there is no ownership.
class NoOwnership : public edges::OwnershipStore, public edges::RangeOrders
{
public:
    void read(const std::string &, edges::OwnershipStore::Callback) override { }
    void write(const std::string &, const core::OwnershipRecord &, std::uint64_t,
               edges::OwnershipStore::Callback) override
    {
    }
    void send(const core::RangeOrder &, edges::RangeOrders::Callback) override { }
    void connect(const std::string &, std::function<void(bool)>) override { }
};

class FakePlatform : public edges::GatewayPlatform
{
public:
    FakePlatform(boost::asio::io_context &context, FakeStore &store)
        : m_configs(FakeFeed(context, store, &FakeStore::configs, &FakeStore::feedLists))
        , m_targets(FakeFeed(context, store, &FakeStore::targets, &FakeStore::feedLists))
        , m_evacuations(FakeFeed(context, store, &FakeStore::evacuations, &FakeStore::evacuationLists))
        , m_peers(context, store)
    {
    }
    edges::Feed<core::GatewayConfig> &configs() override { return m_configs; }
    edges::Feed<core::RegisteredTarget> &targets() override { return m_targets; }
    edges::Feed<core::Evacuation> &evacuations() override { return m_evacuations; }
    edges::PeerRegistry &peers() override { return m_peers; }
    edges::OwnershipStore &ownership() override { return m_ownership; }
    edges::RangeOrders &orders() override { return m_ownership; }

private:
    FakeObjects<core::GatewayConfig> m_configs;
    FakeObjects<core::RegisteredTarget> m_targets;
    FakeObjects<core::Evacuation> m_evacuations;
    FakePeers m_peers;
    NoOwnership m_ownership;
};

/// A control duty on a fake store.
class Control
{
public:
    /// `prepare`: sets what the store holds at the start.
    explicit Control(std::optional<core::Duration> evacuationBound = std::nullopt,
                     const std::function<void(FakeStore &)> &prepare = {})
        : m_control(
            settings(evacuationBound), [this](auto &context) { return std::make_unique<FakePlatform>(context, store); },
            m_events, m_metrics, [this](const daemon::ToTraffic &update) { return take(update); })
    {
        if (prepare)
            prepare(store);
        REQUIRE(core::errorIn(m_control.start()) == nullptr);
    }

    void change(const std::function<void(FakeStore &)> &action)
    {
        const std::lock_guard lock(store.mutex);
        action(store);
    }
    template<typename Value>
    Value read(Value FakeStore::*field)
    {
        const std::lock_guard lock(store.mutex);
        return store.*field;
    }
    void putConfig(std::uint64_t version)
    {
        change([version](FakeStore &to) {
            core::GatewayConfig config;
            config.version = version;
            to.configs["main"] = {config, ++to.revision};
        });
    }
    bool waitFor(const std::function<bool()> &condition, std::chrono::milliseconds limit)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(10ms);
            const std::lock_guard lock(store.mutex);
            if (condition())
                return true;
        }
        return false;
    }
    std::size_t count(std::uint32_t event) const
    {
        const auto entries = m_events.entries();
        return static_cast<std::size_t>(
            std::count_if(entries.begin(), entries.end(), [event](const auto &entry) { return entry.event == event; }));
    }

    FakeStore store;
    bool isTrafficFull = false; ///< The traffic duty takes no updates. Guarded by the store's mutex.
    std::vector<std::uint64_t> versions; ///< Configurations put in force. Guarded by the store's mutex.
    std::optional<std::vector<core::RegisteredTarget>>
        published; ///< To the traffic duty. Guarded by the store's mutex.

private:
    static edges::GatewaySettings settings(std::optional<core::Duration> evacuationBound)
    {
        edges::GatewaySettings settings;
        settings.evacuationBound = evacuationBound;
        settings.id = "self";
        settings.peerAddress = settings.metricsAddress = "127.0.0.1:0";
        return settings;
    }
    bool take(const daemon::ToTraffic &update)
    {
        const std::lock_guard lock(store.mutex);
        if (isTrafficFull)
            return false;
        if (const auto *config = std::get_if<daemon::GatewayConfigUpdate>(&update))
            versions.push_back(config->config.version);
        if (const auto *targets = std::get_if<daemon::GatewayTargetsUpdate>(&update))
            published = targets->targets;
        return true;
    }

    daemon::EventLog m_events;
    daemon::Metrics m_metrics;
    daemon::GatewayControl m_control;
};

} // namespace

TEST_CASE("A configuration in force isn't replaced by the older one that a returned store lists")
{
    Control control;
    control.putConfig(4);
    REQUIRE(control.waitFor([&] { return control.versions.size() == 1; }, 2s));
    const auto copy = control.read(&FakeStore::configs);
    control.putConfig(5);
    REQUIRE(control.waitFor([&] { return control.versions.size() == 2; }, 2s));
    control.change([&copy](FakeStore &store) {
        store.configs = copy;
        --store.revision;
        ++store.era;
        store.feedLists = 0;
    });
    REQUIRE(control.waitFor([&] { return control.store.feedLists == 2; }, 2s));
    control.putConfig(5); // Written again.
    CHECK_FALSE(control.waitFor([&] { return control.versions.size() != 2; }, 300ms));
    control.putConfig(6);
    CHECK(control.waitFor([&] { return control.versions == std::vector<std::uint64_t>{4, 5, 6}; }, 2s));
    CHECK(control.count(core::events::storeEraSeen) == 2);
}

TEST_CASE("A configuration and targets that find the traffic duty's ring full are handed over later")
{
    Control control;
    control.change([&control](FakeStore &) { control.isTrafficFull = true; });
    control.putConfig(4);
    control.change([](FakeStore &store) {
        core::RegisteredTarget target;
        target.identity = {"target", 1};
        target.address = "127.0.0.1:1";
        store.targets["target"] = {target, ++store.revision};
    });
    REQUIRE(control.waitFor([&] { return control.count(core::events::targetRegistered) == 1; }, 2s));
    REQUIRE(control.waitFor([&] { return control.count(core::events::gatewayConfigReceived) == 1; }, 2s));
    control.putConfig(5);
    REQUIRE(control.waitFor([&] { return control.count(core::events::gatewayConfigReceived) == 2; }, 2s));
    control.change([&control](FakeStore &) { control.isTrafficFull = false; });
    CHECK(control.waitFor([&] { return control.versions == std::vector<std::uint64_t>{5}; }, 2s));
    CHECK(control.waitFor([&] { return control.published && control.published->size() == 1; }, 2s));
}

TEST_CASE("A daemon's entry that a store has lost is written again, and the entries of others are read")
{
    Control control;
    REQUIRE(control.waitFor([&] { return control.store.peers.contains("self"); }, 2s));
    const std::uint64_t incarnation = control.read(&FakeStore::peers)["self"].value.incarnation;
    const core::PeerDaemon earlier{"peer", 50, "127.0.0.1:1", 0};
    core::PeerDaemon later = earlier;
    later.incarnation = 60;
    // The second list after the start shows a daemon that entered after the first one.
    control.change([&](FakeStore &store) { store.peers["peer"] = {later, ++store.revision}; });
    CHECK(control.waitFor([&] { return control.count(core::events::peerJoined) == 1; }, 6s));
    CHECK(control.read(&FakeStore::peerLists) == 2);

    control.change([&](FakeStore &store) {
        store.peers = {{"peer", {earlier, 90}}};
        store.revision = 95;
        ++store.era;
        store.feedLists = store.peerLists = store.enters = store.entryWrites = 0;
    });
    CHECK(control.waitFor([&] { return control.store.peers.contains("self"); }, 3s));
    CHECK(control.read(&FakeStore::peers)["self"].value.incarnation == incarnation);
    const core::PeerDaemon another{"another", 70, "127.0.0.1:1", 0};
    control.change([&](FakeStore &store) { store.peers["another"] = {another, ++store.revision}; });
    CHECK(control.waitFor([&] { return control.count(core::events::peerJoined) == 2; }, 8s));
    control.waitFor([] { return false; }, 1s);
    const std::lock_guard lock(control.store.mutex);
    CHECK(control.count(core::events::peerJoined) == 2); // The earlier life of the first one isn't taken.
    CHECK(control.store.feedLists == 2);
    CHECK(control.store.enters == 1);
    CHECK(control.store.entryWrites == 1);
    CHECK(control.store.peerLists == 1);
}

TEST_CASE("All daemons are known from a list of several pages, and from the next one if the store returned meanwhile")
{
    const std::size_t pageSize = GENERATE(1, 4, 5, 100);
    const bool isRestored = GENERATE(false, true);
    constexpr std::size_t others = 9;
    INFO("page size " << pageSize << ", restored " << isRestored);
    Control control(std::nullopt, [&](FakeStore &store) {
        store.pageSize = pageSize;
        for (std::size_t index = 0; index < others; ++index) {
            const std::string name = "peer" + std::to_string(index);
            store.peers[name] = {{name, 50 + index, "127.0.0.1:1", 0}, 50 + index};
        }
        // After the first page.
        store.peerPageRead = [&store, isRestored] { store.era += isRestored ? 1 : 0; };
    });
    CHECK(control.waitFor([&] { return control.count(core::events::peerJoined) == others; }, 3s));
}

TEST_CASE("Targets of an evacuated failure domain are published as draining, and as before after it")
{
    Control control(5s);
    control.change([](FakeStore &store) {
        for (const std::string domain : {"a", "b"}) {
            core::RegisteredTarget target;
            target.identity = {domain + "-target", 1};
            target.failureDomain = domain;
            store.targets[target.identity.id] = {target, ++store.revision};
        }
    });
    const auto draining = [&control] {
        std::vector<std::string> ids;
        for (const core::RegisteredTarget &target : control.published.value_or(std::vector<core::RegisteredTarget>())) {
            if (target.isDraining)
                ids.push_back(target.identity.id);
        }
        return ids;
    };
    REQUIRE(control.waitFor([&] { return control.published && control.published->size() == 2; }, 2s));
    control.change([](FakeStore &store) { store.evacuations["b"] = {{}, ++store.revision}; });
    CHECK(control.waitFor([&] { return draining() == std::vector<std::string>{"b-target"}; }, 2s));
    CHECK(control.count(core::events::evacuationBegan) == 1);
    // The store has lost the entry, and the operator doesn't write it again.
    control.change([](FakeStore &store) {
        store.evacuations.clear();
        ++store.era;
    });
    CHECK_FALSE(control.waitFor([&] { return draining().empty(); }, 2s));
    CHECK(control.waitFor([&] { return draining().empty(); }, 5s));
    CHECK(control.count(core::events::evacuationEnded) == 1);
}

TEST_CASE("No targets are published before the evacuations are known")
{
    Control control(5s, [](FakeStore &store) {
        store.isListingEvacuations = false;
        store.targets["a-target"] = {{{"a-target", 1}, "s", "127.0.0.1:1", "a"}, ++store.revision};
        store.evacuations["a"] = {{}, ++store.revision};
    });
    CHECK_FALSE(control.waitFor([&] { return control.published.has_value(); }, 500ms));
    control.change([](FakeStore &store) { store.isListingEvacuations = true; });
    REQUIRE(control.waitFor([&] { return control.published && !control.published->empty(); }, 2s));
    const std::lock_guard lock(control.store.mutex);
    CHECK(control.published->front().isDraining);
}

TEST_CASE("A deployment whose settings have no bound for evacuations makes no calls for them")
{
    Control control(std::nullopt, [](FakeStore &store) {
        store.targets["a-target"] = {{{"a-target", 1}, "s", "127.0.0.1:1", "a"}, ++store.revision};
        store.evacuations["a"] = {{}, ++store.revision};
    });
    REQUIRE(control.waitFor([&] { return control.published.has_value(); }, 2s));
    const std::lock_guard lock(control.store.mutex);
    CHECK_FALSE(control.published->front().isDraining);
    CHECK(control.store.evacuationLists == 0);
}
