#include "../src/feedwatcher.h"

#include <sardinehinge/core/targetregistry.h>

#include <catch2/catch.hpp>

#include <map>

using namespace sardinehinge;
using namespace std::chrono_literals;

namespace {

using Target = core::RegisteredTarget;

Target targetOf(const std::string &id, std::uint64_t born, bool isDraining = false)
{
    Target target;
    target.identity = {id, born};
    target.isDraining = isDraining;
    return target;
}

/// A store with one kind of objects, whose lists have pages of two. Calls wait until the test has them answered, as of
/// that moment.
class PagedStore : public edges::Feed<Target>
{
public:
    static constexpr std::size_t pageSize = 2;

    void list(const std::string &after, Callback done) override
    {
        m_call = [this, after, done = std::move(done)] { answerList(after, done); };
        isListCall = true;
    }
    void watch(std::uint64_t revision, core::Duration, Callback done) override
    {
        m_call = [this, revision, done = std::move(done)] { answerWatch(revision, done); };
        isListCall = false;
    }

    void put(const Target &target)
    {
        objects[target.identity.id] = target;
        m_events.push_back({++m_revision, {target.identity.id, target, {}}});
    }
    void remove(const std::string &name)
    {
        objects.erase(name);
        m_events.push_back({++m_revision, {name, std::nullopt, {}}});
    }
    /// Returns from a copy without `lost`, and with lower revisions.
    void restore(const std::string &lost)
    {
        ++era;
        m_events.clear();
        objects.erase(lost);
        m_revision = 5;
    }
    void dropHistory() { m_firstKept = m_revision + 1; }

    bool isCalled() const noexcept { return static_cast<bool>(m_call); }
    void answer() { std::exchange(m_call, nullptr)(); }

    std::map<std::string, Target> objects;
    core::StoreEra era = 1;
    int refusals = 0; ///< Of the next calls.
    bool isListCall = false; ///< The call that waits.

private:
    struct Event
    {
        std::uint64_t revision;
        edges::FeedEntry<Target> entry;
    };

    bool refuse(const Callback &done)
    {
        if (refusals == 0)
            return false;
        --refusals;
        done({edges::StoreOutcome::Refused, {}, 0, false, {}, 0});
        return true;
    }

    void answerList(const std::string &after, const Callback &done)
    {
        if (refuse(done))
            return;
        edges::FeedPage<Target> page{edges::StoreOutcome::Ok, {}, m_revision, false, {}, era};
        for (auto next = objects.upper_bound(after); next != objects.end(); ++next) {
            if (page.entries.size() == pageSize) {
                page.hasMore = true;
                break;
            }
            page.entries.push_back({next->first, next->second, {}});
        }
        done(page);
    }

    void answerWatch(std::uint64_t revision, const Callback &done)
    {
        if (refuse(done))
            return;
        if (revision + 1 < m_firstKept)
            return done({edges::StoreOutcome::HistoryGone, {}, m_revision, false, {}, era});
        edges::FeedPage<Target> page{edges::StoreOutcome::Ok, {}, m_revision, false, {}, era};
        for (const Event &event : m_events) {
            if (event.revision > revision)
                page.entries.push_back(event.entry);
        }
        done(page);
    }

    std::uint64_t m_revision = 10;
    std::uint64_t m_firstKept = 0;
    std::vector<Event> m_events;
    std::function<void()> m_call;
};

/// A daemon's copy of the targets, kept as GatewayControl keeps it.
struct Copy
{
    explicit Copy(bool isWatching)
        : watcher(context, store, handlers(), timing())
    {
        for (const char *name : {"a", "b", "c", "d", "e"})
            store.put(targetOf(name, 1));
        watcher.setWatching(isWatching);
        watcher.start();
    }

    static daemon::FeedTiming timing()
    {
        daemon::FeedTiming timing;
        timing.pause = timing.retry = timing.retryMax = 1ms;
        return timing;
    }

    daemon::FeedWatcher<Target>::Handlers handlers()
    {
        return {[this](const auto &entry) {
                    if (entry.value)
                        registry.put(*entry.value, daemon::bootTime());
                    else
                        registry.remove(entry.name, daemon::bootTime(), watcher.completeAt());
                },
                [this](const std::vector<std::string> &names) {
                    registry.keepOnly(names, daemon::bootTime(), watcher.completeAt());
                    ++lists;
                },
                [](bool, const std::string &) {},
                {},
                [this](core::StoreEra) {
                    if (std::exchange(hasEra, true))
                        registry.eraChanged(daemon::bootTime());
                }};
    }

    void run()
    {
        context.restart();
        context.run_for(3ms);
    }
    /// Answers the calls until nothing new comes.
    void settle(int calls)
    {
        for (int call = 0; call < calls && store.isCalled(); ++call) {
            store.answer();
            run();
        }
    }
    /// What the daemon knows once removed entries are no longer kept.
    std::map<std::string, Target> known()
    {
        registry.expire(daemon::bootTime() + 10s);
        std::map<std::string, Target> targets;
        for (const Target &target : registry.targets(daemon::bootTime() + 10s))
            targets[target.identity.id] = target;
        return targets;
    }

    boost::asio::io_context context;
    PagedStore store;
    core::TargetRegistry registry;
    int lists = 0; ///< Whole ones.
    bool hasEra = false;
    daemon::FeedWatcher<Target> watcher;
};

struct Change
{
    const char *name;
    std::function<void(PagedStore &)> apply;
};

} // namespace

TEST_CASE("A copy equals the store whatever changes at any moment of a paged list")
{
    const bool isWatching = GENERATE(true, false);
    const int pagesBefore = GENERATE(0, 1, 2, 3, 4); // Calls answered before the change; the list has three pages.
    const auto [name, apply] = GENERATE(values<Change>({
        {"nothing", [](PagedStore &) {}},
        {"an entry of the first page drains", [](PagedStore &store) { store.put(targetOf("a", 1, true)); }},
        {"an entry of the second page drains", [](PagedStore &store) { store.put(targetOf("d", 1, true)); }},
        {"an entry of the last page drains", [](PagedStore &store) { store.put(targetOf("e", 1, true)); }},
        {"a new first name", [](PagedStore &store) { store.put(targetOf("A", 1)); }},
        {"a new name on the first page", [](PagedStore &store) { store.put(targetOf("aa", 1)); }},
        {"a new last name", [](PagedStore &store) { store.put(targetOf("z", 1)); }},
        {"a removal on the first page", [](PagedStore &store) { store.remove("b"); }},
        {"a removal on the second page", [](PagedStore &store) { store.remove("c"); }},
        {"a removal on the last page", [](PagedStore &store) { store.remove("e"); }},
        {"a removed entry comes back as another incarnation",
         [](PagedStore &store) {
             store.remove("a");
             store.put(targetOf("a", 2));
         }},
        {"the same on the last page",
         [](PagedStore &store) {
             store.remove("e");
             store.put(targetOf("e", 2));
         }},
        {"an entry drains, is removed and comes back on the last page",
         [](PagedStore &store) {
             store.put(targetOf("e", 1, true));
             store.remove("e");
             store.put(targetOf("e", 2));
         }},
        {"a new entry is removed again",
         [](PagedStore &store) {
             store.put(targetOf("bb", 1));
             store.remove("bb");
         }},
        {"all entries are removed",
         [](PagedStore &store) {
             for (const char *each : {"a", "b", "c", "d", "e"})
                 store.remove(each);
         }},
        {"the store returns without an entry of the first page", [](PagedStore &store) { store.restore("a"); }},
        {"the store returns without an entry of the last page", [](PagedStore &store) { store.restore("e"); }},
        {"a change whose history is dropped",
         [](PagedStore &store) {
             store.put(targetOf("a", 1, true));
             store.remove("b");
             store.dropHistory();
         }},
        {"a change while a page is refused",
         [](PagedStore &store) {
             store.refusals = 1;
             store.put(targetOf("a", 1, true));
             store.remove("b");
         }},
    }));
    INFO(name << ", after " << pagesBefore << " calls, " << (isWatching ? "watching" : "following"));
    Copy copy(isWatching);
    copy.settle(pagesBefore);
    apply(copy.store);
    // A daemon that follows is notified of what came after its calls.
    const bool isAfterCalls = !isWatching && !copy.store.isCalled();
    copy.settle(12);
    if (isAfterCalls) {
        const core::FeedPosition before = copy.watcher.position();
        core::FeedPosition news{before.completeTo + 10, before.completeTo + 10, 0, copy.store.era};
        copy.watcher.noticed(news, 0ms);
        copy.run();
        copy.settle(12);
    }
    CHECK(copy.known() == copy.store.objects);
    CHECK(copy.lists >= 1);
}

TEST_CASE("Changes at several moments of one list are all known in the end")
{
    const bool isWatching = GENERATE(true, false);
    Copy copy(isWatching);
    copy.store.put(targetOf("f", 1)); // Three pages, also without d.
    copy.settle(1);
    copy.store.put(targetOf("a", 1, true));
    copy.store.remove("d");
    copy.settle(1);
    copy.store.remove("b");
    copy.store.put(targetOf("d", 2));
    copy.settle(1);
    copy.store.remove("a");
    copy.store.put(targetOf("bb", 1));
    copy.settle(isWatching ? 6 : 12);
    CHECK(copy.known() == copy.store.objects);
}

TEST_CASE("A list is complete as of its first page")
{
    Copy copy(true);
    copy.settle(1);
    const core::Time first = daemon::bootTime();
    std::this_thread::sleep_for(30ms);
    copy.store.put(targetOf("a", 1, true));
    copy.store.answer();
    copy.store.answer(); // The list is whole; the watch hasn't been answered.
    REQUIRE(copy.lists == 1);
    CHECK(copy.watcher.completeAt() <= first);
    CHECK(copy.watcher.position().completeTo == 15);
}

TEST_CASE("A follower catches up at once with what changed during its list, and not without need")
{
    const bool isChanged = GENERATE(true, false);
    Copy copy(false);
    copy.watcher.setSparing(10s);
    copy.settle(1);
    if (isChanged)
        copy.store.put(targetOf("a", 1, true));
    copy.settle(2);
    REQUIRE(copy.lists == 1);
    CHECK(copy.store.isCalled() == isChanged);
    copy.settle(1);
    CHECK_FALSE(copy.store.isCalled());
    CHECK(copy.known() == copy.store.objects);
}

// Guards against changes behind a list's reader that are lost when other daemons relay theirs meanwhile.
TEST_CASE("A copy equals the store whatever other daemons relay at any moment of a paged list")
{
    struct Relay
    {
        const char *name;
        bool passesOn; ///< The change itself.
        bool notifies; ///< Of the store's position after the change.
        bool notifiesBefore; ///< Of the position before it, as late datagrams do.
    };
    const bool isWatching = GENERATE(true, false);
    const int callsBefore = GENERATE(1, 2, 3); // Answered before the change; the list has three pages.
    const int callsBetween = GENERATE(0, 1, 2); // Answered between the change and what is relayed.
    const Relay relay = GENERATE(values<Relay>({
        {"nothing", false, false, false},
        {"the change", true, false, false},
        {"a notice", false, true, false},
        {"the change and a notice", true, true, false},
        {"a late notice", false, false, true},
        {"the change and a late notice", true, false, true},
    }));
    INFO(relay.name << ", change after " << callsBefore << " calls, relayed after " << callsBetween << " more, "
                    << (isWatching ? "watching" : "following"));
    Copy copy(isWatching);
    copy.settle(callsBefore);
    // Five targets were put; the other daemon knew the latest of them.
    constexpr std::uint64_t before = 15;
    copy.store.put(targetOf("a", 1, true));
    copy.store.put(targetOf("b", 1, true));
    constexpr std::uint64_t afterFirst = before + 1;
    constexpr std::uint64_t after = before + 2;
    copy.settle(callsBetween);
    // A datagram brings the first change only: the second one follows it, and is read from the sender or the store.
    if (relay.passesOn)
        copy.watcher.takeFrom({{"a", targetOf("a", 1, true), {}}}, before, afterFirst, 1);
    if (relay.notifiesBefore)
        copy.watcher.noticed({before, before, 0, 1}, daemon::bootTime());
    if (relay.notifies)
        copy.watcher.noticed({after, after, 0, 1}, daemon::bootTime());
    copy.settle(12);
    // The next notice comes within 0.3 s. By then a follower whose list was whole before the change knows of it.
    copy.watcher.noticed({after, after + 1, 0, 1}, daemon::bootTime());
    copy.run();
    copy.settle(4);
    CHECK(copy.known() == copy.store.objects);
}

// Guards against changes that are lost when another feed reports the store's return during the call for them.
TEST_CASE("A follower that is notified of the store's return still learns what changed during its list")
{
    Copy copy(false);
    copy.settle(1);
    copy.store.put(targetOf("a", 1, true));
    copy.settle(2);
    REQUIRE(copy.lists == 1);
    REQUIRE(copy.store.isCalled());
    copy.watcher.retryNow();
    copy.run();
    REQUIRE(copy.store.isCalled());
    copy.settle(2);
    CHECK(copy.known() == copy.store.objects);
    copy.watcher.retryNow(); // Nothing is missing, so nothing is asked.
    copy.run();
    CHECK_FALSE(copy.store.isCalled());
}

TEST_CASE("The next page begins after the last new name, if possible that of an entry in use")
{
    struct Case
    {
        const char *name;
        std::vector<edges::FeedEntry<int>> entries;
        std::string after;
    };
    const auto [name, entries, after] = GENERATE(values<Case>({
        {"the last is in use", {{"b", 1, {}}, {"c", 1, {}}}, "c"},
        {"in another order than that of bytes", {{"c", 1, {}}, {"B", 1, {}}}, "B"},
        {"the last can't be read", {{"b", 1, {}}, {"c", std::nullopt, "odd"}}, "b"},
        {"none can be read", {{"b", std::nullopt, "odd"}, {"c", std::nullopt, "odd"}}, "c"},
        {"the last has no name", {{"b", 1, {}}, {"", 1, {}}}, "b"},
        {"the last was on the page before", {{"b", 1, {}}, {"a", 1, {}}}, "b"},
        {"the only one in use was on the page before", {{"b", std::nullopt, "odd"}, {"a", 1, {}}}, "b"},
    }));
    INFO(name);
    daemon::PagedList<int> list;
    list.take({edges::StoreOutcome::Ok, {{"a", 1, {}}}, 7, true, {}, 1}, 1ms);
    CHECK(list.take({edges::StoreOutcome::Ok, entries, 7, true, {}, 1}, 1ms)
          == daemon::PagedList<int>::Progress::Continues);
    CHECK(list.after() == after);
}

TEST_CASE("Pages are joined as their outcomes, eras and names say")
{
    using List = daemon::PagedList<int>;
    using Progress = List::Progress;
    const auto page = [](const std::vector<std::string> &names, std::uint64_t revision, bool hasMore,
                         core::StoreEra era = 1, edges::StoreOutcome outcome = edges::StoreOutcome::Ok) {
        edges::FeedPage<int> made{outcome, {}, revision, hasMore, {}, era};
        for (const std::string &name : names)
            made.entries.push_back({name, 1, {}});
        return made;
    };
    struct Case
    {
        const char *name;
        std::vector<edges::FeedPage<int>> pages;
        std::vector<Progress> progress;
        std::uint64_t revision;
        std::uint64_t latest;
    };
    const auto [name, pages, progress, revision, latest] = GENERATE_COPY(values<Case>({
        {"one page", {page({"a"}, 7, false)}, {Progress::Complete}, 7, 7},
        {"an empty list", {page({}, 7, false)}, {Progress::Complete}, 7, 7},
        {"later pages are newer",
         {page({"a"}, 7, true), page({"b"}, 9, false)},
         {Progress::Continues, Progress::Complete},
         7,
         9},
        {"a later page is older",
         {page({"a"}, 9, true), page({"b"}, 7, false)},
         {Progress::Continues, Progress::Complete},
         7,
         9},
        {"the last page is empty",
         {page({"a"}, 7, true), page({}, 7, false)},
         {Progress::Continues, Progress::Complete},
         7,
         7},
        {"more is said to follow an empty page", {page({}, 7, true)}, {Progress::Broken}, 7, 7},
        {"more is said to follow a name that can't be read", {page({""}, 7, true)}, {Progress::Broken}, 7, 7},
        {"a name that can't be read is the last of a page",
         {page({"a", ""}, 7, true), page({"b"}, 7, false)},
         {Progress::Continues, Progress::Complete},
         7,
         7},
        {"a page comes twice",
         {page({"a"}, 7, true), page({"a"}, 7, true)},
         {Progress::Continues, Progress::Broken},
         7,
         7},
        {"a store that ignores the case of names",
         {page({"a", "B"}, 7, true), page({"C", "D"}, 7, true), page({"e"}, 7, false)},
         {Progress::Continues, Progress::Continues, Progress::Complete},
         7,
         7},
        {"a page goes backwards",
         {page({"a", "b"}, 7, true), page({"c"}, 7, true), page({"b"}, 7, true)},
         {Progress::Continues, Progress::Continues, Progress::Broken},
         7,
         7},
        {"another era",
         {page({"a"}, 7, true), page({"b"}, 3, false, 2)},
         {Progress::Continues, Progress::OtherEra},
         7,
         7},
        {"a refused page",
         {page({"a"}, 7, true), page({}, 0, false, 0, edges::StoreOutcome::Refused)},
         {Progress::Continues, Progress::Broken},
         7,
         7},
    }));
    INFO(name);
    List list;
    list.take(page({"x"}, 1, false, 5), 1ms);
    list.begin();
    for (std::size_t index = 0; index < pages.size(); ++index)
        CHECK(list.take(pages[index], 5ms + std::chrono::milliseconds(index)) == progress[index]);
    CHECK(list.revision() == revision);
    CHECK(list.latest() == latest);
    CHECK(list.completeAt() == core::Time(5ms));
}
