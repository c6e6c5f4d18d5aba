#pragma once

#include <sardinehinge/core/rangecontrol.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sardinehinge::core::tests {

constexpr std::uint32_t sampleStride = 1024; ///< Between the keys whose service is watched.

/// Kinds of faults that a simulation injects at random.
struct RangeFaults
{
    bool controllers = false; ///< Daemons are killed, frozen and cut off from peers.
    bool store = false; ///< The store is down, unreachable for a daemon, or loses and delays responses.
    bool targets = false; ///< Targets crash, stop responding, drain, restart under their id and register anew.
    bool orders = false; ///< Orders get no response; some take effect late.
    bool network = false; ///< Datagrams are lost.
    bool rebirths = false; ///< Other processes start at the targets' addresses, under the same or another id.
    bool links = false; ///< Links between daemons and targets are cut; orders sent meanwhile arrive after the cut.
    bool restores = false; ///< The store returns from an older copy.
};

/// Simulates daemons, a store and targets in virtual time, with random faults from a seed. Checks at every step that no
/// two running targets hold the same key, that each new holder of a key has a higher fence than the one before, and
/// that no process takes a key under a fence that another process has had it with.
class RangeWorld
{
public:
    RangeWorld(std::uint64_t seed, RangeFaults faults, std::size_t daemons = 5, std::size_t targets = 6,
               OwnershipTiming timing = {});

    /// Runs for `length` of virtual time, with random faults unless `isCalm`.
    void run(Duration length, bool isCalm = false);
    /// Ends all faults: restarts what is down and reconnects what is cut off.
    void heal();

    const std::vector<std::string> &violations() const noexcept { return m_violations; }
    /// The latest events of the simulation, one per line.
    std::string trace() const;
    /// Share of the sampled keys that are held by the owner that the controller's latest known announcement names.
    double servedShare() const;
    /// Returns the longest time that any sampled key was without a holder, and resets it.
    Duration takeLongestGap();
    std::size_t controllers() const;

    void killDaemon(std::size_t index);
    /// Ends the daemon for good.
    void loseDaemon(std::size_t index);
    void freezeDaemon(std::size_t index, Duration length);
    void cutStore(std::size_t index, bool isCut) { m_daemons[index].isCutFromStore = isCut; }
    void cutPeers(std::size_t index, bool isCut) { m_daemons[index].isCutFromPeers = isCut; }
    void setStoreDown(bool isDown) { m_isStoreDown = isDown; }
    /// Takes the store away for `away`. It returns from the copy of `age` before now, in a new era.
    void restoreStore(Duration age, Duration away);
    void crashTarget(const std::string &id, bool isSilent);
    void drainTarget(const std::string &id);
    /// Ends the target's process. Another one starts at once at its address; the registry lists it after `listedAfter`.
    void rebearTarget(const std::string &id, bool keepsId, Duration listedAfter);
    /// Holds up orders of the daemon to the target until `length` is over.
    void cutLink(std::size_t daemon, const std::string &target, Duration length);
    /// Delays the target's responses to orders by `delay`; the orders still take effect on arrival.
    void delayResponses(const std::string &id, Duration delay) { m_targets.at(id).responseDelay = delay; }
    /// Reports request counts by key to the controller.
    void reportLoad(const std::map<std::uint32_t, std::uint32_t> &requests);
    void addTarget(const std::string &id);
    std::size_t controllerIndex() const;
    /// The recorded voters other than the controller.
    std::vector<std::size_t> otherVoters() const;
    std::vector<std::string> holders() const;
    Time now() const noexcept { return m_now; }
    /// The controller's term.
    std::uint64_t term() const { return m_daemons[controllerIndex()].control->term(); }
    /// Makes the target accept a grant that no controller sent, to test the checker.
    void forceGrant(const std::string &id, const KeyRange &range, std::uint64_t fence);
    /// Makes the target hold the range without an order, to test the checker.
    void forceHold(const std::string &id, const KeyRange &range);

private:
    struct Hold
    {
        KeyRange range;
        std::uint64_t fence = 0;
        Time until = 0ms;
    };

    struct Target
    {
        RegisteredTarget entry;
        RegisteredTarget listed; ///< As the registry has it.
        Time listedFrom = 0ms; ///< The registry has the present entry from then on.
        bool isReplaced = false; ///< A process with another id runs at its address.
        bool isUp = true;
        bool isSilent = false; ///< Running, but receives no orders.
        bool isRegistered = true;
        Duration responseDelay = 0ms;
        double clockRate = 1; ///< Rate of its lease clock; below 1: slow.
        std::vector<Hold> holds;
        std::map<std::uint32_t, std::uint64_t> highestFences; ///< Highest fence received, by sampled key.
        Time backAt = 0ms;
    };

    struct Daemon
    {
        DaemonIdentity identity;
        std::unique_ptr<RangeControl> control;
        Time frozenUntil = 0ms;
        Time deadUntil = 0ms;
        bool isCutFromStore = false;
        bool isCutFromPeers = false;
        std::deque<ControlEvent> inbox; ///< Events received while frozen.
        RangeOwners owners;
    };

    struct Event
    {
        Time at = 0ms;
        std::function<void()> action;
    };

    /// The stored record at a time.
    struct StoreCopy
    {
        Time at = 0ms;
        std::optional<OwnershipRecord> record;
        std::uint64_t recordRevision = 0;
        std::uint64_t revision = 0;
    };

    void schedule(Duration delay, std::function<void()> action);
    bool isStoreReachable(std::size_t daemon) const
    {
        return !m_isStoreDown && m_restoresUnderWay == 0 && !m_daemons[daemon].isCutFromStore;
    }
    void keepCopy() { m_copies.push_back({m_now, m_record, m_recordRevision, m_revision}); }
    void publishEra(std::size_t daemon);
    void deliver(std::size_t daemon, std::uint64_t incarnation, const ControlEvent &event);
    void executeAll(std::size_t daemon, const RangeControl::Effects &effects);
    void execute(std::size_t daemon, const ReadOwnership &);
    void execute(std::size_t daemon, const WriteOwnership &effect);
    void execute(std::size_t daemon, const RangeOrder &effect);
    void execute(std::size_t daemon, const ConnectTarget &effect);
    /// Whether the daemon's process has a connection to the process that runs at the address.
    bool isConnected(std::size_t daemon, const Target &target) const;
    void execute(std::size_t daemon, const AnnounceOwners &effect);
    void execute(std::size_t daemon, const SendHeartbeat &effect);
    void execute(std::size_t daemon, const SendHeartbeatAck &effect);
    void execute(std::size_t daemon, const SendResignation &effect);
    void execute(std::size_t daemon, const ControlLogEntry &effect);
    void addTrace(const std::string &text);
    void sendTo(std::size_t from, const std::string &to, const ControlEvent &event);
    ControlEvent applyWrite(const WriteOwnership &write, Time requestedAt);
    bool applyOrder(Target &target, const RangeOrder &order, Time arrivedAt);
    /// Checks that no other process has had the keys under the grant's fence or a higher one.
    void checkFence(const Target &target, const RangeOrder &grant);
    /// The process that runs at the address, or nullptr.
    Target *targetAt(const std::string &address);
    /// When an order that is sent now arrives, or nothing if it is withdrawn before.
    std::optional<Duration> arrivalDelay(std::size_t daemon, const Target &target, Duration arrivalTimeout);
    void startDaemon(std::size_t index);
    void publishTargets();
    void publishPeers();
    void drawFault();
    void restore(const std::string &id);
    void check();
    bool chance(double probability);
    Duration randomDelay(std::int64_t minMs, std::int64_t maxMs);

    std::mt19937_64 m_random;
    RangeFaults m_faults;
    OwnershipTiming m_timing;
    Time m_now = 0ms;
    std::vector<Event> m_queue;
    std::vector<Daemon> m_daemons;
    std::map<std::string, Target> m_targets;
    bool m_isStoreDown = false;
    Time m_storeDownUntil = 0ms;
    int m_restoresUnderWay = 0;
    StoreEra m_era = 1;
    std::optional<OwnershipRecord> m_record;
    std::uint64_t m_recordRevision = 0; ///< Of the record's last change.
    std::uint64_t m_revision = 100;
    std::vector<StoreCopy> m_copies; ///< After each change, in order.
    bool m_hasStarted = false; ///< Daemons that start now aren't the deployment's first.
    std::uint64_t m_nextIncarnation = 1;
    /// Processes at the far ends of open connections, by daemon and address.
    std::map<std::pair<DaemonIdentity, std::string>, TargetIdentity> m_connections;
    std::map<std::pair<std::size_t, std::string>, Time> m_linkCutUntil; ///< By daemon and target's address.
    std::map<std::uint32_t, std::map<TargetIdentity, std::uint64_t>> m_fences; ///< Highest by key and process.
    std::map<std::uint32_t, std::uint64_t> m_lastFence; ///< Highest fence of a holder, by sampled key.
    std::map<std::uint32_t, std::string> m_lastHolder;
    std::map<std::uint32_t, Time> m_heldAt;
    Duration m_longestGap = 0ms;
    std::vector<std::string> m_violations;
    std::deque<std::string> m_trace;
};

} // namespace sardinehinge::core::tests
