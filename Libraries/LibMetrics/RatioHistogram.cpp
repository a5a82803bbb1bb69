#include <LibMetrics/BucketText.h>
#include <LibMetrics/RatioHistogram.h>

#include <algorithm>
#include <cmath>

namespace Metrics {

namespace {
constexpr unsigned Buckets = 10;
}

RatioHistogram::Series::Series()
    : histogram(boost::histogram::make_histogram(Axis(Buckets, 0.0, 1.0)))
{ }

RatioHistogram::RatioHistogram(std::string name, std::string help)
    : Family(std::move(name), std::move(help))
{ }

void RatioHistogram::observe(double ratio, const Labels &labels)
{
    const std::scoped_lock lock(m_mutex);
    auto &series = m_series[labels];
    // The last bucket has no upper limit and includes a ratio of 1.
    series.histogram(std::min(ratio, std::nextafter(1.0, 0.0)));
    series.sum += ratio;
    ++series.count;
}

std::string RatioHistogram::render() const
{
    auto text = header("histogram");
    const std::scoped_lock lock(m_mutex);
    for (const auto &[labels, series] : m_series)
        text += renderBuckets(name(), labels, series.histogram, series.sum, series.count);
    return text;
}

} // namespace Metrics
