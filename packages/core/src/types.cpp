#include <sardinehinge/core/leasetiming.h>
#include <sardinehinge/core/result.h>
#include <sardinehinge/core/types.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace sardinehinge::core {

namespace {

constexpr Duration clockReadingMargin = 5ms;

} // namespace

const char *errorCodeName(ErrorCode code) noexcept
{
    static constexpr std::array names = {
        "bad_request",        "bad_setting",   "bad_document",     "unknown_workspace", "unknown_service",
        "missing_key",        "shutting_down", "no_owner",         "overloaded",        "deadline_exceeded",
        "target_unreachable", "answer_lost",   "answer_truncated", "lease_lost",        "store_unavailable",
        "revision_conflict",  "not_found",     "internal",
    };
    const auto index = static_cast<std::size_t>(code);
    return index < names.size() ? names[index] : "internal";
}

std::string toString(const ServiceId &id)
{
    return id.workspace + "/" + id.service;
}

const Instance *findInstance(const InstanceView &view, const std::string &id) noexcept
{
    const auto found = std::find_if(view.instances.begin(), view.instances.end(),
                                    [&id](const Instance &instance) { return instance.id == id; });
    return found == view.instances.end() ? nullptr : &*found;
}

std::vector<Instance> liveDaemons(const InstanceView &view)
{
    std::vector<Instance> daemons;
    std::copy_if(view.instances.begin(), view.instances.end(), std::back_inserter(daemons),
                 [](const Instance &instance) { return instance.kind == InstanceKind::Daemon && !instance.leaving; });
    return daemons;
}

std::vector<Instance> targetsOf(const InstanceView &view, const ServiceId &service)
{
    const std::string name = toString(service);
    std::vector<Instance> targets;
    std::copy_if(view.instances.begin(), view.instances.end(), std::back_inserter(targets),
                 [&name](const Instance &instance) {
                     return instance.kind == InstanceKind::Target && instance.service == name;
                 });
    return targets;
}

Duration withDrift(const LeaseTiming &timing, Duration length) noexcept
{
    const auto drift = static_cast<Duration::rep>(static_cast<double>(length.count()) * timing.maxClockDrift);
    return length + Duration(drift) + clockReadingMargin;
}

} // namespace sardinehinge::core
