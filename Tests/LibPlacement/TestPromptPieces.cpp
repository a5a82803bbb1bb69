#include <LibPlacement/PromptPieces.h>

#include <catch2/catch.hpp>

using Placement::CacheScope;
using Placement::PromptPieces;

namespace {

const CacheScope baseScope {Core::TeamId("a"), Core::ModelId("m"), "v1"};
const std::string guide(Placement::PieceTokens *Placement::BytesPerToken, 'g');

} // namespace

TEST_CASE("prompts share the hashes of their common prefix only")
{
    const auto one = PromptPieces::create(baseScope, guide + guide + "first question");
    const auto other = PromptPieces::create(baseScope, guide + std::string(guide.size(), 'x'));
    REQUIRE(one.hashes().size() == 2);
    CHECK(one.hashes()[0] == other.hashes()[0]);
    CHECK(one.hashes()[1] != other.hashes()[1]);
    CHECK(one.hashes()[0] != one.hashes()[1]);
    CHECK(one.tailTokens() == 4);
    CHECK(one.promptTokens() == 2 * Placement::PieceTokens + 4);
}

TEST_CASE("another team, model or weights version names other pieces")
{
    const auto base = PromptPieces::create(baseScope, guide).hashes()[0];
    for (const auto &scope : {CacheScope {Core::TeamId("b"), baseScope.model, "v1"},
                              CacheScope {baseScope.team, Core::ModelId("n"), "v1"},
                              CacheScope {baseScope.team, baseScope.model, "v2"},
                              CacheScope {Core::TeamId("am"), Core::ModelId(""), "v1"}})
        CHECK(PromptPieces::create(scope, guide).hashes()[0] != base);
}

TEST_CASE("pieces beyond the limit count as tail")
{
    std::string prompt;
    for (std::size_t i = 0; i < Placement::MaxPieces + 2; ++i)
        prompt += guide;
    const auto pieces = PromptPieces::create(baseScope, prompt);
    CHECK(pieces.hashes().size() == Placement::MaxPieces);
    CHECK(pieces.tailTokens() == 2 * Placement::PieceTokens);
}
