#include <sardinehinge/core/balancing/coldtargets.h>

#include <sardinehinge/core/ratepermits.h>

#include <algorithm>

namespace sardinehinge::core {

double coldPermitRate(double rate, const ColdAllowance &allowance) noexcept
{
    const double overrun = std::chrono::duration<double>(1s + PermitAllocator::burstTime + permitLifetime).count();
    const double worst = overrun * (1 + PermitBroker::standInShare);
    return std::min(rate, ((rate * allowance.overage) + allowance.slack) / worst);
}

bool ColdTargets::setServices(const std::vector<BackendService> &services)
{
    std::map<std::string, Warmup> warmups;
    for (const BackendService &service : services) {
        if (service.warmupRate > 0)
            warmups[service.name] = {service.warmupTime, coldPermitRate(service.warmupRate, m_allowance)};
    }
    if (warmups == m_warmups)
        return false;
    m_warmups = std::move(warmups);
    return true;
}

void ColdTargets::evacuationEnded(const std::string &domain, Time now)
{
    static constexpr Duration retention = std::chrono::minutes(10); ///< Longer than any target stays cold.
    std::erase_if(m_returnedAt, [now](const auto &entry) { return now - entry.second > retention; });
    m_returnedAt[domain] = now;
}

double ColdTargets::permitRate(const std::string &service) const noexcept
{
    const auto found = m_warmups.find(service);
    return found == m_warmups.end() ? 0 : found->second.rate;
}

std::vector<RegisteredTarget> ColdTargets::mark(std::vector<RegisteredTarget> targets, Time now) const
{
    for (RegisteredTarget &target : targets) {
        const auto warmup = m_warmups.find(target.service);
        if (warmup == m_warmups.end())
            continue;
        target.coldRate = warmup->second.rate;
        if (const auto returned = m_returnedAt.find(target.failureDomain); returned != m_returnedAt.end())
            target.warmupLeft = std::max(target.warmupLeft, returned->second + warmup->second.time - now);
    }
    return targets;
}

} // namespace sardinehinge::core
