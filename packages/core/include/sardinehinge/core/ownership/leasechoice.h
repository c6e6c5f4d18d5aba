#pragma once

#include <sardinehinge/core/gatewayconfig.h>
#include <sardinehinge/core/rangecontrol.h>

#include <string>

/// How long the leases of a sharded service's keys last, from what its requests need.
namespace sardinehinge::core {

/// Returns the longest time that the configuration allows a request to the service; 0 if no route of the service limits
/// it. A route's own time counts for each service that it may go to.
Duration longestRequestTime(const GatewayConfig &config, const std::string &service);

/// Returns the timing for a service whose requests last up to `requestTime`.
///
/// A target fails work that outlasts the lease under which it began, although the lease is renewed meanwhile. A lease
/// is renewed after a quarter of it, so what is left of it at any time is at least three quarters. The lease is chosen
/// so that a request fits into those, up to OwnershipTiming::maxLease. In exchange the keys of a target that is lost in
/// silence stay unavailable for longer.
OwnershipTiming timingForRequests(Duration requestTime, OwnershipTiming timing = {});

} // namespace sardinehinge::core
