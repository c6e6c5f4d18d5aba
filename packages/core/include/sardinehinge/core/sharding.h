#pragma once

#include <sardinehinge/core/workspacespec.h>

#include <cstdint>
#include <string_view>

namespace sardinehinge::core {

/// The shard of `service` that holds `key`: XXH3-64 of the key modulo shardCount, or the range it falls in.
/// Returns 0 for a service without keys. Costs O(key length), or O(log shards) comparisons for ranges.
std::uint32_t shardOf(const ServiceSpec &service, std::string_view key) noexcept;

/// The first and last shard of a service divided by ranges that hold keys in [from, to].
struct ShardRange
{
    std::uint32_t first = 0;
    std::uint32_t last = 0;

    bool operator==(const ShardRange &) const = default;
};

/// The shards that a read from `from` to `to` inclusive must reach.
ShardRange shardsBetween(const ServiceSpec &service, std::string_view from, std::string_view to) noexcept;

/// A rank for (`group`, `member`) that all processes compute alike: the highest-random-weight method
/// (Thaler and Ravishankar, 1998). Smaller ranks come first.
std::uint64_t rendezvousRank(std::string_view group, std::string_view member) noexcept;

} // namespace sardinehinge::core
