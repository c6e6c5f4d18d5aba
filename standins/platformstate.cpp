#include "platformstate.h"

#include <algorithm>

namespace sardinehinge::standins {

namespace {

constexpr std::size_t keptVersions = 50;
constexpr std::size_t keptViews = 500;

} // namespace

std::optional<edges::StoredObject> PlatformState::read(const std::string &name, bool isStale) const
{
    const auto found = m_objects.find(name);
    if (found == m_objects.end())
        return std::nullopt;
    const auto &all = found->second;
    if (isStale && all.size() < 2)
        return std::nullopt;
    return isStale ? all[all.size() - 2] : all.back();
}

std::optional<std::uint64_t> PlatformState::write(const std::string &name, const std::string &bytes,
                                                  std::uint64_t expected)
{
    auto &all = m_objects[name];
    const std::uint64_t present = all.empty() ? 0 : all.back().revision;
    if (present != expected) {
        if (all.empty())
            m_objects.erase(name);
        return std::nullopt;
    }
    all.push_back({name, ++m_revision, bytes});
    if (all.size() > keptVersions)
        all.erase(all.begin());
    return m_revision;
}

std::vector<edges::StoredObject> PlatformState::changedAfter(std::uint64_t revision) const
{
    std::vector<edges::StoredObject> changed;
    for (const auto &[name, all] : m_objects) {
        if (all.back().revision > revision)
            changed.push_back(all.back());
    }
    std::sort(changed.begin(), changed.end(), [](const auto &a, const auto &b) { return a.revision < b.revision; });
    return changed;
}

std::vector<edges::StoredObject> PlatformState::versions(const std::string &name) const
{
    const auto found = m_objects.find(name);
    if (found == m_objects.end())
        return {};
    return {found->second.rbegin(), found->second.rend()};
}

void PlatformState::putInstance(const core::Instance &instance, core::Time now)
{
    m_instances[instance.id] = instance;
    keepView(now);
}

void PlatformState::removeInstance(const std::string &id, core::Time now)
{
    if (m_instances.erase(id) != 0)
        keepView(now);
}

core::InstanceView PlatformState::instances(core::Time now, core::Duration lag) const
{
    core::InstanceView shown;
    for (const auto &[since, view] : m_views) {
        if (since + lag <= now)
            shown = view;
    }
    return shown;
}

void PlatformState::keepView(core::Time now)
{
    core::InstanceView view{++m_listVersion, {}};
    for (const auto &[id, instance] : m_instances)
        view.instances.push_back(instance);
    m_views.emplace_back(now, std::move(view));
    if (m_views.size() > keptViews)
        m_views.pop_front();
}

} // namespace sardinehinge::standins
