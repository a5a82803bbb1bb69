#pragma once

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <chrono>
#include <cstdint>

namespace Load {

/// A histogram of times from 1 microsecond to 1,000 s, whose bucket widths grow by about one
/// percent. Not thread-safe.
class LatencySeries
{
public:
    LatencySeries();

    void observe(std::chrono::nanoseconds time);
    std::uint64_t count() const { return m_count; }
    /// Returns the upper bound of the bucket that contains the quantile, which is at most about one
    /// percent above it; zero if nothing was observed.
    std::chrono::duration<double> quantile(double share) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    Histogram m_histogram;
    std::uint64_t m_count = 0;
};

} // namespace Load
