#pragma once

#include <sardinehinge/core/workspacespec.h>

#include <cstdint>
#include <string_view>

namespace sardinehinge::core {

/// Returns the shard of `service` that holds `key`: XXH3-64 of the key modulo shardCount, or the range that contains
/// it. Returns 0 for a service without keys. Costs O(key length), or O(log shards) comparisons for ranges.
std::uint32_t shardOf(const ServiceSpec &service, std::string_view key) noexcept;

/// A contiguous range of shards, both ends inclusive.
struct ShardRange
{
    std::uint32_t first = 0;
    std::uint32_t last = 0;

    bool operator==(const ShardRange &) const = default;
};

/// Returns the shards that hold the keys from `from` to `to` inclusive; all shards unless the service is divided by
/// ranges.
ShardRange shardsBetween(const ServiceSpec &service, std::string_view from, std::string_view to) noexcept;

/// Rendezvous hashing (highest random weight; Thaler and Ravishankar, 1998): a rank for (`group`, `member`) that is the
/// same in every process. Smaller ranks come first.
std::uint64_t rendezvousRank(std::string_view group, std::string_view member) noexcept;

} // namespace sardinehinge::core
