#include <sardinehinge/core/gatewayconfig.h>

#include <algorithm>
#include <cctype>
#include <numeric>

namespace sardinehinge::core {

namespace {

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

} // namespace

RouteTable::RouteTable(const GatewayConfig &config)
{
    for (const RouteRule &route : config.routes)
        m_byHost[lowerCase(route.host)].push_back(route);
    for (auto &[host, routes] : m_byHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const RouteRule &left, const RouteRule &right) {
            return left.prefix.size() > right.prefix.size();
        });
    }
}

const RouteRule *RouteTable::find(std::string_view host, std::string_view path) const noexcept
{
    const auto colon = host.rfind(':');
    const bool hasPort = colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos;
    const auto routes = m_byHost.find(lowerCase(host.substr(0, hasPort ? colon : host.size())));
    if (routes == m_byHost.end())
        return nullptr;
    for (const RouteRule &route : routes->second) {
        if (path.starts_with(route.prefix))
            return &route;
    }
    return nullptr;
}

std::size_t WeightedRoundRobin::next(const std::vector<WeightedService> &services)
{
    m_currentWeights.resize(services.size(), 0);
    std::int64_t sum = 0;
    std::size_t best = 0;
    bool found = false;
    for (std::size_t index = 0; index < services.size(); ++index) {
        if (services[index].weight == 0)
            continue;
        m_currentWeights[index] += services[index].weight;
        sum += services[index].weight;
        if (!found || m_currentWeights[index] > m_currentWeights[best])
            best = index;
        found = true;
    }
    if (found)
        m_currentWeights[best] -= sum;
    return best;
}

} // namespace sardinehinge::core
