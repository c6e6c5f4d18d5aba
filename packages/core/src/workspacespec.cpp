#include <sardinehinge/core/workspacespec.h>

#include <algorithm>
#include <set>

namespace sardinehinge::core {

namespace {

constexpr std::uint32_t maxShards = 1024;
constexpr std::uint32_t maxSlots = 1000;
constexpr std::uint32_t maxConnections = 10'000;
constexpr std::size_t maxNameLength = 63;
constexpr Duration minDeadline = 1ms;
constexpr Duration maxDeadline = 600s;
constexpr Duration minShutdownGrace = 1s;
constexpr Duration maxShutdownGrace = 3600s;

bool isValidName(const std::string &name) noexcept
{
    const auto isAllowed = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; };
    return !name.empty() && name.size() <= maxNameLength && std::all_of(name.begin(), name.end(), isAllowed);
}

/// Collects validation errors, each prefixed with the path of the invalid value.
class ErrorList
{
public:
    void require(bool isValid, const std::string &path, const std::string &rule)
    {
        if (!isValid)
            m_errors.push_back(path + ": " + rule);
    }

    std::vector<std::string> take() { return std::move(m_errors); }

private:
    std::vector<std::string> m_errors;
};

void checkEndpoint(ErrorList &errors, const std::string &path, const EndpointRule &rule)
{
    errors.require(!rule.pathPrefix.empty() && rule.pathPrefix.front() == '/', path + ".pathPrefix",
                   "must start with /");
    errors.require(rule.deadline >= minDeadline && rule.deadline <= maxDeadline, path + ".deadlineMs",
                   "must be from 1 to 600000");
}

void checkDivision(ErrorList &errors, const std::string &path, const ServiceSpec &service)
{
    errors.require(service.shardCount >= 1 && service.shardCount <= maxShards, path + ".shardCount",
                   "must be from 1 to 1024");
    if (service.division == Division::None)
        errors.require(service.shardCount == 1, path + ".shardCount", "must be 1 for a service without keys");
    if (service.division != Division::Ranges) {
        errors.require(service.splits.empty(), path + ".splits", "must be empty unless the division is ranges");
        return;
    }
    errors.require(service.shardCount == service.splits.size() + 1, path + ".shardCount",
                   "must be the number of splits plus 1");
    const bool isAscending = std::adjacent_find(service.splits.begin(), service.splits.end(), std::greater_equal<>())
        == service.splits.end();
    errors.require(isAscending, path + ".splits", "must ascend without repetition");
    errors.require(service.splits.empty() || !service.splits.front().empty(), path + ".splits",
                   "must not contain an empty key");
}

void checkService(ErrorList &errors, const std::string &path, const ServiceSpec &service)
{
    errors.require(isValidName(service.name), path + ".name", "must be 1 to 63 of a-z, 0-9 and -");
    checkDivision(errors, path, service);
    errors.require(service.slotsPerTarget >= 1 && service.slotsPerTarget <= maxSlots, path + ".slotsPerTarget",
                   "must be from 1 to 1000");
    errors.require(service.connectionsPerTarget >= 1 && service.connectionsPerTarget <= maxConnections,
                   path + ".connectionsPerTarget", "must be from 1 to 10000");
    errors.require(service.longSlotsPerTarget <= service.slotsPerTarget, path + ".longSlotsPerTarget",
                   "must not exceed slotsPerTarget");
    std::set<std::string> prefixes;
    for (std::size_t index = 0; index < service.endpoints.size(); ++index) {
        const std::string rulePath = path + ".endpoints[" + std::to_string(index) + "]";
        checkEndpoint(errors, rulePath, service.endpoints[index]);
        errors.require(prefixes.insert(service.endpoints[index].pathPrefix).second, rulePath + ".pathPrefix",
                       "must not repeat");
    }
}

} // namespace

const ServiceSpec *findService(const WorkspaceSpec &spec, const std::string &name) noexcept
{
    const auto found = std::find_if(spec.services.begin(), spec.services.end(),
                                    [&name](const ServiceSpec &service) { return service.name == name; });
    return found == spec.services.end() ? nullptr : &*found;
}

std::vector<std::string> validationErrors(const WorkspaceSpec &spec)
{
    ErrorList errors;
    errors.require(isValidName(spec.name), "name", "must be 1 to 63 of a-z, 0-9 and -");
    errors.require(spec.shutdownGrace >= minShutdownGrace && spec.shutdownGrace <= maxShutdownGrace, "shutdownGraceMs",
                   "must be from 1000 to 3600000");
    errors.require(!spec.services.empty(), "services", "must name at least one service");
    std::set<std::string> names;
    for (std::size_t index = 0; index < spec.services.size(); ++index) {
        const std::string path = "services[" + std::to_string(index) + "]";
        checkService(errors, path, spec.services[index]);
        errors.require(names.insert(spec.services[index].name).second, path + ".name", "must not repeat");
    }
    return errors.take();
}

const EndpointRule &ruleFor(const ServiceSpec &service, const std::string &path) noexcept
{
    static const EndpointRule defaultRule{"/", false, WorkClass::Short, 1s};
    const EndpointRule *best = &defaultRule;
    std::size_t bestLength = 0;
    for (const EndpointRule &rule : service.endpoints) {
        if (path.starts_with(rule.pathPrefix) && rule.pathPrefix.size() > bestLength) {
            best = &rule;
            bestLength = rule.pathPrefix.size();
        }
    }
    return *best;
}

} // namespace sardinehinge::core
