#include "Mutator.h"

#include <array>

namespace PlatformPartsTests {

namespace {

constexpr std::array OddTokens {"1e400",
                                "-1e400",
                                "-1",
                                "0",
                                "1e19",
                                "0.5",
                                "65536",
                                "4294967296",
                                "9223372036854775807",
                                "-9223372036854775808",
                                "18446744073709551615",
                                "99999999999999999999999",
                                "null",
                                "true",
                                "[]",
                                "{}",
                                R"("")",
                                R"("\ud800")",
                                R"("\u0000")",
                                "\xff",
                                "\"",
                                "\\",
                                "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[["};

} // namespace

std::size_t Mutator::below(std::size_t end)
{
    return std::uniform_int_distribution<std::size_t>(0, end - 1)(m_random);
}

std::string Mutator::mutated(std::string text)
{
    const auto changes = below(4) + 1;
    for (std::size_t n = 0; n < changes; ++n)
        mutateOnce(text);
    return text;
}

void Mutator::mutateOnce(std::string &text)
{
    if (text.empty())
        return;
    const auto at = below(text.size());
    const auto length = below(8) + 1;
    switch (below(7)) {
    case 0:
        text[at] = static_cast<char>(below(256));
        break;
    case 1:
        text.erase(at, length);
        break;
    case 2:
        text.insert(at, text.substr(below(text.size()), length));
        break;
    case 3:
        text.resize(at);
        break;
    case 4:
        text.insert(at, OddTokens.at(below(OddTokens.size())));
        break;
    default: {
        // Replaces a value of an object.
        const auto begin = text.find(':', at);
        if (begin == std::string::npos)
            break;
        const auto end = text.find_first_of(",}]", begin);
        text.replace(begin + 1, end == std::string::npos ? end : end - begin - 1,
                     OddTokens.at(below(OddTokens.size())));
    }
    }
}

} // namespace PlatformPartsTests
