#pragma once

#include <sardinehinge/core/result.h>

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace sardinehinge::daemon {

/// One version of a document in its history.
struct HistoryEntry
{
    std::uint64_t revision = 0;
    std::string author;
    std::string attempt;
};

/// The state of something that an operator asked for and that takes a while.
struct Operation
{
    bool isFinished = false;
    std::optional<core::Error> error;
    std::uint64_t revision = 0; ///< After a write that applied, or of the winner after a conflict.
    std::string winner; ///< Author of the revision that won a conflict.
    std::vector<std::string> inForce; ///< Daemons that confirmed the revision.
    std::vector<std::string> lagging; ///< Daemons in the instance list that have not.
    std::vector<HistoryEntry> history;
};

/// Operations by id, for the operator interface to look up. Safe to use from every thread; the oldest are forgotten.
class OperationTable
{
public:
    static constexpr std::size_t keptOperations = 1000;

    void set(const std::string &id, Operation operation)
    {
        const std::lock_guard lock(m_mutex);
        if (m_operations.insert_or_assign(id, std::move(operation)).second)
            m_order.push_back(id);
        if (m_order.size() > keptOperations) {
            m_operations.erase(m_order.front());
            m_order.pop_front();
        }
    }

    std::optional<Operation> find(const std::string &id) const
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_operations.find(id);
        return found == m_operations.end() ? std::nullopt : std::optional(found->second);
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, Operation> m_operations;
    std::deque<std::string> m_order;
};

} // namespace sardinehinge::daemon
