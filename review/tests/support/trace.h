#pragma once

#include <chrono>
#include <fstream>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// Whether the case plays its disruption: not with TROUBLE=0.
bool isTroubleWanted();

/// The log of a case: what was sent, answered and run, with milliseconds since its start.
class Trace
{
public:
    /// Truncates the file.
    explicit Trace(const std::string &path);

    void note(const std::string &line);
    /// Also to standard output.
    void report(const std::string &line);
    std::int64_t now() const;

private:
    std::ofstream m_file;
    Clock::time_point m_start = Clock::now();
};

} // namespace review
