#pragma once

#include <LibCore/Identifier.h>

#include <array>
#include <cstdint>
#include <span>
#include <string_view>

namespace Placement {

/// Number of tokens in one cache block.
constexpr std::uint64_t BlockTokens = 2000;
/// Assumed number of prompt bytes per token, since the router does not run a tokenizer.
constexpr std::uint64_t BytesPerToken = 4;
/// The maximum number of blocks per prompt; the rest of the prompt counts as never cached.
constexpr std::size_t MaxBlocks = 64;

/// The chained hash of a prompt up to the end of one block, within one cache scope.
using BlockHash = std::uint64_t;

/// The scope within which prompts share cache entries. All members seed the hash chain, so that a
/// prompt never matches the entries of another team, another model or older weights.
struct CacheScope
{
    Core::TeamId team;
    Core::ModelId model;
    std::string weightsVersion;
};

/// A prompt divided into blocks, each identified by a hash of the prompt up to the block's end.
/// Does not allocate heap memory.
class PromptBlocks
{
public:
    /// Divides the prompt into blocks. A remainder shorter than a block is never cached and has no
    /// hash.
    static PromptBlocks create(const CacheScope &scope, std::string_view prompt);
    /// Creates blocks from chained hashes computed before. Blocks beyond MaxBlocks count as tail.
    static PromptBlocks fromHashes(std::span<const BlockHash> hashes, std::uint64_t tailTokens);

    std::span<const BlockHash> hashes() const { return {m_hashes.data(), m_count}; }
    /// Returns the number of tokens after the last block.
    std::uint64_t tailTokens() const { return m_tailTokens; }
    std::uint64_t promptTokens() const { return m_count * BlockTokens + m_tailTokens; }

private:
    std::array<BlockHash, MaxBlocks> m_hashes {};
    std::size_t m_count = 0;
    std::uint64_t m_tailTokens = 0;
};

} // namespace Placement
