#include <sardinehinge/core/ownership/leasechoice.h>

#include <algorithm>

namespace sardinehinge::core {

Duration longestRequestTime(const GatewayConfig &config, const std::string &service)
{
    Duration longest{};
    for (const RouteRule &route : config.routes) {
        const bool isForService
            = std::any_of(route.services.begin(), route.services.end(),
                          [&service](const WeightedService &each) { return each.service == service; });
        if (isForService)
            longest = std::max(longest, route.timeout);
    }
    return longest;
}

OwnershipTiming timingForRequests(Duration requestTime, OwnershipTiming timing)
{
    const Duration wanted = requestTime * timing.renewalsPerLease / (timing.renewalsPerLease - 1);
    timing.minLease = std::clamp(wanted, timing.minLease, timing.maxLease);
    return timing;
}

} // namespace sardinehinge::core
