#pragma once

#include <sardinehinge/core/balancing/coldtargets.h>
#include <sardinehinge/core/gatewayconfig.h>
#include <sardinehinge/core/gatewayrouter.h>
#include <sardinehinge/core/membership/evacuations.h>
#include <sardinehinge/core/rangecontrol.h>
#include <sardinehinge/core/target.h>
#include <sardinehinge/http/client.h>
#include <sardinehinge/http/message.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

/// The gateway's edges to a hosting platform: where configuration, targets and ownership records come from, how targets
/// are ordered, and which headers requests carry. Implementations translate names and formats; they decide nothing.
/// All are used on the thread of the io_context that they were made for, and answer there.
namespace sardinehinge::edges {

/// How a call to the platform's store ended.
enum class StoreOutcome {
    Ok,
    Missing, ///< There is no such object.
    Conflict, ///< The object has another revision, or exists already.
    HistoryGone, ///< Changes since the given revision are no longer known: list again.
    Refused, ///< The store answered that nothing was done.
    Lost, ///< No answer: a write may have been done, or may yet be done.
};

/// One object of a feed.
template<typename Value>
struct FeedEntry
{
    std::string name;
    std::optional<Value> value; ///< Nothing when it was deleted or can't be read.
    std::string fault; ///< Why it can't be read.
};

/// A part of a list, or the changes since a revision.
template<typename Value>
struct FeedPage
{
    StoreOutcome outcome = StoreOutcome::Lost;
    std::vector<FeedEntry<Value>> entries;
    std::uint64_t revision = 0; ///< Of the store: changes from here on are still to come.
    bool hasMore = false;
    std::string detail;
    core::StoreEra era = 0; ///< Of the revision.
    std::string source = {}; ///< A watch's answer as the store wrote it, for Feed::read() on another daemon.
};

/// Objects of one kind in the platform's store.
template<typename Value>
class Feed
{
public:
    using Callback = std::function<void(FeedPage<Value>)>;

    Feed() = default;
    Feed(const Feed &) = delete;
    Feed &operator=(const Feed &) = delete;
    virtual ~Feed() = default;

    /// Objects whose names follow `after`.
    virtual void list(const std::string &after, Callback done) = 0;
    /// Changes since `revision`, as soon as there are any; an empty page after `wait`.
    virtual void watch(std::uint64_t revision, core::Duration wait, Callback done) = 0;
    /// Reads FeedPage::source of another daemon's watch. The outcome isn't Ok if it can't be read.
    virtual FeedPage<Value> read(const std::string &) const { return {}; }
};

/// An ownership record and its revision.
struct OwnershipReply
{
    StoreOutcome outcome = StoreOutcome::Lost;
    std::optional<core::OwnershipRecord> record; ///< With Ok and Conflict.
    std::uint64_t revision = 0;
    std::string detail;
    core::StoreEra era = 0; ///< Of the revision.
};

class OwnershipStore
{
public:
    using Callback = std::function<void(OwnershipReply)>;

    OwnershipStore() = default;
    OwnershipStore(const OwnershipStore &) = delete;
    OwnershipStore &operator=(const OwnershipStore &) = delete;
    virtual ~OwnershipStore() = default;

    virtual void read(const std::string &service, Callback done) = 0;
    /// Writes if the object's revision is `expected`; 0 creates it.
    virtual void write(const std::string &service, const core::OwnershipRecord &record, std::uint64_t expected,
                       Callback done)
        = 0;
};

class PeerRegistry : public Feed<core::PeerDaemon>
{
public:
    /// As list(), but the answer may be some seconds old, which costs the store less.
    virtual void listOutdated(const std::string &after, Callback done) { list(after, std::move(done)); }
    /// Enters this daemon. With an incarnation of 0 it is a new one: the reply's is larger than that of every earlier
    /// life under the same id. Otherwise the entry is written again under that incarnation, if the store has lost it.
    virtual void enter(const core::PeerDaemon &self, std::function<void(StoreOutcome, std::uint64_t incarnation)> done)
        = 0;
};

class RangeOrders
{
public:
    /// The end of an order; `handover` comes with an accepted release. `notice`: what the target said of itself.
    using Callback
        = std::function<void(core::OrderEndKind end, std::string handover, const core::TargetNotice &notice)>;

    RangeOrders() = default;
    RangeOrders(const RangeOrders &) = delete;
    RangeOrders &operator=(const RangeOrders &) = delete;
    virtual ~RangeOrders() = default;

    virtual void send(const core::RangeOrder &order, Callback done) = 0;
    /// Opens one more connection to a target's address, for grants.
    virtual void connect(const std::string &address, std::function<void(bool isOpen)> done) = 0;
};

/// What a caller's request says to the gateway.
struct CallerHead
{
    std::string requestId; ///< Names this request in logs, here and at the target.
    core::GatewayRequest request; ///< Without its id.

    bool operator==(const CallerHead &) const = default;
};

/// The headers by which callers, the gateway and targets understand each other.
class RequestDialect
{
public:
    RequestDialect() = default;
    RequestDialect(const RequestDialect &) = delete;
    RequestDialect &operator=(const RequestDialect &) = delete;
    virtual ~RequestDialect() = default;

    virtual CallerHead readHead(const http::Request &request) const = 0;
    /// The request as it goes to a target, and how.
    virtual http::Request forTarget(const http::Request &request, const core::SendToTarget &send) const = 0;
    virtual http::ExchangeOptions options(const http::Request &request, const core::SendToTarget &send) const = 0;
    /// What an exchange with a target means for its request.
    virtual core::GatewayAttemptEnd readEnd(const http::ExchangeResult &end) const = 0;
    /// A target's answer as it goes to the caller.
    virtual http::Response forCaller(http::Response response, const http::Request &request) const = 0;
    /// Adds what every answer of ours carries for `request`.
    virtual http::Response ownAnswer(http::Response response, const http::Request &request) const = 0;
};

/// What the platform tells a daemon about itself and its bounds.
struct GatewaySettings
{
    std::string id;
    std::string failureDomain;
    std::string callerAddress;
    std::string readyAddress;
    std::string peerAddress; ///< UDP.
    std::string metricsAddress;
    std::string storeAddress;
    std::size_t daemons = 1; ///< Least number that is assumed to share the retry allowance.
    core::RetryAllowance retries;
    core::Duration changeBound = std::chrono::seconds(2); ///< From a configuration's storing to its effect everywhere.
    core::Duration drainBound = std::chrono::seconds(2); ///< From a target's leaving to its last new request.
    /// From the acknowledgement of an evacuation to the last request to its targets; std::nullopt: this deployment has
    /// no evacuations.
    std::optional<core::Duration> evacuationBound = std::nullopt;
    core::ColdAllowance coldTargets;
    core::Duration stopTime = std::chrono::seconds(6); ///< From the signal to stop to the end of the process.
    core::Duration longestLease = std::chrono::seconds(10); ///< That targets accept.
    std::uint64_t memoryBytes = 256ULL << 20;
    std::uint64_t heldBytes = 0; ///< For what callers and targets make the process hold; 0: follows from the memory.
    std::uint32_t linkMbps = 0; ///< Bandwidth of this instance's link; 0: not said.
    std::size_t descriptors = 4096;
    bool adaptsSpill = false; ///< Whether the load decides what leaves the failure domain, or a fixed cost factor.
    double crossingPrice = core::SpillParameters().crossingPrice;
    bool isFirstStart = false; ///< No daemon of this deployment has run before.

    bool operator==(const GatewaySettings &) const = default;
};

/// All edges of one platform.
class GatewayPlatform
{
public:
    GatewayPlatform() = default;
    GatewayPlatform(const GatewayPlatform &) = delete;
    GatewayPlatform &operator=(const GatewayPlatform &) = delete;
    virtual ~GatewayPlatform() = default;

    virtual Feed<core::GatewayConfig> &configs() = 0;
    virtual Feed<core::RegisteredTarget> &targets() = 0;
    /// Entries are named after the failure domain.
    virtual Feed<core::Evacuation> &evacuations() = 0;
    virtual PeerRegistry &peers() = 0;
    virtual OwnershipStore &ownership() = 0;
    virtual RangeOrders &orders() = 0;
};

} // namespace sardinehinge::edges
