#include <sardinehinge/core/membership/changetiming.h>

#include <catch2/catch.hpp>

using namespace sardinehinge::core;
using namespace std::chrono_literals;

namespace {

/// A new connection, the store's answer, and the configuration's bytes on the link.
Duration callTime(std::size_t routes, std::uint32_t linkMbps)
{
    constexpr std::size_t bytesPerRoute = 220; // With a host of its own, as the platform writes it.
    constexpr Duration connectionAndAnswer = 10ms;
    const double seconds = static_cast<double>(routes * bytesPerRoute * 8) / (linkMbps * 1e6);
    return connectionAndAnswer + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

TEST_CASE("The longest ways of a configuration to a daemon end within the bound")
{
    const Duration bound = GENERATE(values<Duration>({2s, 2500ms, 3s}));
    const std::size_t daemons = GENERATE(11, 90, 295, 11000);
    const std::size_t routes = GENERATE(20, 200, 1700);
    const std::uint32_t linkMbps = GENERATE(10, 20, 200);
    CAPTURE(bound.count(), daemons, routes, linkMbps);
    const RosterTiming timing = RosterTiming::forBound(bound);
    const Duration call = callTime(routes, linkMbps);
    CHECK(longestWayWithoutNotice(timing, call) <= bound);
    CHECK(longestWayByNotice(timing, daemons, 2, call) <= bound);
}
