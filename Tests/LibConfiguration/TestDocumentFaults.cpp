#include <LibConfiguration/Document.h>
#include <LibConfiguration/SampleDocuments.h>

#include <catch2/catch.hpp>

#include <algorithm>

using Configuration::Document;
using Configuration::Fault;

namespace {

/// Returns the small example with the first occurrence of a text replaced.
std::string edited(const std::string &part, const std::string &other)
{
    auto text = sourceFile("Examples/small-site.toml");
    const auto at = text.find(part);
    REQUIRE(at != std::string::npos);
    return text.replace(at, part.size(), other);
}

/// Returns whether the document has a fault with the path and message at the position of the
/// marker.
bool hasFault(const std::string &text, const std::string &marker, const std::string &path,
              const std::string &message)
{
    const auto at = text.find(marker);
    REQUIRE(at != std::string::npos);
    const auto line = 1 + std::count(text.begin(), text.begin() + static_cast<long>(at), '\n');
    const auto lineStart = text.rfind('\n', at);
    const auto column = lineStart == std::string::npos ? at + 1 : at - lineStart;
    const auto faults = Document::check(text).faults;
    return std::find(faults.begin(), faults.end(),
                     Fault {static_cast<std::uint32_t>(line), static_cast<std::uint32_t>(column),
                            path, message})
           != faults.end();
}

} // namespace

TEST_CASE("faults carry line, column and path")
{
    CHECK(hasFault(edited("rank = 0", "rank = 99"), "99", "priority_class[0].rank",
                   "must be from 0 to 63"));
    CHECK(hasFault(edited("rank = 0", "rank = 'x'"), "'x'", "priority_class[0].rank",
                   "must be an integer"));
    CHECK(hasFault(edited("rank = 0", "rank = 0\nranks = 77"), "77", "priority_class[0].ranks",
                   "is not a known field"));
    CHECK(hasFault(edited("owned_share = 1.0", "owned_share = 1.5"), "1.5",
                   "contract[0].owned_share", "must be a number from 0 to 1"));
    CHECK(hasFault(edited("owned_share = 1.0", "owned_share = nan"), "nan",
                   "contract[0].owned_share", "must be a number from 0 to 1"));
    CHECK(hasFault(edited("kind = \"engine\"", "kind = \"motor\""), "\"motor\"",
                   "upstream_group[0].kind", "must be one of: engine service"));
}

TEST_CASE("a missing field is reported at its table")
{
    CHECK(hasFault(edited("weights_version = \"1\"\n", ""), "[[model]]", "model[0].weights_version",
                   "is missing"));
}

TEST_CASE("references, names and sums are checked across tables")
{
    CHECK(hasFault(edited("team = \"site\"", "team = \"none\""), "\"none\"", "contract[0].team",
                   "must name a team"));
    CHECK(hasFault(edited("kind = \"engine\"", "kind = \"service\""), "\"engines\"\n\n[[team",
                   "model[0].upstream_group", "must name an engine group"));
    CHECK(hasFault(edited("default_class = \"interactive\"", "default_class = \"other\""),
                   "\"other\"", "contract[0].default_class", "must be one of the allowed classes"));
    const auto whole = sourceFile("Examples/small-site.toml");
    CHECK(hasFault(whole
                       + "\n[[contract]]\nteam = \"site\"\nupstream_group =  \"engines\"\n"
                         "owned_share = 0.000001\ndefault_class = \"interactive\"\n"
                         "allowed_classes = [\"interactive\"]\n",
                   "0.000001", "contract[1].owned_share",
                   "raises the sum of the group's owned shares above 1"));
    CHECK(hasFault(whole
                       + "\n[[priority_class]]\nid = \"late\"\nrank =  0\n"
                         "target_first_token_ms = 1\n",
                   "0\ntarget_first_token_ms = 1\n", "priority_class[1].rank", "is a duplicate"));
}

TEST_CASE("every fault is reported at once, in the order of the text")
{
    const auto text = edited("rank = 0", "rank = -1") + "\nunknown = 1\n";
    const auto faults = Document::check(text).faults;
    REQUIRE(faults.size() == 2);
    CHECK(faults[0].path == "priority_class[0].rank");
    CHECK(faults[1].path == "contract[0].unknown");
    const auto parsed = Document::parse(text);
    REQUIRE(parsed.has_error());
    CHECK(parsed.assume_error().kind() == Core::ErrorKind::ConfigurationInvalid);
    CHECK(parsed.assume_error().detail() == describeFaults(faults));
}

TEST_CASE("a syntax error has its line, and no text exhausts the stack")
{
    const auto faults = Document::check("format = 1\n\n[limits\n").faults;
    REQUIRE(faults.size() == 1);
    CHECK(faults.front().line == 3);
    CHECK(Document::check("a = " + std::string(1'000'000, '[')).faults.size() == 1);
    std::string dotted = "a";
    for (int n = 0; n < 100'000; ++n)
        dotted += ".a";
    CHECK(Document::check(dotted + " = 1").faults.size() == 1);
    CHECK(Document::check(std::string(9 * 1024 * 1024, '#')).faults.size() == 1);
    CHECK_FALSE(Document::check("").document);
}

TEST_CASE("a document of a newer format is neither accepted nor validated")
{
    const auto report = Document::check("format = 2\nnew_field = 1\n");
    CHECK_FALSE(report.document);
    CHECK_FALSE(report.formatKnown);
    CHECK(Document::check("format = -1").formatKnown);
}
