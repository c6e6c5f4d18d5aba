#pragma once

#include <sardinehinge/core/keyrange.h>
#include <sardinehinge/core/rangeplanner.h>
#include <sardinehinge/core/target.h>
#include <sardinehinge/core/targetspeeds.h>

#include <optional>
#include <set>
#include <variant>

/// Ownership of the keys of a sharded service, for targets that start a lease when its grant arrives and reject fencing
/// tokens lower than the highest they have seen.
namespace sardinehinge::core {

/// Intervals, timeouts and limits of the ownership protocol. docs/DESIGN.md derives them.
struct OwnershipTiming
{
    /// The lease grows with the number of targets, which limits a controller to about 80 grants per second.
    Duration leasePerTarget = std::chrono::milliseconds(48);
    Duration minLease = std::chrono::milliseconds(2000); ///< Twice the time that a change of the controller needs.
    Duration maxLease = std::chrono::milliseconds(8000); ///< Below the 10 s that targets accept at most.
    double clockDriftFactor = 1.025; ///< A target's clock may run 2% slow and this daemon's 0.5%.
    std::int64_t renewalsPerLease = 4; ///< A lease survives three lost renewals in a row.
    Duration orderTimeout = std::chrono::milliseconds(600); ///< Covers the response time of targets with long queues.
    Duration hedgedOrderDelay = std::chrono::milliseconds(250); ///< A grant without a response is sent again after it.
    /// A target that hasn't responded for this long gets no more orders.
    Duration unresponsiveTimeout = std::chrono::milliseconds(1200);
    Duration releaseTimeout = std::chrono::milliseconds(4000); ///< A target finishes its running requests first.
    /// A controller gives grants for this long after the store or a majority of the voters confirmed it: seven
    /// heartbeats.
    Duration authorityDuration = std::chrono::milliseconds(1500);
    /// A controller steps down when the store hasn't confirmed it for this long: twice the longest store outage that
    /// the users list.
    Duration maxAuthorityWithoutStore = std::chrono::seconds(20);
    std::size_t voterCount = 7; ///< Three may fail during a store outage.
    Duration minVoterChangeInterval = std::chrono::seconds(2);
    Duration silentVoterTimeout
        = std::chrono::seconds(5); ///< A voter without an acknowledgement for this long is replaced.
    std::size_t maxAcknowledgers = 12; ///< Daemons that acknowledge heartbeats: voters and candidates for voters.
    Duration storeConfirmationInterval = std::chrono::milliseconds(1000);
    /// Between two confirmations for the sake of connections that were opened meanwhile.
    Duration linkConfirmationInterval = std::chrono::milliseconds(200);
    /// Without the store's confirmation for this long, the voters' suffices for a new connection. Longer than a read
    /// from the slowest store that the users list.
    Duration linkVoterDelay = std::chrono::milliseconds(500);
    Duration heartbeatInterval = std::chrono::milliseconds(200);
    Duration controllerTimeout = std::chrono::milliseconds(700); ///< Three lost heartbeats and some delay.
    Duration claimDelayPerRank = std::chrono::milliseconds(120); ///< Longer than a store write: claims rarely collide.
    /// A controller without contact to the store for this long should be replaced by a daemon that has it.
    Duration storeContactTimeout = std::chrono::milliseconds(2500);
    Duration storeRetryInterval = std::chrono::milliseconds(400);
    /// A write without a response for this long is read back. The slowest responses that the users list take 240 ms.
    Duration storeWriteTimeout = std::chrono::milliseconds(2500);
    Duration lostTargetCooldown = std::chrono::seconds(3); ///< A lost target gets no new ranges for this long.
    /// The first assignment waits until no target has joined for this long: at a first start they register one by one.
    Duration initialAssignmentDelay = std::chrono::milliseconds(1000);
    Duration planInterval = std::chrono::milliseconds(500);
    /// Time between two announcements, for each peer. At about 250 bytes each they use a fifth of a link of 10 Mbit/s.
    Duration announcementIntervalPerPeer = std::chrono::milliseconds(1);
    /// Fences of one term, one for each order. A controller that has used them up steps down, so that a new term
    /// starts.
    std::uint64_t fencesPerTerm = 1'000'000;
    /// Terms of one era of the store. Those of a later era are higher, whatever the store has lost.
    std::uint64_t termsPerEra = 100'000;
    /// A controller that is heard from, but hasn't reached the store for this long, no longer keeps others from
    /// claiming control without knowing the owners: half of maxAuthorityWithoutStore.
    Duration outdatedClaimDelay = std::chrono::seconds(10);
    double loadDecayFactor = 0.75; ///< Share of the key load that is kept from one planning period to the next.
    double rateLimitShare = 0.8; ///< Of a target's rate limit that is planned for: the rate of requests varies.

    bool operator==(const OwnershipTiming &) const = default;
};

// Events.

struct ControlTick
{
};

/// Response to ReadOwnership. `record` is empty while the store has none.
struct OwnershipRead
{
    std::optional<OwnershipRecord> record;
    std::uint64_t revision = 0;
    Time requestedAt = 0ms; ///< When the call was sent. The store was read at some later moment.
    StoreEra era = 0; ///< Of the store when it answered.
};

/// A read or a write failed or got no response. A write may still take effect.
struct OwnershipCallFailed
{
    bool wasWrite = false;
};

struct OwnershipWritten
{
    std::uint64_t revision = 0;
    Time requestedAt = 0ms; ///< When the call was sent.
    StoreEra era = 0; ///< Of the store when it answered.
    std::uint64_t write = 0; ///< WriteOwnership::write.
};

/// A conditional write failed because the revision has changed. Carries the current record.
struct OwnershipConflict
{
    OwnershipRecord record;
    std::uint64_t revision = 0;
    StoreEra era = 0; ///< Of the store when it answered.
    std::uint64_t write = 0; ///< WriteOwnership::write.
};

/// Heartbeat of a service's controller, sent to all daemons.
struct ControllerHeartbeat
{
    std::string service;
    std::string from;
    std::uint64_t term = 0;
    std::uint64_t sequence = 0; ///< Of the controller's latest announcement.
    Duration storeAge = 0ms; ///< Time since the store last confirmed the controller.
    bool isLeaving = false; ///< The controller is shutting down. It stays in control until another daemon takes over.
    Time sentAt = 0ms; ///< By the sender's clock.
    bool wantsAck = false;
    StoreEra era = 0; ///< The latest that the sender knows.

    bool operator==(const ControllerHeartbeat &) const = default;
};

/// Acknowledges a heartbeat: the sender follows this controller.
struct ControllerHeartbeatAck
{
    std::string service;
    DaemonIdentity from;
    std::uint64_t term = 0; ///< Highest known to the sender.
    Time sentAt = 0ms; ///< Of the heartbeat, by the controller's clock.
    StoreEra era = 0; ///< The latest that the sender knows.

    bool operator==(const ControllerHeartbeatAck &) const = default;
};

/// Tells the current controller that the controller of an earlier term has stopped giving grants.
struct ControllerResigned
{
    std::string service;
    std::string from;
    std::uint64_t term = 0; ///< The term that has ended.

    bool operator==(const ControllerResigned &) const = default;
};

struct ControlTargets
{
    std::vector<RegisteredTarget> targets; ///< All of the service.
};

struct ControlPeers
{
    std::vector<PeerDaemon> peers; ///< Without this daemon.
    std::uint32_t ownLinkMbps = 0; ///< Bandwidth of this daemon's link; 0: not known.
};

/// Result of an order.
enum class OrderEndKind {
    Accepted,
    HigherFence, ///< Rejected: the target has seen a higher fence.
    Unanswered, ///< No usable response. The order may take effect later.
    Unreachable, ///< No connection. The order wasn't delivered.
    NotConnected, ///< No connection was open, and the order may not open one. It wasn't sent.
};

/// Result of ConnectTarget.
struct TargetConnected
{
    std::string address;
    bool isOpen = false;
};

struct OrderEnded
{
    std::uint64_t order = 0;
    OrderEndKind end = OrderEndKind::Unanswered;
    std::string handover; ///< Handover token, from an accepted release.
    std::optional<double> rateLimit
        = std::nullopt; ///< Requests a second that the target accepts; of an answered order.
};

/// Load measured by one daemon.
struct KeyLoadReport
{
    std::map<std::uint32_t, std::uint32_t> requests; ///< Number of requests by key since the daemon's last report.
    /// Mean latency by target, as a multiple of an average target's. Only targets with enough requests since the last
    /// report that contained them.
    std::map<std::string, double> slowness;
};

/// A target rejected a request because it doesn't hold the key.
struct KeyRefused
{
    std::string target;
    std::uint32_t key = 0;
};

/// The store's era became known, from one of its answers or from another daemon.
struct StoreEraSeen
{
    StoreEra era = 0;
};

/// The process shuts down.
struct ControlStop
{
};

using ControlEvent
    = std::variant<ControlTick, OwnershipRead, OwnershipCallFailed, OwnershipWritten, OwnershipConflict,
                   ControllerHeartbeat, ControllerHeartbeatAck, ControllerResigned, ControlTargets, ControlPeers,
                   OrderEnded, TargetConnected, KeyLoadReport, KeyRefused, StoreEraSeen, ControlStop>;

// Effects.

/// Reads the ownership record from the store.
struct ReadOwnership
{
};

/// Writes the record if its revision in the store is still `expectedRevision`. 0 creates the record.
struct WriteOwnership
{
    OwnershipRecord record;
    std::uint64_t expectedRevision = 0;
    std::uint64_t write = 0; ///< Differs between the writes of a daemon. The response repeats it.
};

/// Opens one more connection to a target, for later grants. The adapter reports the result with one TargetConnected.
struct ConnectTarget
{
    std::string address;
};

/// Orders a target to accept or to release a range. The adapter reports the result with exactly one OrderEnded. Grants
/// go out on connections that are open already, releases on new ones.
struct RangeOrder
{
    std::uint64_t order = 0;
    bool isRelease = false;
    std::string target;
    std::string address;
    KeyRange range;
    std::uint64_t fence = 0;
    Duration lease = 0ms; ///< Of a grant.
    Duration timeout = 0ms; ///< For the target's response.
    Duration arrivalTimeout = 0ms; ///< The adapter withdraws an order that hasn't arrived at the target by then.
    std::string handover; ///< Handover token of the previous owner, for a grant.
};

/// Announces the owners to all daemons, including this one.
struct AnnounceOwners
{
    RangeOwners owners;
};

/// Sends a heartbeat to all daemons. Only those listed in `acknowledgers` acknowledge it.
struct SendHeartbeat
{
    ControllerHeartbeat heartbeat;
    std::set<std::string> acknowledgers;
};

struct SendHeartbeatAck
{
    std::string to;
    ControllerHeartbeatAck ack;
};

struct SendResignation
{
    std::string to;
    ControllerResigned message;
};

/// A state change, for the event log.
struct ControlLogEntry
{
    std::uint32_t event = 0;
    std::string detail;
};

using ControlEffect = std::variant<ReadOwnership, WriteOwnership, ConnectTarget, RangeOrder, AnnounceOwners,
                                   SendHeartbeat, SendHeartbeatAck, SendResignation, ControlLogEntry>;

/// Work of a controller in some time, for the log.
struct ControlWork
{
    std::size_t ranges = 0; ///< Now.
    std::size_t grants = 0; ///< Sent.
    Duration latestRenewal = 0ms; ///< The longest time by which one was sent after it was due.
    std::size_t rangeChecks = 0; ///< Ranges that were gone into, for orders that are due or changed targets.

    bool operator==(const ControlWork &) const = default;
};

/// Assigns the key ranges of one sharded service to targets. Each daemon runs one instance per service.
///
/// A deterministic state machine without I/O: the caller passes in events and executes the returned effects.
///
/// At most one daemon, the controller, changes owners. The store's record names the controller and all owners, and
/// every change is a conditional write of that record. These rules keep each key with at most one owner:
/// - A new owner is recorded before it is granted the range, so that a later controller knows of every grant.
/// - Fences rise with the term, so a target that has accepted a controller's grant rejects those of earlier ones.
/// - No two orders have the same fence. A renewal that reaches another process at the owner's address is therefore a
///   grant under a higher fence, never a repetition of the owner's.
/// - A range is taken from a target only after the target confirmed a release, after the longest lease that any
///   controller may have given it has expired, or when the registry lists a later incarnation of the target.
/// - A grant goes out on a connection that was open when the controller was last confirmed. So it reaches no process
/// that
///   has started at the target's address since and doesn't know the fences that a later controller sent to the former
///   one. While the store is away the voters confirm a controller, which leaves a gap: see docs/PLATFORM.md.
/// - A controller that was paused for long enough to be replaced reads the store before it sends any order.
/// - A controller gives grants only for a short time after the store, or a majority of the recorded voters, confirmed
///   it. Voters that know a later term don't confirm it, so a later controller learns from a majority of them when it
///   has stopped.
///
/// The store may return from an older copy, in a new era. A record of an earlier era may lack owners and controllers,
/// so these rules are added:
/// - A new controller changes no owners until the earlier ones are known to have stopped. A majority of the voters then
///   knows its term. A controller that a majority of its voters still follows in the new era therefore knows all
///   owners: it writes its own record again, in a new term.
/// - Any other daemon that claims control by an outdated record counts all owners as unknown. It grants nothing until
///   the longest lease that an unknown controller may have granted has expired.
/// - A write that the store answers in another era than its record's counts as failed, since revisions recur.
class RangeControl
{
public:
    using Effects = std::vector<ControlEffect>;

    /// `isFirstStart`: no daemon has run before, so a store without a record has never had one.
    RangeControl(std::string service, DaemonIdentity self, Time now, OwnershipTiming timing = {},
                 bool isFirstStart = true);

    /// Processes an event and returns the effects to start, in the order of the list. None waits for the completion of
    /// an earlier one. `now` is read from a monotonic clock that also counts while the host is suspended; handle()
    /// doesn't check this.
    Effects handle(const ControlEvent &event, Time now);

    bool isController() const noexcept { return m_role == Role::Controller; }
    /// Whether a ControlStop arrived and this daemon is no longer the controller.
    bool isStopped() const noexcept { return m_isStopping && m_role != Role::Controller; }
    /// The highest term known.
    std::uint64_t term() const noexcept { return m_term; }
    /// The owners as last announced by this daemon.
    RangeOwners owners() const;
    /// What has been done since the last call.
    ControlWork takeWork() noexcept;

private:
    enum class Role { Follower, Claiming, Controller };

    enum class Phase {
        Granting, ///< Recorded for its owner, which hasn't accepted a grant of this controller yet.
        Held,
        Releasing, ///< The owner was ordered to release the range.
        Expiring, ///< The owner is lost; its lease may still run.
        Free, ///< No target holds the range.
    };

    /// A range, its owner and the state of its lease.
    struct RangeAssignment
    {
        OwnedRange owned;
        std::uint64_t initialFence = 0; ///< Of the first grant to this incarnation of the owner.
        Phase phase = Phase::Free;
        bool isInherited = false; ///< Recorded by an earlier controller, not accepted by the owner in this term yet.
        Time leaseExpiry = 0ms; ///< The owner's lease has expired by then at the latest.
        Time nextOrderAt = 0ms;
        Time lastOrderAt = 0ms;
        Time unansweredSince = 0ms; ///< 0: the last order was answered.
        Time releaseDeadline = 0ms;
        std::string handoverToken; ///< From the previous owner, for the next one.
        std::string destination; ///< Id of the next owner; empty until it is chosen.
        bool isWritePending = false; ///< The pending write records the range for `destination`.
        std::uint32_t failedConnections = 0; ///< Consecutive.
        std::uint64_t checkedTargets = 0; ///< The owner is a ready target in this revision of m_targets.
        Time unconfirmedLink = 0ms; ///< When the connection was opened that an order waits for; 0: none.
    };

    /// The connections to a target's address.
    struct TargetLink
    {
        bool isOpen = false;
        bool isOpening = false;
        Time openedAt = 0ms; ///< Of the newest connection.
        Time openingSince = 0ms;
    };

    struct PendingOrder
    {
        bool isRelease = false;
        TargetIdentity target;
        KeyRange range;
        std::uint64_t fence = 0;
        Time previousLeaseExpiry = 0ms; ///< Restored when the order wasn't delivered.
        std::string address;
        Time sentAt = 0ms;
    };

    void on(const ControlTick &);
    void on(const OwnershipRead &event);
    void on(const OwnershipCallFailed &event);
    void on(const OwnershipWritten &event);
    void on(const OwnershipConflict &event);
    void on(const TargetConnected &event);
    void on(const ControllerHeartbeat &event);
    void on(const ControllerHeartbeatAck &event);
    void on(const ControllerResigned &event);
    void on(const ControlTargets &event);
    void on(const ControlPeers &event);
    void on(const OrderEnded &event);
    void on(const KeyLoadReport &event);
    void on(const KeyRefused &event);
    void on(const StoreEraSeen &event) { learnEra(event.era); }
    void on(const ControlStop &);

    // Changes of the store's era. In rangecontrol_eras.cpp.
    void learnEra(StoreEra era);
    /// Requires the store's record to be replaced by this controller's.
    void requireRestore(const std::string &why);
    /// Whether a record lacks changes that an earlier era of the store had. Without a record, whether there was one.
    bool isOutdated(const std::optional<OwnershipRecord> &record) const noexcept;
    /// Whether a controller that may know all owners is heard from.
    bool isControllerHeard() const noexcept;
    void compareWithStore(const std::optional<OwnershipRecord> &record, std::uint64_t revision);
    bool isRestoreOverdue() const;
    void writeRestoredRecordIfDue();
    bool isEraKnownToAll() const;
    PastController unknownController(std::optional<Duration> knownLease) const;

    // Election. In rangecontrol.cpp.
    void startClaimIfDue();
    void writeClaim(const std::optional<OwnershipRecord> &record, std::uint64_t revision);
    /// Writes m_pendingRecord.
    void writePendingRecord(std::uint64_t expectedRevision);
    OwnershipRecord claimBasedOn(const OwnershipRecord &record) const;
    void confirmOrStepDown(const OwnershipRead &event);
    void becomeController();
    void stepDown(const std::string &why);
    void adoptRecord(const OwnershipRecord &record, std::uint64_t revision);
    bool isOwnRecord(const OwnershipRecord &record) const noexcept;
    void resolveOwnWrite(const OwnershipRecord &record, std::uint64_t revision);
    std::size_t claimRank() const;
    /// Whether this incarnation of a daemon is known to have ended.
    bool hasIncarnationEnded(const DaemonIdentity &identity) const;
    /// When a majority of `voters` that know at least `era` last confirmed this daemon, by the time that the heartbeat
    /// was sent.
    Time majorityConfirmedAt(const std::vector<DaemonIdentity> &voters, StoreEra era) const;
    /// The same for the stored voters, and for those of a write that may have taken effect.
    Time votersConfirmedAt(StoreEra era) const;
    bool hasAuthority() const;
    /// Whether ranges may be taken from their owners or assigned to new ones.
    bool mayChangeOwners() const;
    /// When all leases that predecessors granted have expired.
    Time inheritedLeaseBound() const noexcept;
    std::vector<DaemonIdentity> chooseVoters() const;
    bool shouldReplaceVoters() const;
    bool hasAcknowledgedSince(const DaemonIdentity &daemon, Time since) const;
    void updatePredecessors();
    std::set<std::string> acknowledgers() const;
    /// Whether the store has confirmed this controller since confirmation was last required.
    bool isConfirmedByStore() const noexcept { return m_storeConfirmedAt >= m_confirmationRequiredSince; }
    void sendHeartbeatIfDue();
    void confirmWithStoreIfDue();

    // Connections to targets. In rangecontrol_links.cpp.
    /// Whether grants may be sent to the address. If not, does what is missing.
    bool prepareLink(const std::string &address);
    void openLink(const std::string &address);
    bool isConfirmedSince(Time openedAt) const;
    bool isLinkConfirmationDue() const;

    // Range assignment. In rangecontrol_ranges.cpp.
    void advanceRanges();
    /// Whether advance() has nothing to do for the range: its owner is ready, and no order is due or overdue.
    bool isSettled(const RangeAssignment &assignment) const noexcept;
    /// Whether an order for the range waits until this controller is confirmed after a connection was opened.
    bool isAwaitingConfirmation(const RangeAssignment &assignment) const noexcept;
    /// Whether the ranges must be gone through after the event.
    bool mayAffectRanges(const ControlEvent &event) const noexcept;
    void advance(RangeAssignment &assignment);
    void sendGrant(RangeAssignment &assignment);
    void startRelease(RangeAssignment &assignment, const std::string &destination);
    void startExpiry(RangeAssignment &assignment, const std::string &why);
    void markFree(RangeAssignment &assignment, std::string handoverToken);
    void writeRecordIfDue();
    void chooseDestinations();
    OwnershipRecord makeRecord();
    void applyWrittenRecord();
    void adoptRestartedTarget(RangeAssignment &assignment, const RegisteredTarget &target);
    void finishGrant(RangeAssignment &assignment, const PendingOrder &order, OrderEndKind end);
    void connectionFailed(const std::string &address);
    void finishRelease(RangeAssignment &assignment, const OrderEnded &event);
    void planIfDue();
    void splitOff(const KeyRange &part);
    void mergeAdjacentRanges();
    void assignInitialRanges(const std::vector<RegisteredTarget> &ready);
    std::vector<RegisteredTarget> readyTargets() const;
    const RegisteredTarget *findTarget(const std::string &id) const;
    std::vector<RangeCandidate> candidates() const;
    std::map<std::string, double> loadByTarget() const;
    std::uint64_t nextFence() noexcept { return m_term * m_timing.fencesPerTerm + ++m_fenceCount; }
    /// Longest time from sending a grant with this lease until the target's lease has expired.
    Duration maxHoldTime(Duration lease) const noexcept;
    Duration maxInheritedLease() const noexcept;
    Duration leaseDuration() const noexcept;
    bool hasPendingGrant(const RangeAssignment &assignment) const;
    std::string addressOf(const std::string &target) const;
    void announceIfChanged();
    static RangeState routedState(const RangeAssignment &assignment, bool hasStoreContact) noexcept;
    template<typename Take>
    void visitRouted(Take take) const;
    std::vector<RoutedRange> routedRanges() const;
    bool isAnnounced() const;
    void logEvent(std::uint32_t event, std::string detail);

    std::string m_service;
    DaemonIdentity m_self;
    OwnershipTiming m_timing;
    Time m_now = 0ms;
    Effects m_effects;

    Role m_role = Role::Follower;
    bool m_isFirstStart = true;
    StoreEra m_era = 0; ///< Highest known.
    bool m_hasEraChanged = false; ///< Since this process started.
    std::uint64_t m_term = 0; ///< Highest known.
    std::string m_controllerId; ///< Of that term.
    std::uint64_t m_controllerSequence = 0;
    Time m_controllerSeenAt = 0ms; ///< Last heartbeat of the controller, or when its term became known.
    bool m_isControllerLeaving = false;
    Duration m_controllerStoreAge = 0ms;
    Time m_nextClaimAt = 0ms;
    std::vector<PeerDaemon> m_peers;
    std::map<std::string, std::uint64_t> m_peerIncarnations; ///< The latest of each peer.
    std::uint32_t m_ownLinkMbps = 0;
    std::map<std::string, RegisteredTarget> m_targets;
    std::uint64_t m_targetsRevision = 1; ///< Rises with each change of m_targets.
    Time m_targetsChangedAt = 0ms; ///< When a target last joined.
    std::map<std::string, std::string> m_addresses; ///< Last known, including targets that are no longer registered.
    std::map<std::string, Time> m_cooldownUntil; ///< By lost target: it gets no new ranges until then.

    // State of the controller.
    OwnershipRecord m_storedRecord; ///< Last record in the store that this daemon wrote as controller.
    std::uint64_t m_resignationSentTerm = 0; ///< Latest term whose controller was sent this daemon's resignation.
    OwnershipRecord m_pendingRecord; ///< Of the pending write.
    std::uint64_t m_pendingWrite = 0; ///< Of the latest write. Responses to earlier ones are ignored.
    std::uint64_t m_revision = 0;
    bool m_isStopping = false;
    std::vector<PastController> m_activePredecessors; ///< Those that aren't known to have stopped.
    std::map<std::string, ControllerHeartbeatAck> m_latestAcks; ///< By daemon.
    Time m_termStartedAt = 0ms;
    Time m_nextVoterChangeAt = 0ms;
    bool m_isVoterChangePending = false; ///< The store may already hold the voters of m_pendingRecord.
    bool m_isWritePending = false;
    bool m_isReadPending = false;
    bool m_needsRestore = false; ///< The store's record is older than this controller's.
    Time m_restoreNeededSince = 0ms;
    std::optional<std::uint64_t> m_restoreRevision; ///< Of the record to replace, 0: there is none; unset: not known.
    Time m_nextReadAt = 0ms;
    Time m_nextWriteAt = 0ms;
    Time m_storeConfirmedAt = 0ms; ///< The store named this daemon as controller at or after this time.
    Time m_confirmationRequiredSince = 0ms; ///< End of the last long pause of this process, or the last order that a
                                            ///< target rejected for a higher fence.
    Time m_nextHeartbeatAt = 0ms;
    Time m_nextPlanAt = 0ms;
    Time m_inheritedLeaseExpiry = 0ms; ///< Leases of the predecessors known to have stopped have expired by then.
    std::uint64_t m_fenceCount = 0;
    ControlWork m_work; ///< Since the last takeWork().
    std::uint64_t m_nextOrderId = 1;
    std::vector<RangeAssignment> m_assignments; ///< In order, without gaps; empty before the first assignment.
    std::map<std::uint64_t, PendingOrder> m_pendingOrders;
    std::map<std::string, TargetLink> m_links; ///< By address.
    std::size_t m_openingLinks = 0; ///< Of m_links.
    bool m_isLinkUnconfirmed = false; ///< A grant waits for the confirmation of its connection.
    Time m_linkReadAt = 0ms; ///< When the store was last read for it.
    KeyLoad m_keyLoad;
    TargetSpeeds m_speeds;
    std::map<std::string, double> m_rateLimits; ///< By target, from its answer to the latest order.
    std::uint64_t m_announcementSequence = 0;
    Time m_nextAnnouncementAt = 0ms;
    std::vector<RoutedRange> m_announcedRanges;
};

} // namespace sardinehinge::core
