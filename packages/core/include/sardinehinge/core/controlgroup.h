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

/// What a daemon is to one control group (one service of one workspace).
enum class ControlRole {
    Follower, ///< Watches, and may act as a witness.
    Candidate, ///< Collects promises from the witnesses.
    Steward, ///< Holds a majority of promises: renews what targets hold, changes nothing.
    Controller, ///< Its term is in the store and confirmed: renews, grants, moves.
};

const char *controlRoleName(ControlRole role) noexcept;

// Events.

struct Tick
{
};

struct InstancesChanged
{
    InstanceView view;
};

/// The service's parameters; nothing when the service was removed.
struct ServiceChanged
{
    std::optional<ServiceSpec> spec;
    std::set<std::string> drainedTargets;
    bool shuttingDown = false;
    Duration shutdownGrace = 30s; ///< Grants are renewed no longer than this for work that still runs.
};

/// A control record that reached this daemon through its peers or the store.
struct RecordLearnt
{
    ControlRecord record;
    std::uint64_t revision = 0;
};

/// An assignment that reached this daemon through its peers or the store.
struct AssignmentLearnt
{
    Assignment assignment;
    std::uint64_t revision = 0;
};

struct PeerReceived
{
    DaemonIdentity from;
    PeerMessage message;
};

/// The store answered a read of the record. Revision 0: it certainly doesn't exist.
struct RecordRead
{
    std::optional<Error> error;
    std::uint64_t revision = 0;
    ControlRecord record;
};

/// The store answered a read of the assignment. Revision 0: it certainly doesn't exist.
struct AssignmentRead
{
    std::optional<Error> error;
    std::uint64_t revision = 0;
    Assignment assignment;
};

/// The end of a conditional write, after a lost answer was resolved by its attempt id.
struct RecordWritten
{
    WriteOutcome outcome;
};

struct AssignmentWritten
{
    WriteOutcome outcome;
};

struct TargetReported
{
    std::string target;
    TargetReport report;
};

/// An order got no answer. `refused` says that the target's host refused the connection: no process is there.
struct TargetSilent
{
    std::string target;
    std::uint64_t sequence = 0;
    bool refused = false;
};

/// The daemon is about to stop: it gives up control and doesn't seek it again.
struct Resigned
{
};

/// The share of work of each shard, as seen by this daemon's requests.
struct LoadMeasured
{
    std::map<std::uint32_t, double> load;
};

using ControlEvent = std::variant<Tick, InstancesChanged, ServiceChanged, RecordLearnt, AssignmentLearnt, PeerReceived,
                                  RecordRead, AssignmentRead, RecordWritten, AssignmentWritten, TargetReported,
                                  TargetSilent, LoadMeasured, Resigned>;

// Effects.

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

/// Sends an order. It must be dropped, not sent, once `validUntil` has passed by this daemon's clock.
struct OrderTarget
{
    std::string target;
    std::string address;
    TargetOrder order;
    Time validUntil = 0ms;
};

/// Something that operators may want to see on the time line.
struct Noted
{
    std::uint32_t event = 0; ///< Number in docs/EVENTS.md.
    std::string detail;
};

using ControlEffect
    = std::variant<SendPeer, ReadRecord, ReadAssignment, WriteRecord, WriteAssignment, OrderTarget, Noted>;

/// What the controller knows of a target.
struct TargetLease
{
    std::uint64_t incarnation = 0; ///< 0 until the first report.
    std::int64_t anchor = 0; ///< Latest clock reading of the target, by its clock.
    Time anchorReceivedAt = 0ms; ///< When that reading arrived; it was taken before.
    Time endsBy = 0ms; ///< No grant that this daemon gave holds after this.
    Time lastReport = 0ms;
    std::uint64_t reportSequence = 0; ///< Of the latest order that the target reported on.
    std::uint64_t grantSequence = 0; ///< Of the latest order that contained grants.
    bool reportedThisTerm = false; ///< From then on the target refuses every earlier term.
    bool processGone = false;
    bool lost = false; ///< Its lease has surely ended.
    bool hasBeenOrdered = false; ///< It reported at least once in this term, so its held set was compared.
    bool wasRenewed = false; ///< An order of this term has renewed its grants.
    bool orderPending = false;
    std::uint64_t sentSequence = 0;
    Time orderSentAt = 0ms;
    std::set<ShardEpoch> held;

    bool operator==(const TargetLease &) const = default;
};

/// Control of the shard owners of one service: who may change them, and the changes.
///
/// Pure: state + event + time in, effects out. One instance a service on every daemon. docs/DESIGN.md gives the safety
/// argument; the invariants that it rests on are noted where the code relies on them.
class ControlGroup
{
public:
    using Effects = std::vector<ControlEffect>;

    ControlGroup(ServiceId service, DaemonIdentity self, LeaseTiming timing, PlacementLimits limits = {});

    /// Takes one event at time `now`; `now` must not fall between calls.
    Effects handle(const ControlEvent &event, Time now);

    /// Learns which life of a daemon is the present one, from any message of it.
    void noteIncarnation(const DaemonIdentity &daemon);

    ControlRole role() const noexcept { return m_role; }
    std::uint64_t term() const noexcept { return m_term; }
    /// Whether a majority of witnesses confirms this daemon at `now`.
    bool hasAuthority(Time now) const noexcept;
    /// End of the present authority; orders must not be sent after it. 0 without authority.
    Time authorityEnd() const noexcept;
    const Assignment &assignment() const noexcept { return m_assignment; }
    const ControlRecord &record() const noexcept { return m_record; }
    const std::map<std::string, TargetLease> &leases() const noexcept { return m_leases; }
    /// Whether ticks matter to this group within milliseconds: it acts, or stands by as a witness.
    bool needsFastTicks() const noexcept;
    /// Shards whose owner is recorded but not yet known to hold its grant.
    std::size_t unheldShards() const noexcept;

private:
    /// One kind of store operation: at most one at a time, with growing waits after failures.
    struct StoreCall
    {
        bool pending = false;
        Time retryAt = 0ms;
        Duration backoff = 0ms;
    };

    void onEvent(const Tick &event);
    void onEvent(const InstancesChanged &event);
    void onEvent(const ServiceChanged &event);
    void onEvent(const RecordLearnt &event);
    void onEvent(const AssignmentLearnt &event);
    void onEvent(const PeerReceived &event);
    void onEvent(const RecordRead &event);
    void onEvent(const AssignmentRead &event);
    void onEvent(const RecordWritten &event);
    void onEvent(const AssignmentWritten &event);
    void onEvent(const TargetReported &event);
    void onEvent(const TargetSilent &event);
    void onEvent(const LoadMeasured &event);
    void onEvent(const Resigned &event);

    void onMessage(const DaemonIdentity &from, const PromiseRequest &message);
    void onMessage(const DaemonIdentity &from, const PromiseReply &message);
    void onMessage(const DaemonIdentity &from, const Heartbeat &message);
    void onMessage(const DaemonIdentity &from, const HeartbeatAck &message);
    template<typename T>
    void onMessage(const DaemonIdentity &, const T &)
    {
    }

    // Takeover: controlgroup_takeover.cpp.
    bool isGone(const DaemonIdentity &witness) const;
    bool hasMajority(const std::vector<DaemonIdentity> &witnesses, const std::set<DaemonIdentity> &confirmed) const;
    Time majorityConfirmedFrom(const std::vector<DaemonIdentity> &witnesses) const;
    std::vector<DaemonIdentity> pickWitnesses() const;
    std::optional<Duration> candidacyDelay() const;
    std::set<DaemonIdentity> electorate() const;
    bool allWitnessesGone() const;
    void adoptRecord(const ControlRecord &record, std::uint64_t revision);
    void acceptOwnRecord();
    void considerCandidacy();
    void becomeCandidate();
    void becomeSteward();
    void becomeController();
    void stepDown(const std::string &reason);
    void askForPromises();
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
    static bool isUnrenewed(const TargetLease &lease) noexcept;
    bool isOrderDue(const TargetLease &lease) const;
    bool mayGrant(const ShardOwner &owner, std::uint32_t shard) const;
    bool hasLetGo(const std::string &target, std::uint32_t shard, std::uint64_t beforeEpoch) const;
    bool leaseSurelyEnded(const std::string &target) const;
    bool isMovable(std::uint32_t shard) const;
    void markLostTargets();
    void readWhatIsUnknown();
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
    std::set<std::string> m_listed; ///< Ids in m_view.
    std::vector<Instance> m_targets; ///< Entries of m_view that serve this group.
    ServiceChanged m_config;
    Time m_shutdownSince = 0ms;
    std::map<std::string, std::uint64_t> m_knownIncarnations;

    ControlRecord m_record;
    std::uint64_t m_recordRevision = 0;
    bool m_recordKnown = false;
    Time m_startedAt = 0ms;

    std::uint64_t m_term = 0;
    std::uint64_t m_highestTermSeen = 0;
    Time m_lastPromiseRound = 0ms;
    std::set<DaemonIdentity> m_promised;
    Time m_fencedAt = 0ms; ///< A majority had promised by then: earlier authority ends by this + controlLease.
    std::map<DaemonIdentity, Time> m_confirmedFrom; ///< Send time of the latest acknowledged heartbeat.
    std::set<DaemonIdentity> m_retired; ///< Daemons that acknowledged this term's record as their base.
    Time m_lastHeartbeat = 0ms;
    Time m_roleSince = 0ms;
    Time m_lastAuthority = 0ms; ///< Latest tick of this term with authority.
    Time m_lastCandidacyEnd = 0ms;
    Time m_lastWitnessReview = 0ms;
    std::set<std::string> m_silentWitnesses;
    ControlRecord m_writingRecord;
    bool m_resigned = false;
    bool m_recordIsOurs = false; ///< The store holds our record of this term.

    StoreCall m_recordRead;
    StoreCall m_recordWrite;
    StoreCall m_assignmentRead;
    StoreCall m_assignmentWrite;

    Assignment m_assignment;
    std::uint64_t m_assignmentRevision = 0;
    bool m_assignmentFresh = false; ///< Read from the store in this term.
    bool m_assignmentStamped = false; ///< Written in this term, so no earlier controller's write can still apply.
    Assignment m_writing;
    std::map<std::uint32_t, double> m_load;
    Time m_lastPlan = 0ms;

    std::map<std::string, TargetLease> m_leases;
    std::uint64_t m_nextSequence = 1;
    Time m_lastWorkReview = 0ms;
    bool m_workPending = false; ///< Some target may have to be given or asked to release a shard.
};

} // namespace sardinehinge::core
