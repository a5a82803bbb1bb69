#pragma once

#include <LibMetrics/Labels.h>

#include <string>
#include <vector>

namespace Metrics {

/// The families that one process exports. Families are added at start and must outlive it.
class Registry
{
public:
    void add(const Family &family) { m_families.push_back(&family); }
    /// Everything in the Prometheus text format.
    std::string render() const;

private:
    std::vector<const Family *> m_families;
};

} // namespace Metrics
