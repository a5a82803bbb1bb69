#pragma once

#include <LibMetrics/Labels.h>

#include <boost/histogram/indexed.hpp>

#include <cmath>
#include <cstdint>
#include <sstream>
#include <string>

namespace Metrics {

/// Renders one histogram series in the Prometheus text format, with cumulative buckets.
template <typename Histogram>
std::string renderBuckets(const std::string &name, const Labels &labels, const Histogram &histogram,
                          double sum, std::uint64_t count)
{
    std::ostringstream text;
    double cumulative = 0;
    for (auto &&bucket : boost::histogram::indexed(histogram, boost::histogram::coverage::all)) {
        cumulative += static_cast<double>(*bucket);
        const double upper = bucket.bin().upper();
        if (!std::isfinite(upper))
            continue;
        std::ostringstream bound;
        bound << upper;
        text << name << "_bucket" << formatLabels(labels, "le", bound.str()) << ' '
             << static_cast<std::uint64_t>(cumulative) << '\n';
    }
    text << name << "_bucket" << formatLabels(labels, "le", "+Inf") << ' ' << count << '\n';
    text << name << "_sum" << formatLabels(labels) << ' ' << sum << '\n';
    text << name << "_count" << formatLabels(labels) << ' ' << count << '\n';
    return text.str();
}

} // namespace Metrics
