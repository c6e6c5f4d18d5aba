#pragma once

#include "dutymessages.h"
#include "operations.h"
#include "snapshot.h"

#include <sardinehinge/daemon/eventlog.h>
#include <sardinehinge/daemon/ring.h>
#include <sardinehinge/daemon/worker.h>

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <random>

namespace sardinehinge::daemon {

/// Where the control duty sends what its decision cores decide.
struct ControlOutlets
{
    std::function<bool(ControlToRouting)> toRouting;
    std::function<bool(ToPeers)> toPeers;
    std::function<bool(ToPlatform)> toPlatform;
    std::function<bool(OutgoingOrder)> toOrders;
    std::function<void(bool)> setReady;
};

/// Runs core::DocumentReplicator and one core::ControlGroup for each service with keys, and serves operators'
/// operations.
class ControlDuty
{
public:
    ControlDuty(core::DaemonIdentity self, std::uint64_t seed, EventLog &events, ControlOutlets outlets);
    ~ControlDuty();

    void start();
    void stop() { m_worker.stop(); }

    Ring<IncomingMessage> &fromPeers() noexcept { return m_fromPeers; }
    Ring<FromPlatform> &fromPlatform() noexcept { return m_fromPlatform; }
    Ring<OrderOutcome> &fromOrders() noexcept { return m_fromOrders; }
    Ring<RoutingToControl> &fromRouting() noexcept { return m_fromRouting; }
    Ring<ToControl> &fromOperators() noexcept { return m_fromOperators; }
    Worker &worker() noexcept { return m_worker; }

    /// The latest summary for operators. Safe to call from every thread.
    std::shared_ptr<const Snapshot> snapshot() const;
    OperationTable &operations() noexcept { return m_operations; }

private:
    struct Group
    {
        core::ServiceId service;
        core::ControlGroup logic;
        core::Time lastTick{};
    };

    /// A store write of a control group, by its attempt id.
    struct GroupWrite
    {
        core::ServiceId service;
        bool isRecord = false;
    };

    /// An operator's question which revision is in force everywhere.
    struct InForceCheck
    {
        std::string operation;
        std::string document;
        std::uint64_t revision = 0;
        std::map<std::string, std::uint64_t> seen; ///< Revision by daemon.
        core::Time lastAsked{};
        core::Time startedAt{};
    };

    template<typename T, typename Take>
    std::function<void()> drainer(Ring<T> &ring, Take take);

    void take(const IncomingMessage &message);
    void take(const FromPlatform &message);
    void take(const OrderOutcome &outcome);
    void take(const RoutingToControl &message);
    void take(const ToControl &message);

    void onPlatform(const ObjectRead &message);
    void onPlatform(const ObjectWritten &message);
    void finishApply(const std::string &workspace, const ObjectWritten &message);
    void onPlatform(const VersionsRead &message);
    void onPlatform(const ObjectsWatched &message);
    void onPlatform(const ListRead &message);
    void onPlatform(const PlatformFailed &message);
    void onOperator(const ApplyWorkspace &command);
    void onOperator(const CheckInForce &query);
    void onOperator(const ShowHistory &query);
    void onOperator(const Resign &command);

    void tick();
    void armTimer();
    void runDocuments(const core::DocumentEvent &event);
    void act(core::DocumentReplicator::Effects effects);
    void documentAdvanced(const core::Document &document);
    void workspaceAdvanced(const core::Document &document);
    void recordAdvanced(const core::Document &document);
    void assignmentAdvanced(const core::Document &document);
    void instancesAdvanced(const core::Document &document);
    void runGroup(Group &group, const core::ControlEvent &event);
    void act(Group &group, const core::ControlEffect &effect);
    void writeForGroup(const core::ServiceId &service, bool isRecord, const std::string &body, std::uint64_t expected);
    void updateGroups(const core::WorkspaceSpec &spec);
    Group *groupOf(const std::string &name);
    void sendPeer(const std::string &to, const core::PeerMessage &message);
    void sendRouting(ControlToRouting message);
    void answerRevision(const core::DaemonIdentity &from, const core::RevisionQuery &query);
    void noteRevision(const core::DaemonIdentity &from, const core::RevisionReply &reply);
    void askRevisions();
    void updateCheck(std::uint64_t token, InForceCheck &check);
    std::uint64_t revisionInForce(const std::string &document) const;
    std::string newAttempt();
    void publishSnapshot();

    core::DaemonIdentity m_self;
    EventLog &m_events;
    ControlOutlets m_outlets;
    std::mt19937_64 m_random;
    core::LeaseTiming m_timing;
    Worker m_worker{"control"};
    boost::asio::steady_timer m_timer;
    core::DocumentReplicator m_documents;
    core::InstanceView m_view;
    std::map<std::string, core::WorkspaceSpec> m_workspaces;
    std::map<std::string, std::uint64_t> m_inForce; ///< Revision by workspace, as confirmed by the routing duty.
    std::map<std::string, std::unique_ptr<Group>> m_groups; ///< By `workspace/service`.
    std::map<std::string, GroupWrite> m_groupWrites; ///< By attempt.
    std::map<std::string, std::string> m_operatorWrites; ///< Workspace by attempt.
    std::map<std::uint64_t, InForceCheck> m_checks; ///< By token.
    std::deque<ControlToRouting> m_routingBacklog;
    std::deque<core::PeerMessage> m_toSelf;
    OperationTable m_operations;
    Ring<IncomingMessage> m_fromPeers;
    Ring<FromPlatform> m_fromPlatform;
    Ring<OrderOutcome> m_fromOrders;
    Ring<RoutingToControl> m_fromRouting;
    Ring<ToControl> m_fromOperators;
    std::uint64_t m_nextAttempt = 1;
    std::uint64_t m_nextToken = 1;
    core::Time m_lastSnapshot{};
    bool m_isInSync = false; ///< Holds what the store or a peer holds.
    bool m_isResigned = false;
    mutable std::mutex m_snapshotMutex;
    std::shared_ptr<const Snapshot> m_snapshot = std::make_shared<Snapshot>();
};

} // namespace sardinehinge::daemon
