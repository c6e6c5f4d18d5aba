#pragma once

#include <sardinehinge/core/messages.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace sardinehinge::standins {

/// A change in what a target holds, for the history of a run. Times are the target's clock in nanoseconds.
struct HoldChange
{
    enum class Kind { Granted, Extended, Dropped };
    Kind kind = Kind::Granted;
    std::string group;
    core::ShardEpoch shard;
    std::int64_t at = 0;
    std::int64_t until = 0; ///< End of the lease; for Dropped, when it ended.
};

/// The grants that one life of a target holds, and the rules by which it takes orders.
///
/// Pure: the clock is given. A target that checks fences refuses orders with an old term, an old sequence or another
/// life's incarnation, counts leases from the echoed clock reading, and never revives a grant by renewal. One that
/// doesn't takes every order from anyone and counts leases from its receipt.
class GrantBook
{
public:
    using Listener = std::function<void(const HoldChange &)>;

    GrantBook(std::uint64_t incarnation, bool checksFences, Listener listener = {});

    core::TargetReport handle(const core::TargetOrder &order, std::int64_t clock);

    /// Whether a request for the shard may start: the grant holds and is not being released.
    bool mayStart(const std::string &group, core::ShardEpoch shard, std::int64_t clock);
    /// Whether the grant still holds, also while it is being released.
    bool holds(const std::string &group, core::ShardEpoch shard, std::int64_t clock);
    void begin(const std::string &group, core::ShardEpoch shard);
    void end(const std::string &group, core::ShardEpoch shard, std::int64_t clock);

private:
    struct Grant
    {
        std::uint64_t epoch = 0;
        std::int64_t until = 0;
        bool isReleasing = false;
        std::uint32_t inProgress = 0;
    };

    struct Group
    {
        std::uint64_t term = 0;
        std::uint64_t sequence = 0;
        std::map<std::uint32_t, Grant> grants; ///< By shard.
        std::map<std::uint32_t, std::uint64_t> highestEpoch;
    };

    void expire(const std::string &name, Group &group, std::int64_t clock);
    void obey(const core::TargetOrder &order, Group &group, std::int64_t clock);
    void drop(const std::string &name, Group &group, std::uint32_t shard, std::int64_t at);
    void tell(HoldChange::Kind kind, const std::string &group, core::ShardEpoch shard, std::int64_t at,
              std::int64_t until);

    std::uint64_t m_incarnation;
    bool m_checksFences;
    Listener m_listener;
    std::map<std::string, Group> m_groups;
};

} // namespace sardinehinge::standins
