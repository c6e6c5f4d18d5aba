#include "trace.h"

#include <cstdlib>
#include <iostream>

namespace review {

bool isTroubleWanted()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

Trace::Trace(const std::string &path)
    : m_file(path, std::ios::trunc)
{
}

void Trace::note(const std::string &line)
{
    m_file << now() << ' ' << line << '\n';
    m_file.flush();
}

void Trace::report(const std::string &line)
{
    note(line);
    std::cout << line << std::endl;
}

std::int64_t Trace::now() const
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - m_start).count();
}

} // namespace review
