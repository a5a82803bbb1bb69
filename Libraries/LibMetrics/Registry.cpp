#include <LibMetrics/Registry.h>

namespace Metrics {

std::string Registry::render() const
{
    std::string text;
    for (const auto *family : m_families)
        text += family->render();
    return text;
}

} // namespace Metrics
