#pragma once

#include <sardinehinge/core/types.h>

#include <cstdint>

namespace sardinehinge::core {

/// The usual time of a kind of request, by which the times of different kinds are compared. Rises more slowly than it
/// falls, so an overload of seconds doesn't become the usual case while it is measured.
class UsualTime
{
public:
    /// Takes in a time and returns it relative to the usual time so far; 1 for the first.
    double add(Duration time) noexcept;
    Duration value() const noexcept { return Duration(static_cast<Duration::rep>(m_nanoseconds)); }

private:
    double m_nanoseconds = 0;
    std::uint32_t m_samples = 0; ///< Up to those that are averaged evenly.
};

} // namespace sardinehinge::core
