#pragma once

#include <LibMetrics/Labels.h>

#include <string>
#include <vector>

namespace Metrics {

/// The metric families that a process exports. Families are added at startup and must outlive the
/// registry.
class Registry
{
public:
    void add(const Family &family) { m_families.push_back(&family); }
    /// Renders all families in the Prometheus text format.
    std::string render() const;

private:
    std::vector<const Family *> m_families;
};

} // namespace Metrics
