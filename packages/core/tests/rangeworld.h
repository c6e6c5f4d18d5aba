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

/// Which faults a world draws from.
struct RangeFaults
{
    bool controllers = false; ///< Daemons are killed, frozen and cut off from peers.
    bool store = false; ///< The store is down, turns daemons away, or loses and delays answers.
    bool targets = false; ///< Targets crash, restart under their id, fall silent, drain and join.
    bool orders = false; ///< Orders get no answer and take effect late.
    bool network = false; ///< Datagrams are lost.
};

/// Daemons, a store and targets in virtual time, with faults drawn from a seed. Checks all the while that no key is
/// held by two targets that are up, and that fences rise from holder to holder.
class RangeWorld
{
public:
    RangeWorld(std::uint64_t seed, RangeFaults faults, std::size_t daemons = 5, std::size_t targets = 6);

    /// Runs for `length`, with faults drawn unless `isCalm`.
    void run(Duration length, bool isCalm = false);
    /// Ends all faults: what is down comes back, what is cut is joined.
    void heal();

    const std::vector<std::string> &violations() const noexcept { return m_violations; }
    /// What happened last, a line each.
    std::string story() const;
    /// Share of sampled keys that a target holds and that the newest announcement sends there.
    double servedShare() const;
    /// Longest time that any sampled key was without a holder since the last call.
    Duration takeLongestGap();
    std::size_t controllers() const;

    void killDaemon(std::size_t index);
    void freezeDaemon(std::size_t index, Duration length);
    void cutStore(std::size_t index, bool isCut) { m_daemons[index].isCutFromStore = isCut; }
    void setStoreDown(bool isDown) { m_isStoreDown = isDown; }
    void crashTarget(const std::string &id, bool isSilent);
    void drainTarget(const std::string &id);
    /// The target answers orders only after `delay`; they take effect as they arrive.
    void slowAnswers(const std::string &id, Duration delay) { m_targets.at(id).answerDelay = delay; }
    /// Requests by key, as the daemons report them to the controller.
    void reportLoad(const std::map<std::uint32_t, std::uint32_t> &requests);
    void addTarget(const std::string &id);
    std::size_t controllerIndex() const;
    std::vector<std::string> holders() const;
    Time now() const noexcept { return m_now; }
    /// A planted fault for the checker: the target takes the range from nobody's order.
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
        bool isUp = true;
        bool isSilent = false; ///< Up, but nothing reaches it.
        bool isRegistered = true;
        Duration answerDelay = 0ms;
        double clockRate = 1; ///< Of its lease clock; below 1 it is slow.
        std::vector<Hold> holds;
        std::map<std::uint32_t, std::uint64_t> highest; ///< Highest fence seen, by sampled key.
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
        std::deque<ControlEvent> inbox; ///< Of a frozen daemon.
        RangeOwners owners;
    };

    struct Event
    {
        Time at = 0ms;
        std::function<void()> action;
    };

    void at(Duration delay, std::function<void()> action);
    void deliver(std::size_t daemon, std::uint64_t incarnation, const ControlEvent &event);
    void carryOut(std::size_t daemon, const RangeControl::Effects &effects);
    void act(std::size_t daemon, const ReadOwnership &);
    void act(std::size_t daemon, const WriteOwnership &effect);
    void act(std::size_t daemon, const RangeOrder &effect);
    void act(std::size_t daemon, const AnnounceOwners &effect);
    void act(std::size_t daemon, const SendHeartbeat &effect);
    void act(std::size_t daemon, const SendHeartbeatAck &effect);
    void act(std::size_t daemon, const SendResignation &effect);
    void act(std::size_t daemon, const ControlLogEntry &effect);
    void note(const std::string &text);
    void sendTo(std::size_t from, const std::string &to, const ControlEvent &event);
    ControlEvent applyWrite(const WriteOwnership &write, Time asked);
    bool applyOrder(Target &target, const RangeOrder &order, Time arrived);
    void startDaemon(std::size_t index);
    void publishTargets();
    void publishPeers();
    void drawFault();
    void restore(const std::string &id);
    void check();
    bool chance(double probability);
    Duration delay(std::int64_t leastMs, std::int64_t mostMs);

    std::mt19937_64 m_random;
    RangeFaults m_faults;
    Time m_now = 0ms;
    std::vector<Event> m_queue;
    std::vector<Daemon> m_daemons;
    std::map<std::string, Target> m_targets;
    bool m_isStoreDown = false;
    Time m_storeDownUntil = 0ms;
    std::optional<OwnershipRecord> m_record;
    std::uint64_t m_revision = 100;
    std::uint64_t m_nextBorn = 1;
    std::map<std::uint32_t, std::uint64_t> m_lastFence; ///< By sampled key: of the last holder.
    std::map<std::uint32_t, std::string> m_lastHolder;
    std::map<std::uint32_t, Time> m_heldAt;
    Duration m_longestGap = 0ms;
    std::vector<std::string> m_violations;
    std::deque<std::string> m_story;
};

} // namespace sardinehinge::core::tests
