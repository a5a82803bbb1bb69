#include <LibPlacement/PromptBlocks.h>

#include <catch2/catch.hpp>

using Placement::CacheScope;
using Placement::PromptBlocks;

namespace {

const CacheScope baseScope {Core::TeamId("a"), Core::ModelId("m"), "v1"};
const std::string guide(Placement::BlockTokens *Placement::BytesPerToken, 'g');

} // namespace

TEST_CASE("prompts share the hashes of their common prefix only")
{
    const auto one = PromptBlocks::create(baseScope, guide + guide + "first question");
    const auto other = PromptBlocks::create(baseScope, guide + std::string(guide.size(), 'x'));
    REQUIRE(one.hashes().size() == 2);
    CHECK(one.hashes()[0] == other.hashes()[0]);
    CHECK(one.hashes()[1] != other.hashes()[1]);
    CHECK(one.hashes()[0] != one.hashes()[1]);
    CHECK(one.tailTokens() == 4);
    CHECK(one.promptTokens() == 2 * Placement::BlockTokens + 4);
}

TEST_CASE("different teams, models or weights versions give different block hashes")
{
    const auto base = PromptBlocks::create(baseScope, guide).hashes()[0];
    for (const auto &scope : {CacheScope {Core::TeamId("b"), baseScope.model, "v1"},
                              CacheScope {baseScope.team, Core::ModelId("n"), "v1"},
                              CacheScope {baseScope.team, baseScope.model, "v2"},
                              CacheScope {Core::TeamId("am"), Core::ModelId(""), "v1"}})
        CHECK(PromptBlocks::create(scope, guide).hashes()[0] != base);
}

TEST_CASE("blocks beyond the limit count as tail")
{
    std::string prompt;
    for (std::size_t i = 0; i < Placement::MaxBlocks + 2; ++i)
        prompt += guide;
    const auto blocks = PromptBlocks::create(baseScope, prompt);
    CHECK(blocks.hashes().size() == Placement::MaxBlocks);
    CHECK(blocks.tailTokens() == 2 * Placement::BlockTokens);
}
