#include <LibCore/Hash.h>

#include <jujubeload/Workload.h>

#include <algorithm>
#include <random>

namespace Load {

namespace {

/// Returns words of random letters with exactly the given total number of bytes.
std::string textOf(std::size_t bytes, std::mt19937_64 &random)
{
    constexpr std::size_t LettersPerDraw = 12;
    constexpr unsigned Letters = 27;
    std::string text;
    text.reserve(bytes + LettersPerDraw);
    while (text.size() < bytes) {
        auto bits = random();
        for (std::size_t n = 0; n < LettersPerDraw; ++n, bits /= Letters) {
            const auto letter = static_cast<char>(bits % Letters);
            text += letter == 0 ? ' ' : static_cast<char>('a' + letter - 1);
        }
    }
    text.resize(bytes);
    return text;
}

/// Returns a random number generator for one numbered part of the workload.
std::mt19937_64 generatorOf(std::uint64_t seed, std::string_view part, std::uint64_t number)
{
    return std::mt19937_64(Core::hash64(std::string(part) + std::to_string(number), seed));
}

} // namespace

Workload::Workload(const WorkloadSettings &settings)
    : m_settings(settings)
{
    const auto familyBytes = settings.sharedPrefixBytes / 2;
    for (std::size_t n = 0; n < settings.prefixes; ++n) {
        auto ofFamily = generatorOf(settings.seed, "family", n / PrefixesPerFamily);
        auto ofPrefix = generatorOf(settings.seed, "prefix", n);
        m_prefixes.push_back(textOf(familyBytes, ofFamily)
                             + textOf(settings.sharedPrefixBytes - familyBytes, ofPrefix));
    }
}

std::string Workload::promptAt(std::uint64_t index) const
{
    auto random = generatorOf(m_settings.seed, "request", index);
    const auto drawn = std::uniform_real_distribution<double>()(random);
    // Squared, so that the first prefixes are drawn more often than the last.
    const auto scaled = drawn * drawn * static_cast<double>(m_prefixes.size());
    const auto prefix = std::min(static_cast<std::size_t>(scaled), m_prefixes.size() - 1);
    const auto variant =
        std::uniform_int_distribution<std::uint64_t>(0, PromptsPerPrefix - 1)(random);
    auto ofEnd = generatorOf(m_settings.seed, "end", prefix * PromptsPerPrefix + variant);
    return m_prefixes[prefix]
           + textOf(m_settings.promptBytes - m_settings.sharedPrefixBytes, ofEnd);
}

} // namespace Load
