#pragma once

#include <LibMetrics/Labels.h>

#include <functional>
#include <string>
#include <vector>

namespace Metrics {

/// Values that are read when they are rendered, by one label whose name is fixed. For the thread
/// that renders.
class Gauge final : public Family
{
public:
    struct Sample
    {
        std::string label;
        double value = 0;
    };
    using Reader = std::function<std::vector<Sample>()>;

    /// Samples have no label when the label's name is empty.
    Gauge(std::string name, std::string help, std::string labelName, Reader read);

    std::string render() const override;

private:
    std::string m_labelName;
    Reader m_read;
};

} // namespace Metrics
