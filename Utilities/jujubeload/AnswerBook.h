#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string_view>

namespace Load {

/// Remembers which text each prompt was answered with. Safe from any thread.
class AnswerBook
{
public:
    /// Whether the text equals that of every earlier answer to the prompt.
    bool note(std::string_view prompt, std::string_view text);
    /// How many different prompts were answered.
    std::size_t prompts() const;
    /// One number for all prompts and their texts, whatever order they came in: equal for two runs
    /// of the same work exactly when their answers are equal.
    std::uint64_t digest() const;

private:
    mutable std::mutex m_mutex;
    /// Hash of the text, by hash of the prompt.
    std::map<std::uint64_t, std::uint64_t> m_texts;
};

} // namespace Load
