#pragma once

#include <sardinehinge/core/types.h>
#include <sardinehinge/edges/objectstore.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sardinehinge::standins {

/// Faults that the platform stand-in shows on demand.
struct PlatformFaults
{
    bool isDown = false; ///< Connections are closed without an answer.
    int slowMs = 0; ///< Each answer waits this long.
    int droppedWriteAnswers = 0; ///< So many writes take effect and get no answer.
    int listLagMs = 0; ///< The instance list shows the state of that long ago.
    int staleReads = 0; ///< So many reads show the version before the latest.
};

/// The objects and the instance list of the platform stand-in.
class PlatformState
{
public:
    /// The object; nothing when it doesn't exist.
    std::optional<edges::StoredObject> read(const std::string &name, bool isStale) const;
    /// The new revision, or nothing when the condition doesn't hold.
    std::optional<std::uint64_t> write(const std::string &name, const std::string &bytes, std::uint64_t expected);
    std::vector<edges::StoredObject> changedAfter(std::uint64_t revision) const;
    std::vector<edges::StoredObject> versions(const std::string &name) const;
    std::uint64_t revision() const noexcept { return m_revision; }

    void putInstance(const core::Instance &instance, core::Time now);
    void removeInstance(const std::string &id, core::Time now);
    /// The list as it was `lag` before `now`.
    core::InstanceView instances(core::Time now, core::Duration lag) const;

private:
    void keepView(core::Time now);

    std::uint64_t m_revision = 0;
    std::map<std::string, std::vector<edges::StoredObject>> m_objects; ///< Versions, oldest first.
    std::map<std::string, core::Instance> m_instances;
    std::deque<std::pair<core::Time, core::InstanceView>> m_views; ///< By the time they came into force.
    std::uint64_t m_listVersion = 0;
};

} // namespace sardinehinge::standins
