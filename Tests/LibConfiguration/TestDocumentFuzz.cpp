#include <LibConfiguration/Document.h>
#include <LibConfiguration/SampleDocuments.h>

#include <catch2/catch.hpp>

#include <random>
#include <string_view>

using Configuration::Document;

namespace {

/// Mutates a document at random positions: changes bytes, copies or removes ranges, and inserts
/// TOML fragments.
std::string mutate(std::string text, std::mt19937_64 &random)
{
    constexpr std::string_view Pieces[] = {"[",          "]",     "{",
                                           "}",          "\"",    "'''",
                                           "\"\"\"",     "=",     ".",
                                           "\n",         "\r",    "#",
                                           "\\u00",      "1e999", "-",
                                           "nan",        "0x",    "1979-05-27T07:32:00Z",
                                           "[[team]]\n", "\xff",  std::string_view("\0", 1)};
    const auto below = [&random](std::size_t bound) { return bound == 0 ? 0 : random() % bound; };
    for (auto n = 1 + below(6); n > 0; --n) {
        const auto at = below(text.size());
        const auto length = below(std::min<std::size_t>(text.size() - at, 80));
        switch (below(5)) {
        case 0:
            text.erase(at, length);
            break;
        case 1:
            text.insert(below(text.size()), text.substr(at, length));
            break;
        case 2:
            text.insert(at, Pieces[below(std::size(Pieces))]);
            break;
        case 3:
            if (at < text.size())
                text[at] = static_cast<char>(below(256));
            break;
        default:
            text.resize(text.size() - below(std::min<std::size_t>(text.size(), 200)));
        }
    }
    return text;
}

} // namespace

TEST_CASE("a mutated document parses or has faults, with the same result each time")
{
    std::mt19937_64 random(20260925);
    std::size_t accepted = 0;
    std::size_t refused = 0;
    for (const auto *file : ExampleFiles) {
        const auto original = sourceFile(file);
        for (int n = 0; n < 700; ++n) {
            const auto text = mutate(original, random);
            const auto report = Document::check(text);
            REQUIRE((report.document != nullptr) == report.faults.empty());
            REQUIRE(Document::check(text).faults == report.faults);
            ++(report.document ? accepted : refused);
        }
    }
    CHECK(accepted > 0);
    CHECK(refused > 0);
}
