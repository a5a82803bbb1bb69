#include <LibCore/Hash.h>
#include <LibPlacement/PromptBlocks.h>

#include <algorithm>

namespace Placement {

namespace {

constexpr std::size_t BlockBytes = BlockTokens * BytesPerToken;

/// Returns the seed of the hash chains of a scope. The members are hashed one after the other
/// rather than concatenated, so that different members never give the same input.
BlockHash scopeSeed(const CacheScope &scope)
{
    auto seed = Core::hash64(scope.team.value());
    seed = Core::hash64(scope.model.value(), seed);
    return Core::hash64(scope.weightsVersion, seed);
}

} // namespace

PromptBlocks PromptBlocks::create(const CacheScope &scope, std::string_view prompt)
{
    PromptBlocks blocks;
    auto hash = scopeSeed(scope);
    while (prompt.size() >= BlockBytes && blocks.m_count < MaxBlocks) {
        hash = Core::hash64(prompt.substr(0, BlockBytes), hash);
        blocks.m_hashes[blocks.m_count++] = hash;
        prompt.remove_prefix(BlockBytes);
    }
    blocks.m_tailTokens = (prompt.size() + BytesPerToken - 1) / BytesPerToken;
    return blocks;
}

PromptBlocks PromptBlocks::fromHashes(std::span<const BlockHash> hashes, std::uint64_t tailTokens)
{
    PromptBlocks blocks;
    blocks.m_count = std::min(hashes.size(), MaxBlocks);
    std::copy_n(hashes.begin(), blocks.m_count, blocks.m_hashes.begin());
    blocks.m_tailTokens = tailTokens + (hashes.size() - blocks.m_count) * BlockTokens;
    return blocks;
}

} // namespace Placement
