#pragma once

#include <jujubeload/Settings.h>

#include <string>
#include <vector>

namespace Load {

/// Seeded prompts that share prefixes nested in two levels: a text shared by a family of prefixes,
/// then the prefix's own, then the prompt's own end. Some prefixes are hot, and whole prompts
/// recur. The prompt of an index depends on nothing but the settings, so that runs can be compared
/// whatever order their answers come in. Safe from any thread.
class Workload
{
public:
    explicit Workload(const WorkloadSettings &settings);

    std::string promptAt(std::uint64_t index) const;

    static constexpr std::size_t PrefixesPerFamily = 4;
    /// Different prompts with one prefix; further ones are equal to earlier ones.
    static constexpr std::uint64_t PromptsPerPrefix = 64;

private:
    WorkloadSettings m_settings;
    std::vector<std::string> m_prefixes;
};

} // namespace Load
