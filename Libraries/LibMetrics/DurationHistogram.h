#pragma once

#include <LibMetrics/Labels.h>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/axis/traits.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Metrics {

/// A histogram of durations by team and class, with logarithmic buckets from 0.1 ms to 1,000 s.
/// Thread-safe.
class DurationHistogram final : public Family
{
public:
    DurationHistogram(std::string name, std::string help);

    void observe(std::chrono::nanoseconds time, const Labels &labels);
    /// Returns the upper bound of the bucket that contains the quantile over all series; zero when
    /// nothing was observed.
    std::chrono::duration<double> quantile(double share) const;
    std::string render() const override;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));
    struct Series
    {
        Series();
        Histogram histogram;
        double sum = 0;
        std::uint64_t count = 0;
    };

    mutable std::mutex m_mutex;
    std::map<Labels, Series> m_series;
};

} // namespace Metrics
