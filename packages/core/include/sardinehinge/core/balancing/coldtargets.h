#pragma once

#include <sardinehinge/core/gatewayconfig.h>
#include <sardinehinge/core/target.h>
#include <sardinehinge/core/types.h>

#include <map>
#include <string>
#include <vector>

namespace sardinehinge::core {

/// What a deployment's settings allow a cold target: in any second, `overage` times its service's rate while cold, and
/// `slack` requests.
struct ColdAllowance
{
    double overage = 1;
    double slack = 0;

    bool operator==(const ColdAllowance &) const = default;
};

/// Returns the rate at which permits for a cold target are given out, so that any second stays within the allowance,
/// but not above `rate`, the requests a second that the target is known to bear.
///
/// In one second, a coordinator's permits allow at most 1.5 times the rate: those of the second, those saved up before
/// it, and those used late (PermitAllocator::burstTime, permitLifetime, 250 ms each). While coordinators change, a
/// second one gives out half as much (PermitBroker::standInShare).
double coldPermitRate(double rate, const ColdAllowance &allowance) noexcept;

/// Knows which targets are cold and says so in their entries: until it has warmed up, each request to such a target
/// needs a permit at `RegisteredTarget::coldRate`. Applies to services whose configuration names a rate. Does no I/O.
///
/// A target says in its entry how long it stays cold. After the end of an evacuation its entry may say so too late, so
/// the targets of that failure domain count as cold for the whole time from then.
class ColdTargets
{
public:
    explicit ColdTargets(const ColdAllowance &allowance = {})
        : m_allowance(allowance)
    {
    }

    /// Returns whether this changes entries.
    bool setServices(const std::vector<BackendService> &services);
    void evacuationEnded(const std::string &domain, Time now);
    /// Returns the rate of permits for the service's cold targets; 0: they need none.
    double permitRate(const std::string &service) const noexcept;
    std::vector<RegisteredTarget> mark(std::vector<RegisteredTarget> targets, Time now) const;

private:
    struct Warmup
    {
        Duration time = 0ms;
        double rate = 0;

        bool operator==(const Warmup &) const = default;
    };

    ColdAllowance m_allowance;
    std::map<std::string, Warmup> m_warmups; ///< By service, with the rate of permits.
    std::map<std::string, Time> m_returnedAt; ///< End of the latest evacuation, by failure domain.
};

} // namespace sardinehinge::core
