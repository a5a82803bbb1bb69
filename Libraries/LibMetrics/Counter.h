#pragma once

#include <LibMetrics/Labels.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Metrics {

/// A monotonic counter by team, class and an optional additional label. Thread-safe.
class Counter final : public Family
{
public:
    /// The maximum number of series. Further ones are counted under the label value "other".
    static constexpr std::size_t MaxSeries = 20'000;

    Counter(std::string name, std::string help, std::string labelName = {});

    void add(std::uint64_t count, const Labels &labels = {}, const std::string &label = {});
    /// Returns the sum of all series.
    std::uint64_t total() const;
    std::string render() const override;

private:
    struct Key
    {
        Labels labels;
        std::string label;
        friend auto operator<=>(const Key &,
                                const Key &) = default; // NOLINT(modernize-use-nullptr)
    };

    std::string m_labelName;
    mutable std::mutex m_mutex;
    std::map<Key, std::uint64_t> m_counts;
};

} // namespace Metrics
