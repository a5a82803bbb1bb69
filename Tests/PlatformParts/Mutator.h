#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace PlatformPartsTests {

/// Changes sound texts at random places, repeatably for a seed.
class Mutator
{
public:
    explicit Mutator(std::uint32_t seed)
        : m_random(seed)
    { }

    /// Returns the text with one to four changes: of bytes, of slices, or to odd JSON.
    std::string mutated(std::string text);

private:
    std::size_t below(std::size_t end);
    void mutateOnce(std::string &text);

    std::mt19937 m_random;
};

} // namespace PlatformPartsTests
