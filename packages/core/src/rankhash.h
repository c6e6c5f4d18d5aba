#pragma once

#include <cstdint>
#include <string>

namespace sardinehinge::core {

inline void mix(std::uint64_t &hash, const std::string &text) noexcept
{
    for (const char c : text) {
        hash ^= static_cast<unsigned char>(c);
        hash *= 0x100000001b3;
    }
}

/// Determines the order in which daemons claim control of a service (FNV-1a). The order differs between services, which
/// distributes their controllers over the daemons.
inline std::uint64_t rankHash(const std::string &service, const std::string &daemon) noexcept
{
    std::uint64_t hash = 0xcbf29ce484222325;
    mix(hash, service);
    mix(hash, daemon);
    return hash;
}

} // namespace sardinehinge::core
