#include <sardinehinge/core/sharding.h>

#include <algorithm>

#include <xxhash.h>

namespace sardinehinge::core {

namespace {

std::uint32_t rangeOf(const ServiceSpec &service, std::string_view key) noexcept
{
    const auto after = std::upper_bound(service.splits.begin(), service.splits.end(), key);
    return static_cast<std::uint32_t>(after - service.splits.begin());
}

} // namespace

std::uint32_t shardOf(const ServiceSpec &service, std::string_view key) noexcept
{
    switch (service.division) {
    case Division::Hash:
        return static_cast<std::uint32_t>(XXH3_64bits(key.data(), key.size()) % service.shardCount);
    case Division::Ranges:
        return rangeOf(service, key);
    case Division::None:
        break;
    }
    return 0;
}

ShardRange shardsBetween(const ServiceSpec &service, std::string_view from, std::string_view to) noexcept
{
    if (service.division != Division::Ranges)
        return {0, service.shardCount - 1};
    return {rangeOf(service, from), rangeOf(service, to)};
}

std::uint64_t rendezvousRank(std::string_view group, std::string_view member) noexcept
{
    return XXH3_64bits_withSeed(member.data(), member.size(), XXH3_64bits(group.data(), group.size()));
}

} // namespace sardinehinge::core
