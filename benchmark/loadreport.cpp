#include "loadreport.h"

#include <algorithm>
#include <cstdio>

namespace sardinehinge::benchmark {

namespace {

constexpr unsigned bins = 930;
constexpr double leastMs = 0.001;
constexpr double mostMs = 100'000;

} // namespace

TimeHistogram::TimeHistogram()
    : m_histogram(boost::histogram::make_histogram(Axis(bins, leastMs, mostMs)))
{
}

void TimeHistogram::add(double milliseconds)
{
    m_histogram(milliseconds);
    m_max = std::max(m_max, milliseconds);
    ++m_count;
}

double TimeHistogram::quantile(double q) const
{
    const double wanted = q * static_cast<double>(m_count);
    double seen = 0;
    for (const auto &bin : boost::histogram::indexed(m_histogram, boost::histogram::coverage::all)) {
        seen += *bin;
        if (seen >= wanted && m_count != 0)
            return std::min(bin.bin().upper(), m_max);
    }
    return m_max;
}

void printFigure(const std::string &name, double value, const std::string &unit)
{
    std::printf("%s %.3f %s\n", name.c_str(), value, unit.c_str());
}

} // namespace sardinehinge::benchmark
