#pragma once

#include <string>
#include <string_view>

namespace sardinehinge::daemon {

/// What the names of the stored objects start with; the rest names the workspace or the service.
constexpr std::string_view workspacePrefix = "workspaces/";
constexpr std::string_view recordPrefix = "control/";
constexpr std::string_view assignmentPrefix = "assignments/";

/// The rest of `name`, which must start with `prefix`.
inline std::string without(const std::string &name, std::string_view prefix)
{
    return name.substr(prefix.size());
}

} // namespace sardinehinge::daemon
