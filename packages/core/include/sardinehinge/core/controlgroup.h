#pragma once

#include <sardinehinge/core/assignment.h>
#include <sardinehinge/core/conditionalwrite.h>
#include <sardinehinge/core/leasetiming.h>
#include <sardinehinge/core/messages.h>
#include <sardinehinge/core/placement.h>
#include <sardinehinge/core/witness.h>
#include <sardinehinge/core/workspacespec.h>

#include <map>
#include <optional>
#include <set>

namespace sardinehinge::core {

/// Role of this daemon in one control group. There is one control group for each service of a workspace.
enum class ControlRole {
    Follower, ///< Takes no control decisions; answers as a witness when it is named as one.
    Candidate, ///< Requests promises (votes) from the witnesses for a new term.
    Steward, ///< Elected, but its record is not confirmed yet: may only renew leases that targets already hold.
    Controller, ///< Its record is stored and confirmed: may renew, grant and move shards.
};

const char *controlRoleName(ControlRole role) noexcept;

// Events: the inputs of ControlGroup::handle.

struct Tick
{
};

struct InstancesChanged
{
    InstanceView view;
};

/// New parameters of the service. `spec` is empty when the service was removed.
struct ServiceChanged
{
    std::optional<ServiceSpec> spec;
    std::set<std::string> drainedTargets;
    bool shuttingDown = false;
    Duration shutdownGrace = 30s; ///< After the shutdown starts, leases of running requests are renewed for this long.
};

/// A control record arrived from a peer or the store.
struct RecordReceived
{
    ControlRecord record;
    std::uint64_t revision = 0;
};

/// An assignment arrived from a peer or the store.
struct AssignmentReceived
{
    Assignment assignment;
    std::uint64_t revision = 0;
};

struct PeerReceived
{
    DaemonIdentity from;
    PeerMessage message;
};

/// Result of reading the control record from the store. Without `error`, revision 0 means that no record exists.
struct RecordRead
{
    std::optional<Error> error;
    std::uint64_t revision = 0;
    ControlRecord record;
};

/// Result of reading the assignment from the store. Without `error`, revision 0 means that no assignment exists.
struct AssignmentRead
{
    std::optional<Error> error;
    std::uint64_t revision = 0;
    Assignment assignment;
};

/// Result of a conditional write of the control record. A lost response has been resolved by the attempt id.
struct RecordWritten
{
    WriteOutcome outcome;
};

/// Result of a conditional write of the assignment, resolved in the same way.
struct AssignmentWritten
{
    WriteOutcome outcome;
};

struct TargetReported
{
    std::string target;
    TargetReport report;
};

/// The order with number `sequence` timed out or failed. `refused` means that the target's host refused the connection,
/// so no process listens there.
struct OrderUnanswered
{
    std::string target;
    std::uint64_t sequence = 0;
    bool refused = false;
};

/// The daemon is shutting down: it steps down and never becomes a candidate again.
struct DaemonStopping
{
};

/// Each shard's share of the work, measured on the requests of this daemon.
struct LoadMeasured
{
    std::map<std::uint32_t, double> load;
};

using ControlEvent = std::variant<Tick, InstancesChanged, ServiceChanged, RecordReceived, AssignmentReceived,
                                  PeerReceived, RecordRead, AssignmentRead, RecordWritten, AssignmentWritten,
                                  TargetReported, OrderUnanswered, LoadMeasured, DaemonStopping>;

// Effects: the outputs of ControlGroup::handle, which the caller carries out.

struct SendPeer
{
    std::string to;
    PeerMessage message;
};

struct ReadRecord
{
};

struct ReadAssignment
{
};

struct WriteRecord
{
    ControlRecord record;
    std::uint64_t expectedRevision = 0;
};

struct WriteAssignment
{
    Assignment assignment;
    std::uint64_t expectedRevision = 0;
};

/// Sends an order to a target. The caller must drop the order once `validUntil` has passed on this daemon's clock.
struct OrderTarget
{
    std::string target;
    std::string address;
    TargetOrder order;
    Time validUntil = 0ms;
};

/// Records an event on the operators' time line.
struct LogEvent
{
    std::uint32_t event = 0; ///< Number in docs/EVENTS.md.
    std::string detail;
};

using ControlEffect
    = std::variant<SendPeer, ReadRecord, ReadAssignment, WriteRecord, WriteAssignment, OrderTarget, LogEvent>;

/// What the steward or controller knows about the leases of one target. Times are on this daemon's clock unless noted.
struct TargetLease
{
    std::uint64_t incarnation = 0; ///< 0 until the first report.
    std::int64_t anchor = 0; ///< Latest reading of the target's own clock.
    Time anchorReceivedAt = 0ms; ///< Arrival of that reading, which was taken earlier.
    Time latestExpiry = 0ms; ///< All grants given by this daemon have expired by this time.
    Time lastReport = 0ms;
    std::uint64_t reportSequence = 0; ///< Sequence of the latest order that the target answered.
    std::uint64_t grantSequence = 0; ///< Sequence of the latest order that contained grants.
    bool reportedThisTerm = false; ///< After its first report the target rejects orders of earlier terms.
    bool processGone = false; ///< Its host refused a connection, and it has not reported since.
    bool lost = false; ///< Its lease has expired; see isLeaseExpired().
    bool isHeldKnown = false; ///< It reported in this term, so `held` has been compared with the assignment.
    bool wasRenewed = false; ///< The latest order carried a clock reading and so renewed the grants.
    bool orderPending = false;
    std::uint64_t sentSequence = 0; ///< Sequence of the latest order sent.
    Time orderSentAt = 0ms;
    std::set<ShardEpoch> held; ///< Grants in the latest report.

    bool operator==(const TargetLease &) const = default;
};

/// Elects the controller of one service and, while this daemon is the controller, assigns the service's shards to
/// targets. Every daemon has one instance for each service.
///
/// A deterministic state machine without I/O: it takes events with their time and returns effects. docs/DESIGN.md has
/// the safety argument; the invariants that it needs are stated where the code relies on them.
class ControlGroup
{
public:
    using Effects = std::vector<ControlEffect>;

    ControlGroup(ServiceId service, DaemonIdentity self, LeaseTiming timing, PlacementLimits limits = {});

    /// Processes one event and returns the effects to carry out, in order. `now` is on this daemon's monotonic clock; a
    /// value lower than that of an earlier call is replaced by the highest so far.
    Effects handle(const ControlEvent &event, Time now);

    /// Records the incarnation of a daemon, as seen in any of its messages. Lower incarnations are ignored.
    void noteIncarnation(const DaemonIdentity &daemon);

    ControlRole role() const noexcept { return m_role; }
    std::uint64_t term() const noexcept { return m_term; }
    /// Whether a majority of the witnesses confirms this daemon as steward or controller at `now`.
    bool hasAuthority(Time now) const noexcept;
    /// When the current authority expires; no order may be sent after that. 0 for a follower or candidate, and until a
    /// majority of the witnesses has acknowledged a heartbeat.
    Time authorityEnd() const noexcept;
    const Assignment &assignment() const noexcept { return m_assignment; }
    const ControlRecord &record() const noexcept { return m_record; }
    const std::map<std::string, TargetLease> &leases() const noexcept { return m_leases; }
    /// Whether this group needs a Tick every few milliseconds: it has a role other than follower, this daemon is one of
    /// the witnesses, or no witnesses are known.
    bool needsFastTicks() const noexcept;
    /// Number of shards whose assigned owner is not known to hold the grant, shards without an owner included.
    std::size_t unheldShards() const noexcept;

private:
    /// State of one kind of store operation: at most one runs at a time, with exponential backoff after failures.
    struct StoreCall
    {
        bool pending = false;
        Time retryAt = 0ms;
        Duration backoff = 0ms;
    };

    void onEvent(const Tick &event);
    void onEvent(const InstancesChanged &event);
    void onEvent(const ServiceChanged &event);
    void onEvent(const RecordReceived &event);
    void onEvent(const AssignmentReceived &event);
    void onEvent(const PeerReceived &event);
    void onEvent(const RecordRead &event);
    void onEvent(const AssignmentRead &event);
    void onEvent(const RecordWritten &event);
    void onEvent(const AssignmentWritten &event);
    void onEvent(const TargetReported &event);
    void onEvent(const OrderUnanswered &event);
    void onEvent(const LoadMeasured &event);
    void onEvent(const DaemonStopping &event);

    void onMessage(const DaemonIdentity &from, const PromiseRequest &message);
    void onMessage(const DaemonIdentity &from, const PromiseReply &message);
    void onMessage(const DaemonIdentity &from, const Heartbeat &message);
    void onMessage(const DaemonIdentity &from, const HeartbeatAck &message);
    template<typename T>
    void onMessage(const DaemonIdentity &, const T &)
    {
    }

    // Election and takeover: controlgroup_takeover.cpp.
    bool isGone(const DaemonIdentity &witness) const;
    bool hasMajority(const std::vector<DaemonIdentity> &witnesses, const std::set<DaemonIdentity> &confirmed) const;
    Time majorityAckedSendTime(const std::vector<DaemonIdentity> &witnesses) const;
    std::vector<DaemonIdentity> pickWitnesses() const;
    std::optional<Duration> candidacyDelay() const;
    std::set<DaemonIdentity> electorate() const;
    bool isWitness(const ControlRecord &record) const; ///< Whether the record names this daemon as a witness.
    bool allWitnessesGone() const;
    void adoptRecord(const ControlRecord &record, std::uint64_t revision);
    void onOwnRecordStored();
    void startCandidacyIfDue();
    void becomeCandidate();
    void becomeSteward();
    void becomeController();
    void stepDown(const std::string &reason);
    void requestPromises();
    void sendHeartbeats();
    void writeRecord();
    void advanceTakeover();
    void checkAuthority();
    void replaceSilentWitnesses();

    // Targets and assignments: controlgroup_targets.cpp.
    void run(bool isTick);
    void sendOrders();
    bool sendOrder(const Instance &target, TargetLease &lease);
    TargetOrder orderFor(const std::string &target, const TargetLease &lease) const;
    static bool needsFirstRenewal(const TargetLease &lease) noexcept;
    bool isOrderDue(const TargetLease &lease) const;
    bool mayGrant(const ShardOwner &owner, std::uint32_t shard) const;
    bool hasReleased(const std::string &target, std::uint32_t shard, std::uint64_t beforeEpoch) const;
    bool isLeaseExpired(const std::string &target) const;
    bool isMovable(std::uint32_t shard) const;
    void markLostTargets();
    void readMissingState();
    void planAndWrite();
    std::size_t applyMoves(Assignment &next, const std::vector<Move> &moves) const;
    Assignment resizedAssignment() const;
    bool isReadyToPlan() const;
    std::vector<PlacementTarget> placementTargets() const;
    bool checksFences() const noexcept;

    void note(std::uint32_t event, std::string detail);
    bool mayCall(const StoreCall &call) const noexcept;
    void beginCall(StoreCall &call) const noexcept;
    void endCall(StoreCall &call, bool succeeded) const noexcept;

    ServiceId m_service;
    std::string m_group;
    DaemonIdentity m_self;
    LeaseTiming m_timing;
    PlacementLimits m_limits;
    Time m_now = 0ms;
    Effects m_effects;

    ControlRole m_role = ControlRole::Follower;
    Witness m_witness;
    InstanceView m_view;
    std::set<std::string> m_listed; ///< Ids of all instances in m_view.
    std::vector<Instance> m_targets; ///< Targets in m_view that serve this group.
    ServiceChanged m_config;
    Time m_shutdownSince = 0ms;
    std::map<std::string, std::uint64_t> m_knownIncarnations;

    ControlRecord m_record;
    std::uint64_t m_recordRevision = 0;
    bool m_recordKnown = false;
    Time m_startedAt = 0ms;

    std::uint64_t m_term = 0;
    std::uint64_t m_highestTermSeen = 0;
    Time m_lastPromiseRequests = 0ms;
    std::set<DaemonIdentity> m_promised;
    Time m_electedAt = 0ms; ///< When a majority had promised. Authority of earlier terms ends controlLease later.
    std::map<DaemonIdentity, Time> m_ackedSendTimes; ///< Send time of the latest heartbeat that each acknowledged.
    std::set<DaemonIdentity> m_adoptedRecord; ///< Daemons that acknowledged a heartbeat based on this term's record.
    Time m_lastHeartbeat = 0ms;
    Time m_roleSince = 0ms;
    Time m_lastAuthority = 0ms; ///< Latest tick of this term at which this daemon had authority.
    Time m_lastCandidacyEnd = 0ms;
    Time m_witnessSince = 0ms; ///< When this daemon learned of the record that made it a witness.
    Time m_lastWitnessReview = 0ms;
    std::set<std::string> m_silentWitnesses;
    ControlRecord m_writingRecord;
    bool m_isStopping = false;
    bool m_isRecordOurs = false; ///< The store holds this daemon's record of this term.

    StoreCall m_recordRead;
    StoreCall m_recordWrite;
    StoreCall m_assignmentRead;
    StoreCall m_assignmentWrite;

    Assignment m_assignment;
    std::uint64_t m_assignmentRevision = 0;
    bool m_assignmentFresh = false; ///< Read from the store in this term, with no failed write since.
    bool m_assignmentWrittenThisTerm = false; ///< A conditional write of an earlier controller can't succeed any more.
    Assignment m_writing;
    std::map<std::uint32_t, double> m_load;
    Time m_lastPlan = 0ms;

    std::map<std::string, TargetLease> m_leases;
    std::uint64_t m_nextSequence = 1;
    Time m_lastPendingGrantCheck = 0ms;
    bool m_ownerChangesPending = false; ///< A target may have to be granted or asked to release a shard.
};

} // namespace sardinehinge::core
