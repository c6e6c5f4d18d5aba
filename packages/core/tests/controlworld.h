#pragma once

#include <grantbook.h>

#include <sardinehinge/core/controlgroup.h>
#include <sardinehinge/core/history.h>

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>

namespace sardinehinge::core::testing {

/// A fault that is injected `at` after the call of inject() and lasts for `length`.
struct Fault
{
    enum class Kind {
        KillDaemon, ///< Restarts with a new incarnation when the fault ends.
        PauseDaemon,
        KillTarget, ///< Restarts with a new incarnation when the fault ends.
        PauseTarget,
        CutPeers, ///< Messages from `subject` to `other` are lost.
        CutTarget, ///< Orders from daemon `subject` to target `other` are lost.
        CutStore, ///< Daemon `subject` can't reach the store.
        StoreDown,
        StoreSlow,
        DropWriteAnswers, ///< Writes are applied, but most of their responses are lost.
        StaleReads, ///< Reads return the version before the latest.
        LoseMessages, ///< Some messages are lost, others are duplicated and reordered.
        DrainTarget,
        IgnoreHeartbeats, ///< Daemon `subject` receives no heartbeats of others, so it becomes a candidate.
    };
    static constexpr int kinds = 14;
    Kind kind = Kind::KillDaemon;
    std::uint32_t subject = 0;
    std::uint32_t other = 0;
    Duration at = 0ms;
    Duration length = 0ms;
};

std::string describe(const Fault &fault);

struct WorldOptions
{
    std::uint32_t daemons = 5;
    std::uint32_t targets = 3;
    std::uint32_t shards = 6;
    bool targetsCheckFences = true;
    double clockDrift = 0.004; ///< Largest deviation of a clock's rate from 1, as a share.
    std::uint64_t seed = 1;
    bool isTraced = false; ///< Print logged events and grant changes to stderr.
};

/// Simulates the control groups of several daemons with their targets and a store in virtual time.
/// A run is deterministic: the same seed and calls give the same result.
class ControlWorld
{
public:
    explicit ControlWorld(WorldOptions options);

    void inject(const Fault &fault);
    /// Shuts the workspace down with a grace period of 3 s.
    void shutDown();
    /// Runs a request of this length at the shard's current holder, which must exist.
    void runRequest(std::uint32_t shard, Duration length);
    void runFor(Duration length);
    /// Runs until `holds` returns true or `limit` has passed. Returns whether it returned true.
    bool runUntil(const std::function<bool()> &holds, Duration limit);
    bool allShardsHeld();
    /// The running daemon that is the controller with authority, if any.
    std::optional<std::uint32_t> controller();
    /// The running target that holds the shard now, if any.
    std::optional<std::uint32_t> holder(std::uint32_t shard);
    /// Longest time between `from` and `to` in which any shard had no holder.
    Duration longestOwnershipGap(Time from, Time to);

    Time now() const noexcept { return m_now; }
    History history() const;
    std::uint64_t storeCalls() const noexcept { return m_storeCalls; }
    std::uint64_t writesOfAssignment() const noexcept { return m_owners.size(); }
    const ControlGroup &group(std::uint32_t daemon) const { return *m_daemons[daemon].group; }
    std::uint32_t targetCount() const noexcept { return m_options.targets; }

private:
    struct StoredVersion
    {
        std::uint64_t revision = 0;
        std::string attempt;
        std::vector<StoredState::Earlier> earlier;
        ControlRecord record;
        Assignment assignment;
    };

    struct Daemon
    {
        DaemonIdentity identity;
        std::unique_ptr<ControlGroup> group;
        bool isAlive = true;
        bool isPaused = false;
        double rate = 1;
        std::vector<std::function<void()>> deferredEvents; ///< Events that arrived during a pause.
    };

    struct Target
    {
        std::unique_ptr<standins::GrantBook> grants;
        std::uint64_t incarnation = 0;
        std::uint64_t startCount = 0;
        bool isAlive = true;
        bool isPaused = false;
        double rate = 1;
        std::vector<std::function<void()>> deferredEvents;
    };

    struct Write
    {
        std::uint32_t daemon = 0;
        std::uint64_t incarnation = 0;
        bool isRecord = false;
        ControlRecord record;
        Assignment assignment;
        ConditionalWrite logic;
    };

    struct Scheduled
    {
        Time at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator>(const Scheduled &other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    void schedule(Duration delay, std::function<void()> action);
    Duration delay(int leastUs, int mostUs);
    bool chance(double probability);
    void startDaemon(std::uint32_t index);
    void startTarget(std::uint32_t index);
    Time daemonClock(const Daemon &daemon) const;
    std::int64_t targetClock(const Target &target) const;
    Time trueTime(const Target &target, std::int64_t clock) const;
    void deliver(std::uint32_t daemon, std::uint64_t incarnation, ControlEvent event);
    void act(std::uint32_t daemon, const ControlEffect &effect);
    void sendPeer(std::uint32_t from, const SendPeer &send);
    void sendOrder(std::uint32_t from, const OrderTarget &order);
    void read(std::uint32_t daemon, bool isRecord);
    void write(std::uint32_t daemon, bool isRecord, const ControlRecord &record, const Assignment &assignment,
               std::uint64_t expected);
    void proceed(const std::shared_ptr<Write> &write);
    void applyWrite(const std::shared_ptr<Write> &write);
    bool reachesStore(std::uint32_t daemon) const;
    void gossipLatest(bool isRecord);
    void tick(std::uint32_t daemon, std::uint64_t incarnation);
    void publishList();
    ServiceChanged serviceChanged(bool shuttingDown) const;
    InstanceView view() const;
    void begin(const Fault &fault);
    void end(const Fault &fault);
    void onHold(std::uint32_t target, const standins::HoldChange &change);
    void resume(std::vector<std::function<void()>> &deferredEvents);

    WorldOptions m_options;
    std::mt19937_64 m_random;
    Time m_now = 1000s;
    std::uint64_t m_order = 0;
    std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>> m_queue;
    std::vector<Daemon> m_daemons;
    std::vector<Target> m_targets;
    std::vector<StoredVersion> m_records;
    std::vector<StoredVersion> m_assignments;
    std::uint64_t m_revision = 0;
    std::uint64_t m_attempts = 0;
    std::uint64_t m_storeCalls = 0;
    std::uint64_t m_listVersion = 1;
    std::set<std::uint32_t> m_unlisted;
    int m_storeDown = 0;
    int m_storeSlow = 0;
    int m_dropAnswers = 0;
    int m_staleReads = 0;
    int m_loseMessages = 0;
    std::multiset<std::pair<std::uint32_t, std::uint32_t>> m_cutPeers;
    std::multiset<std::pair<std::uint32_t, std::uint32_t>> m_cutTargets;
    std::multiset<std::uint32_t> m_cutStores;
    std::multiset<std::uint32_t> m_ignoringHeartbeats;
    std::multiset<std::string> m_drained;
    std::vector<OwnerRecord> m_owners;
    std::vector<HoldRecord> m_holds; ///< Ended holds, in true time.
    std::map<std::pair<std::uint32_t, std::uint32_t>, HoldRecord> m_openHolds; ///< By target and shard.
};

} // namespace sardinehinge::core::testing
