#pragma once

#include <sardinehinge/core/keyrange.h>
#include <sardinehinge/core/rangeplanner.h>
#include <sardinehinge/core/target.h>
#include <sardinehinge/core/targetspeeds.h>

#include <optional>
#include <set>
#include <variant>

/// Who owns which keys of a sharded service, for targets that count a lease from the arrival of a grant and refuse
/// fences lower than the highest they have seen.
namespace sardinehinge::core {

/// Periods and bounds of ownership. docs/DESIGN.md derives them.
struct OwnershipTiming
{
    Duration leasePerTarget = std::chrono::milliseconds(48); ///< A grant's time grows with the targets, so that one
                                                             ///< controller gives some 80 grants a second at most,
    Duration leaseMin = std::chrono::milliseconds(2000); ///< from the time that a takeover needs, twice,
    Duration leaseMax = std::chrono::milliseconds(8000); ///< to below the targets' bound of 10 s.
    double clockSlack = 1.025; ///< A target's clock may run 2% slow, ours 0.5%.
    std::int64_t renewalsPerLease = 4; ///< Three losses in a row are borne.
    Duration orderTimeout = std::chrono::milliseconds(600); ///< Targets with long queues answer within this.
    Duration secondOrder
        = std::chrono::milliseconds(250); ///< Without an answer, another order is sent beside the first.
    Duration lostAfter
        = std::chrono::milliseconds(1200); ///< Without an answer for so long a target gets no more orders.
    Duration releaseTimeout = std::chrono::milliseconds(4000); ///< A release waits for the work under way.
    Duration authority = std::chrono::milliseconds(1500); ///< A controller gives grants for this long after the store
                                                          ///< or most voters confirmed it: seven heartbeats.
    Duration longestAuthority = std::chrono::seconds(20); ///< And for this long after the store did: twice the longest
                                                          ///< outages that the users list.
    std::size_t voters = 7; ///< Three may be lost while the store is away.
    Duration votersPause = std::chrono::seconds(2); ///< Least time between two changes of the voters.
    std::size_t askedDaemons = 12; ///< Daemons that confirm heartbeats: voters and those that may become some.
    Duration confirmEvery = std::chrono::milliseconds(1000);
    Duration heartbeat = std::chrono::milliseconds(200);
    Duration controllerSilence = std::chrono::milliseconds(700); ///< Three heartbeats lost, and some delay.
    Duration rankStep = std::chrono::milliseconds(120); ///< A store write takes less, so candidates rarely collide.
    Duration storeSilence = std::chrono::milliseconds(2500); ///< A controller that hears nothing from the store for so
                                                             ///< long should be replaced by one that does.
    Duration storeRetry = std::chrono::milliseconds(400); ///< Between two tries of a failed call to the store.
    Duration writeTimeout = std::chrono::milliseconds(2500); ///< Then a write is read back; the slowest answers that
                                                             ///< the users list take 240 ms.
    Duration avoidTime = std::chrono::seconds(3); ///< A lost target gets no ranges for this long.
    Duration firstWait = std::chrono::milliseconds(1000); ///< The first assignment waits until no target has joined for
                                                          ///< so long: at a first start they register by turns.
    Duration planEvery = std::chrono::milliseconds(500);
    Duration announceStep = std::chrono::milliseconds(1); ///< For each daemon, between two announcements: at some 250
                                                          ///< bytes they take a fifth of a link of 10 Mbit/s.
    double loadMemory = 0.75; ///< Part of the key load that is kept from one planning period to the next.

    bool operator==(const OwnershipTiming &) const = default;
};

// Events.

struct ControlTick
{
};

/// The store's answer to ReadOwnership; no record when there is none yet.
struct OwnershipRead
{
    std::optional<OwnershipRecord> record;
    std::uint64_t revision = 0;
    Time askedAt = 0ms; ///< When the call was sent: the answer holds for some moment after it.
};

/// A read or a write came to no known end.
struct OwnershipCallFailed
{
    bool wasWrite = false;
};

struct OwnershipWritten
{
    std::uint64_t revision = 0;
    Time askedAt = 0ms;
};

/// Another write came first; the object as it is.
struct OwnershipConflict
{
    OwnershipRecord record;
    std::uint64_t revision = 0;
};

/// The controller's sign of life, to all daemons.
struct ControlBeat
{
    std::string service;
    std::string from;
    std::uint64_t term = 0;
    std::uint64_t sequence = 0; ///< Of its latest announcement.
    Duration storeAge = 0ms; ///< Time since it last heard from the store.
    bool isLeaving = false; ///< It will stop: anybody may take over at once. Until then it goes on.
    Time sentAt = 0ms; ///< By the sender's clock.
    bool wantsAck = false;

    bool operator==(const ControlBeat &) const = default;
};

/// A daemon follows the sender of a beat.
struct ControlAck
{
    std::string service;
    DaemonIdentity from;
    std::uint64_t term = 0; ///< Highest known to the sender.
    Time sentAt = 0ms; ///< Of the beat.

    bool operator==(const ControlAck &) const = default;
};

/// A deposed controller gives no more grants.
struct ControlResigned
{
    std::string service;
    std::string from;
    std::uint64_t term = 0;

    bool operator==(const ControlResigned &) const = default;
};

struct ControlTargets
{
    std::vector<RegisteredTarget> targets; ///< Of the service.
};

struct ControlPeers
{
    std::vector<PeerDaemon> peers; ///< Without this daemon.
    std::uint32_t ownLinkMbps = 0; ///< Of this daemon.
};

enum class OrderEndKind { Accepted, HigherFence, Unanswered, Unreachable };

struct OrderEnded
{
    std::uint64_t order = 0;
    OrderEndKind end = OrderEndKind::Unanswered;
    std::string handover; ///< Of an accepted release.
};

/// A daemon's requests by key, and the latencies of targets as multiples of an average one's.
struct KeyLoadReport
{
    std::map<std::uint32_t, std::uint32_t> requests;
    std::map<std::string, double> slowness;
};

struct KeyRefused
{
    std::string target;
    std::uint32_t key = 0;
};

/// The process is told to stop.
struct ControlStop
{
};

using ControlEvent = std::variant<ControlTick, OwnershipRead, OwnershipCallFailed, OwnershipWritten, OwnershipConflict,
                                  ControlBeat, ControlAck, ControlResigned, ControlTargets, ControlPeers, OrderEnded,
                                  KeyLoadReport, KeyRefused, ControlStop>;

// Effects.

struct ReadOwnership
{
};

/// Writes the record if its revision is still `expected`; 0 creates it.
struct WriteOwnership
{
    OwnershipRecord record;
    std::uint64_t expected = 0;
};

/// An order to a target: to take a range or to let go of it. The adapter answers with one OrderEnded.
struct RangeOrder
{
    std::uint64_t order = 0;
    bool isRelease = false;
    std::string target;
    std::string address;
    KeyRange range;
    std::uint64_t fence = 0;
    Duration lease = 0ms;
    Duration timeout = 0ms;
    std::string handover; ///< From the last holder, for a grant.
};

/// To all daemons, this one included.
struct AnnounceOwners
{
    RangeOwners owners;
};

/// To all daemons; those of `asked` shall confirm it.
struct SendBeat
{
    ControlBeat beat;
    std::set<std::string> asked;
};

struct SendAck
{
    std::string to;
    ControlAck ack;
};

struct SendResigned
{
    std::string to;
    ControlResigned message;
};

/// Something that changed what this daemon believes, for the log.
struct ControlNote
{
    std::uint32_t event = 0;
    std::string detail;
};

using ControlEffect = std::variant<ReadOwnership, WriteOwnership, RangeOrder, AnnounceOwners, SendBeat, SendAck,
                                   SendResigned, ControlNote>;

/// One daemon's part in the ownership of one sharded service's keys.
///
/// Pure. At most one daemon, the controller, changes owners: it is named in the store's record together with them, and
/// every change is a conditional write of that one record. Rules that keep every key at one owner:
/// - A new owner is recorded before it is granted, so that a later controller knows of every grant.
/// - Fences rise with the term, so a controller's first grant to a target ends all that earlier ones may still send.
/// - A key leaves a target after that target answered a release, or after the longest lease that any controller may
///   have given it has surely ended, or when the store shows a later life of the target.
/// - A controller that was paused for long enough to be replaced asks the store before it orders anything.
/// - A controller gives grants only shortly after the store, or most of the voters in its record, confirmed it. Voters
///   that know of a later term confirm it no more, so a later controller learns from most of them when it has stopped.
class RangeControl
{
public:
    using Effects = std::vector<ControlEffect>;

    RangeControl(std::string service, DaemonIdentity self, Time now, OwnershipTiming timing = {});

    Effects handle(const ControlEvent &event, Time now);

    bool isController() const noexcept { return m_role == Role::Controller; }
    /// Whether it was told to stop and nothing depends on it any more.
    bool isStopped() const noexcept { return m_isStopping && m_role != Role::Controller; }
    std::uint64_t term() const noexcept { return m_term; }
    /// The owners as last announced by this daemon.
    RangeOwners owners() const;

private:
    enum class Role { Follower, Claiming, Controller };

    enum class Phase {
        Granting, ///< Recorded for its owner, which hasn't confirmed this controller's grant yet.
        Held,
        Releasing, ///< The owner was told to let go.
        Lapsing, ///< The owner is lost; its lease may still run.
        Free, ///< Nobody holds it, certainly.
    };

    struct Entry
    {
        OwnedRange owned;
        std::uint64_t firstFence = 0; ///< Of the first grant to this life of the owner; later ones renew it.
        bool needsFence = false; ///< An order was lost: another life may answer the next one.
        Phase phase = Phase::Free;
        bool isInherited = false; ///< Recorded by an earlier controller, not confirmed yet.
        Time mayHoldUntil = 0ms; ///< The owner's lease has ended by then.
        Time nextOrder = 0ms;
        Time lastOrder = 0ms;
        Time unansweredSince = 0ms; ///< 0: the last order was answered.
        Time releaseEnd = 0ms;
        std::string handover; ///< From the last holder, for the next.
        std::string destination; ///< Who gets the range next; empty: to be chosen.
        bool isBeingWritten = false; ///< The write under way records it for `destination`.
        std::uint32_t refusedConnections = 0; ///< In a row.
    };

    struct OpenOrder
    {
        bool isRelease = false;
        TargetIdentity target;
        KeyRange range;
        std::uint64_t fence = 0;
        Time holdBefore = 0ms; ///< The entry's bound before this order, for one that never left.
    };

    void on(const ControlTick &);
    void on(const OwnershipRead &event);
    void on(const OwnershipCallFailed &event);
    void on(const OwnershipWritten &event);
    void on(const OwnershipConflict &event);
    void on(const ControlBeat &event);
    void on(const ControlAck &event);
    void on(const ControlResigned &event);
    void on(const ControlTargets &event);
    void on(const ControlPeers &event);
    void on(const OrderEnded &event);
    void on(const KeyLoadReport &event);
    void on(const KeyRefused &event);
    void on(const ControlStop &);

    // Role.
    void considerClaim();
    void claim(const std::optional<OwnershipRecord> &record, std::uint64_t revision);
    void startControl();
    void stepDown(const std::string &why);
    void followerSees(const OwnershipRecord &record, std::uint64_t revision);
    bool isOwn(const OwnershipRecord &record) const noexcept;
    void takeOwnWrite(const OwnershipRecord &record, std::uint64_t revision);
    std::size_t rank() const;
    bool isLifeOver(const DaemonIdentity &life) const;
    /// When most of `voters` last confirmed this daemon, by the sending time of the beat.
    Time confirmedByMost(const std::vector<DaemonIdentity> &voters) const;
    bool hasAuthority() const;
    std::vector<DaemonIdentity> chooseVoters() const;
    bool areVotersWorn() const;
    void settlePredecessors();
    std::set<std::string> askedDaemons() const;
    /// Whether the store has named this daemon since its last pause.
    bool isConfirmed() const noexcept { return m_confirmedAt >= m_confirmFrom; }
    void beatIfDue();
    void confirmIfDue();

    // Ranges. In rangecontrol_ranges.cpp.
    void driveRanges();
    void drive(Entry &entry);
    void sendGrant(Entry &entry);
    void startRelease(Entry &entry, const std::string &destination);
    void startLapse(Entry &entry, const std::string &why);
    void setFree(Entry &entry, std::string handover);
    void writeIfDue();
    void chooseDestinations();
    OwnershipRecord recordToWrite();
    void applyWritten();
    void adoptLaterLife(Entry &entry, const RegisteredTarget &target);
    void finishGrant(Entry &entry, const OpenOrder &order, OrderEndKind end);
    void finishRelease(Entry &entry, const OrderEnded &event);
    void planIfDue();
    void split(const KeyRange &part);
    void mergeNeighbours();
    void initialRanges(const std::vector<RegisteredTarget> &ready);
    std::vector<RegisteredTarget> readyTargets() const;
    const RegisteredTarget *findTarget(const std::string &id) const;
    std::vector<RangeCandidate> candidates() const;
    std::map<std::string, double> use() const;
    std::uint64_t nextFence() noexcept { return m_term * fencesPerTerm + ++m_fenceCount; }
    /// From the sending of a grant to the end of the lease, at most; `lease` as given.
    Duration longestHold(Duration lease) const noexcept;
    Duration longestInheritedLease() const noexcept;
    Duration leaseForTargets() const noexcept;
    bool hasOpenGrant(const Entry &entry) const;
    std::string addressOf(const std::string &target) const;
    void announceIfChanged();
    void note(std::uint32_t event, std::string detail);

    /// Grants and releases that a controller may give in one term.
    static constexpr std::uint64_t fencesPerTerm = 1'000'000;

    std::string m_service;
    DaemonIdentity m_self;
    OwnershipTiming m_timing;
    Time m_now = 0ms;
    Effects m_effects;

    Role m_role = Role::Follower;
    std::uint64_t m_term = 0; ///< Highest known.
    std::string m_controller; ///< Of that term.
    std::uint64_t m_heardSequence = 0;
    Time m_heardAt = 0ms; ///< Last beat of the controller.
    bool m_isControllerLeaving = false;
    Duration m_controllerStoreAge = 0ms;
    Time m_nextClaim = 0ms;
    std::vector<PeerDaemon> m_peers;
    std::uint32_t m_ownLinkMbps = 0;
    std::map<std::string, RegisteredTarget> m_targets;
    Time m_targetsChangedAt = 0ms; ///< When a target last joined.
    std::map<std::string, std::string> m_addresses; ///< Last known, of targets that have left too.
    std::map<std::string, Time> m_avoidUntil; ///< Targets that just didn't answer: they get no new ranges until then.

    // Of the controller.
    OwnershipRecord m_written; ///< As in the store, when this daemon last controlled the service.
    std::uint64_t m_resignedTo = 0; ///< Latest term whose controller was told that this one has ended.
    OwnershipRecord m_pending; ///< In the write under way.
    std::uint64_t m_revision = 0;
    bool m_isStopping = false;
    std::vector<PastController> m_unsettled; ///< Predecessors not known to have stopped.
    std::map<std::string, ControlAck> m_acks; ///< Latest of each daemon.
    Time m_startedAt = 0ms;
    Time m_nextVoters = 0ms;
    bool m_isVoterWriteOpen = false; ///< The voters of m_pending may stand in the store.
    bool m_isWriting = false;
    bool m_isReading = false;
    Time m_nextRead = 0ms;
    Time m_nextWrite = 0ms;
    Time m_confirmedAt = 0ms; ///< The store is known to have named this daemon after this time.
    Time m_confirmFrom = 0ms; ///< End of the last pause of this process.
    Time m_nextBeat = 0ms;
    Time m_nextPlan = 0ms;
    Time m_inheritedUntil = 0ms; ///< Leases of earlier controllers have ended by then.
    std::uint64_t m_fenceCount = 0;
    std::uint64_t m_nextOrder = 1;
    std::vector<Entry> m_entries; ///< In order, without gaps; empty before the first assignment.
    std::map<std::uint64_t, OpenOrder> m_orders;
    KeyLoad m_load;
    TargetSpeeds m_speeds;
    std::uint64_t m_sequence = 0;
    Time m_nextAnnouncement = 0ms;
    std::vector<RoutedRange> m_announced;
};

} // namespace sardinehinge::core
