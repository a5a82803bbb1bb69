#include <boost/histogram/indexed.hpp>
#include <jujubeload/LatencySeries.h>

namespace Load {

namespace {
constexpr unsigned Buckets = 2'100;
constexpr double LowestSeconds = 1e-6;
constexpr double HighestSeconds = 1e3;
} // namespace

LatencySeries::LatencySeries()
    : m_histogram(boost::histogram::make_histogram(Axis(Buckets, LowestSeconds, HighestSeconds)))
{ }

void LatencySeries::observe(std::chrono::nanoseconds time)
{
    m_histogram(std::chrono::duration<double>(time).count());
    ++m_count;
}

std::chrono::duration<double> LatencySeries::quantile(double share) const
{
    if (m_count == 0)
        return {};
    double seen = 0;
    for (auto &&bucket : boost::histogram::indexed(m_histogram, boost::histogram::coverage::all)) {
        seen += static_cast<double>(*bucket);
        if (seen > 0 && seen >= share * static_cast<double>(m_count))
            return std::chrono::duration<double>(bucket.bin().upper());
    }
    return std::chrono::duration<double>(HighestSeconds);
}

} // namespace Load
