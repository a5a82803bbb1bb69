#include <LibMetrics/BucketText.h>
#include <LibMetrics/DurationHistogram.h>

#include <boost/histogram/indexed.hpp>

namespace Metrics {

namespace {
constexpr unsigned Buckets = 42;
constexpr double LowestSeconds = 1e-4;
constexpr double HighestSeconds = 1e3;
} // namespace

DurationHistogram::Series::Series()
    : histogram(boost::histogram::make_histogram(Axis(Buckets, LowestSeconds, HighestSeconds)))
{ }

DurationHistogram::DurationHistogram(std::string name, std::string help)
    : Family(std::move(name), std::move(help))
{ }

void DurationHistogram::observe(std::chrono::nanoseconds time, const Labels &labels)
{
    const auto seconds = std::chrono::duration<double>(time).count();
    const std::scoped_lock lock(m_mutex);
    auto &series = m_series[labels];
    series.histogram(seconds);
    series.sum += seconds;
    ++series.count;
}

std::chrono::duration<double> DurationHistogram::quantile(double share) const
{
    const std::scoped_lock lock(m_mutex);
    if (m_series.empty())
        return {};
    Series all;
    for (const auto &[labels, series] : m_series) {
        all.histogram += series.histogram;
        all.count += series.count;
    }
    double seen = 0;
    for (auto &&bucket :
         boost::histogram::indexed(all.histogram, boost::histogram::coverage::all)) {
        seen += static_cast<double>(*bucket);
        if (seen >= share * static_cast<double>(all.count))
            return std::chrono::duration<double>(bucket.bin().upper());
    }
    return std::chrono::duration<double>(HighestSeconds);
}

std::string DurationHistogram::render() const
{
    auto text = header("histogram");
    const std::scoped_lock lock(m_mutex);
    for (const auto &[labels, series] : m_series)
        text += renderBuckets(name(), labels, series.histogram, series.sum, series.count);
    return text;
}

} // namespace Metrics
