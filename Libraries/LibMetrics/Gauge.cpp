#include <LibMetrics/Gauge.h>

#include <sstream>

namespace Metrics {

Gauge::Gauge(std::string name, std::string help, std::string labelName, Reader read)
    : Family(std::move(name), std::move(help))
    , m_labelName(std::move(labelName))
    , m_read(std::move(read))
{ }

std::string Gauge::render() const
{
    std::ostringstream text;
    text << header("gauge");
    for (const auto &sample : m_read()) {
        text << name();
        if (!m_labelName.empty())
            text << '{' << m_labelName << "=\"" << sample.label << "\"}";
        text << ' ' << sample.value << '\n';
    }
    return text.str();
}

} // namespace Metrics
