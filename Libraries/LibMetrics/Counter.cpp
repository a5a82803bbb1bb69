#include <LibMetrics/Counter.h>

namespace Metrics {

Counter::Counter(std::string name, std::string help, std::string labelName)
    : Family(std::move(name), std::move(help))
    , m_labelName(std::move(labelName))
{ }

void Counter::add(std::uint64_t count, const Labels &labels, const std::string &label)
{
    const std::scoped_lock lock(m_mutex);
    Key key {labels, label};
    if (m_counts.size() >= MaxSeries && !m_counts.contains(key))
        key = {{"other", "other"}, label};
    m_counts[key] += count;
}

std::uint64_t Counter::total() const
{
    const std::scoped_lock lock(m_mutex);
    std::uint64_t sum = 0;
    for (const auto &[key, count] : m_counts)
        sum += count;
    return sum;
}

std::string Counter::render() const
{
    auto text = header("counter");
    const std::scoped_lock lock(m_mutex);
    for (const auto &[key, count] : m_counts)
        text += name() + formatLabels(key.labels, m_labelName, key.label) + ' '
                + std::to_string(count) + '\n';
    return text;
}

} // namespace Metrics
