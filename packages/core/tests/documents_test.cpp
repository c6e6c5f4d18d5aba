#include <sardinehinge/core/documents.h>

#include <catch2/catch.hpp>

#include <iostream>
#include <queue>

using namespace sardinehinge::core;

namespace {

/// Simulates daemons that replicate documents over a lossy network in virtual time.
class DocumentFleet
{
public:
    DocumentFleet(std::size_t count, double loss, std::uint64_t seed)
        : m_loss(loss)
        , m_random(seed)
    {
        InstanceView view{1, {}};
        for (std::size_t index = 0; index < count; ++index)
            view.instances.push_back({name(index), InstanceKind::Daemon, name(index), "viborg", {}, false});
        for (std::size_t index = 0; index < count; ++index) {
            m_daemons.emplace_back(name(index), seed + index);
            applyEffects(index, m_daemons[index].handle(DocumentPeersChanged{view}, m_now));
        }
    }

    static std::string name(std::size_t index) { return "daemon-" + std::to_string(index); }

    /// Stops a daemon: it neither receives nor sends, but stays in the instance list.
    void kill(std::size_t daemon) { m_dead.insert(daemon); }

    void readFromStore(std::size_t daemon, const Document &document)
    {
        applyEffects(daemon, m_daemons[daemon].handle(DocumentFromStore{document}, m_now));
    }

    void runFor(Duration length, bool isStoreUp = true)
    {
        for (const Time end = m_now + length; m_now < end; m_now += 5ms) {
            while (!m_queue.empty() && m_queue.top().at <= m_now) {
                const Message next = m_queue.top();
                m_queue.pop();
                if (!m_dead.contains(next.to))
                    applyEffects(next.to,
                                 m_daemons[next.to].handle(DaemonIdentity{name(next.from), 1}, next.message, m_now));
            }
            for (std::size_t index = 0; index < m_daemons.size(); ++index) {
                if (m_dead.contains(index))
                    continue;
                if (isStoreUp && m_daemons[index].isWatching() && m_now / 5ms % 80 == 0)
                    applyEffects(index, m_daemons[index].handle(StoreResponded{}, m_now));
                applyEffects(index, m_daemons[index].handle(DocumentTick{}, m_now));
            }
        }
    }

    std::size_t countAt(const std::string &document, std::uint64_t revision) const
    {
        return static_cast<std::size_t>(
            std::count_if(m_daemons.begin(), m_daemons.end(), [&](const DocumentReplicator &daemon) {
                const Document *held = daemon.find(document);
                return held != nullptr && held->revision == revision;
            }));
    }

    std::size_t watchers() const
    {
        return static_cast<std::size_t>(std::count_if(
            m_daemons.begin(), m_daemons.end(), [](const DocumentReplicator &daemon) { return daemon.isWatching(); }));
    }

    bool hasRegressed() const noexcept { return m_hasRegressed; }
    std::uint64_t bytesSent() const noexcept { return m_bytes; }

private:
    struct Message
    {
        Time at;
        std::uint64_t order;
        std::size_t from;
        std::size_t to;
        PeerMessage message;
        bool operator<(const Message &other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    void applyEffects(std::size_t daemon, const DocumentReplicator::Effects &effects)
    {
        for (const DocumentEffect &effect : effects) {
            if (const auto *updated = std::get_if<DocumentUpdated>(&effect)) {
                auto &seen = m_revisionsSeen[{daemon, updated->document.name}];
                m_hasRegressed = m_hasRegressed || updated->document.revision <= seen;
                seen = updated->document.revision;
            }
            const auto *send = std::get_if<SendDocumentMessage>(&effect);
            if (send == nullptr)
                continue;
            if (const auto *piece = std::get_if<Piece>(&send->message))
                m_bytes += piece->bytes.size();
            if (std::uniform_real_distribution<double>(0, 1)(m_random) < m_loss)
                continue;
            const auto delay = std::chrono::microseconds(200 + m_random() % 4000);
            const std::size_t to = std::stoul(send->to.substr(7));
            m_queue.push({m_now + delay, m_order++, daemon, to, send->message});
        }
    }

    double m_loss;
    std::mt19937_64 m_random;
    Time m_now = 1000s;
    std::uint64_t m_order = 0;
    std::vector<DocumentReplicator> m_daemons;
    std::priority_queue<Message> m_queue;
    std::map<std::pair<std::size_t, std::string>, std::uint64_t> m_revisionsSeen;
    std::set<std::size_t> m_dead;
    bool m_hasRegressed = false;
    std::uint64_t m_bytes = 0;
};

} // namespace

TEST_CASE("A new version reaches every daemon within 1 s, and within 8 s at 30 % message loss")
{
    struct Case
    {
        std::size_t daemons;
        double loss;
        Duration limit;
    };
    const auto each
        = GENERATE(values<Case>({{2, 0, 1s}, {11, 0, 1s}, {99, 0, 1s}, {500, 0, 1s}, {11, 0.3, 6s}, {99, 0.3, 8s}}));
    DocumentFleet fleet(each.daemons, each.loss, 7);
    fleet.runFor(1s);
    fleet.readFromStore(0, {"workspaces/w", 5, std::string(9000, 'x')});
    fleet.runFor(each.limit);
    CHECK(fleet.countAt("workspaces/w", 5) == each.daemons);
}

TEST_CASE("A new version reaches all other daemons within 50 ms when any one daemon is down")
{
    const std::size_t deadDaemon = GENERATE(range<std::size_t>(1, 11));
    DocumentFleet fleet(11, 0, 7);
    fleet.runFor(1s);
    fleet.kill(deadDaemon);
    fleet.readFromStore(0, {"assignments/w/s", 5, std::string(3000, 'x')});
    fleet.runFor(50ms);
    CHECK(fleet.countAt("assignments/w/s", 5) == 10);
}

TEST_CASE("A stale read doesn't replace a newer version")
{
    DocumentFleet fleet(11, 0.1, 3);
    fleet.readFromStore(0, {"workspaces/w", 5, "new"});
    fleet.runFor(3s);
    fleet.readFromStore(4, {"workspaces/w", 4, "old"});
    fleet.runFor(3s);
    CHECK(fleet.countAt("workspaces/w", 5) == 11);
    CHECK(!fleet.hasRegressed());
}

TEST_CASE("The number of daemons that watch the store is independent of the fleet size")
{
    const auto count = GENERATE(3U, 11U, 33U, 99U, 300U);
    DocumentFleet fleet(count, 0, 5);
    fleet.runFor(5s);
    CHECK(fleet.watchers() == 3);
    // During a store outage more daemons watch it, up to maxWatchers.
    fleet.runFor(60s, false);
    CHECK(fleet.watchers() <= 12);
    fleet.runFor(10s);
    CHECK(fleet.watchers() == 3);
}
