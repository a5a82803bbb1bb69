#pragma once

#include <LibCore/Identifier.h>

#include <array>
#include <cstdint>
#include <span>
#include <string_view>

namespace Placement {

/// Tokens in one cache block.
constexpr std::uint64_t BlockTokens = 2000;
/// Prompt bytes that stand for one token, since the router does not run a tokenizer.
constexpr std::uint64_t BytesPerToken = 4;
/// Blocks of a prompt that are looked at; what lies behind counts as never cached.
constexpr std::size_t MaxBlocks = 64;

/// The chained hash of a prompt up to the end of one block, under one cache scope.
using BlockHash = std::uint64_t;

/// Whose cache entries a prompt may meet. Every part seeds the chain, so that another team's or
/// older weights' entries cannot be named.
struct CacheScope
{
    Core::TeamId team;
    Core::ModelId model;
    std::string weightsVersion;
};

/// A prompt cut into blocks, each named by a hash of everything up to its end. Holds no heap
/// memory.
class PromptBlocks
{
public:
    /// Cuts the prompt. A last part shorter than a block is never cached and gets no hash.
    static PromptBlocks create(const CacheScope &scope, std::string_view prompt);
    /// Blocks whose chained hashes are known already; those beyond MaxBlocks count as tail.
    static PromptBlocks fromHashes(std::span<const BlockHash> hashes, std::uint64_t tailTokens);

    std::span<const BlockHash> hashes() const { return {m_hashes.data(), m_count}; }
    /// Tokens behind the last block.
    std::uint64_t tailTokens() const { return m_tailTokens; }
    std::uint64_t promptTokens() const { return m_count * BlockTokens + m_tailTokens; }

private:
    std::array<BlockHash, MaxBlocks> m_hashes {};
    std::size_t m_count = 0;
    std::uint64_t m_tailTokens = 0;
};

} // namespace Placement
