#pragma once

#include <LibMetrics/Labels.h>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Metrics {

/// A histogram of ratios from 0 to 1 by team and class, with ten buckets. Thread-safe.
class RatioHistogram final : public Family
{
public:
    RatioHistogram(std::string name, std::string help);

    void observe(double ratio, const Labels &labels);
    std::string render() const override;

private:
    using Axis = boost::histogram::axis::regular<double>;
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
