#pragma once

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <chrono>
#include <cstdint>

namespace Load {

/// Times in buckets that grow by about one percent, from 1 microsecond to 1,000 s. Not safe from
/// several threads.
class LatencySeries
{
public:
    LatencySeries();

    void observe(std::chrono::nanoseconds time);
    std::uint64_t count() const { return m_count; }
    /// The upper bound of the bucket that holds the share's quantile, so at most about one percent
    /// above it; zero when nothing was observed.
    std::chrono::duration<double> quantile(double share) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    Histogram m_histogram;
    std::uint64_t m_count = 0;
};

} // namespace Load
