#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string_view>

namespace Load {

/// Records the text of the answer to each prompt. Thread-safe.
class AnswerBook
{
public:
    /// Records an answer. Returns whether its text equals every earlier answer to the prompt.
    bool note(std::string_view prompt, std::string_view text);
    /// Returns the number of distinct prompts that were answered.
    std::size_t prompts() const;
    /// Returns a hash over all prompts and answers that is independent of their order: equal for
    /// two runs of the same workload exactly if their answers are equal.
    std::uint64_t digest() const;

private:
    mutable std::mutex m_mutex;
    /// Hash of the text, by hash of the prompt.
    std::map<std::uint64_t, std::uint64_t> m_texts;
};

} // namespace Load
