#pragma once

#include <jujubeload/Settings.h>

#include <string>
#include <vector>

namespace Load {

/// Seeded prompts with prefixes that are shared on two levels: a text common to a family of
/// prefixes, then the text of the prefix, then the prompt's own suffix. Some prefixes are used
/// frequently, and whole prompts recur. The prompt at an index depends only on the settings, so
/// that runs can be compared regardless of the order of their answers. Thread-safe.
class Workload
{
public:
    explicit Workload(const WorkloadSettings &settings);

    std::string promptAt(std::uint64_t index) const;

    static constexpr std::size_t PrefixesPerFamily = 4;
    /// Number of distinct prompts with one prefix; further prompts repeat earlier ones.
    static constexpr std::uint64_t PromptsPerPrefix = 64;

private:
    WorkloadSettings m_settings;
    std::vector<std::string> m_prefixes;
};

} // namespace Load
