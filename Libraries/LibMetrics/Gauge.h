#pragma once

#include <LibMetrics/Labels.h>

#include <functional>
#include <string>
#include <vector>

namespace Metrics {

/// A gauge whose values are read when it is rendered. The reader function is called on the
/// rendering thread.
class Gauge final : public Family
{
public:
    struct Sample
    {
        std::string label;
        double value = 0;
    };
    using Reader = std::function<std::vector<Sample>()>;

    /// Samples have no label when the label name is empty.
    Gauge(std::string name, std::string help, std::string labelName, Reader read);

    std::string render() const override;

private:
    std::string m_labelName;
    Reader m_read;
};

} // namespace Metrics
