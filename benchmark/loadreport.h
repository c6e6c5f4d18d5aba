#pragma once

#include <boost/histogram.hpp>

#include <cstdint>
#include <string>

namespace sardinehinge::benchmark {

/// Times in milliseconds, kept in logarithmic bins about 2% wide from 1 us to 100 s.
class TimeHistogram
{
public:
    TimeHistogram();

    void add(double milliseconds);
    /// Upper edge of the bin that holds the quantile, 0 to 1; 0 when nothing was added.
    double quantile(double q) const;
    std::uint64_t count() const noexcept { return m_count; }
    double max() const noexcept { return m_max; }

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    boost::histogram::histogram<std::tuple<Axis>> m_histogram;
    std::uint64_t m_count = 0;
    double m_max = 0;
};

/// Prints one figure as `name value unit`.
void printFigure(const std::string &name, double value, const std::string &unit);

} // namespace sardinehinge::benchmark
