#include <LibCore/Hash.h>

#include <jujubeload/AnswerBook.h>

#include <string>

namespace Load {

bool AnswerBook::note(std::string_view prompt, std::string_view text)
{
    const auto promptHash = Core::hash64(prompt);
    const auto textHash = Core::hash64(text);
    const std::scoped_lock lock(m_mutex);
    const auto [it, isNew] = m_texts.emplace(promptHash, textHash);
    return isNew || it->second == textHash;
}

std::size_t AnswerBook::prompts() const
{
    const std::scoped_lock lock(m_mutex);
    return m_texts.size();
}

std::uint64_t AnswerBook::digest() const
{
    const std::scoped_lock lock(m_mutex);
    std::string all;
    for (const auto &[promptHash, textHash] : m_texts)
        all += std::to_string(promptHash) + ':' + std::to_string(textHash) + ' ';
    return Core::hash64(all);
}

} // namespace Load
