#pragma once

#include <LibCore/Identifier.h>

#include <array>
#include <cstdint>
#include <span>
#include <string_view>

namespace Placement {

/// Tokens in one cache piece.
constexpr std::uint64_t PieceTokens = 2000;
/// Prompt bytes that stand for one token, since the router does not run a tokenizer.
constexpr std::uint64_t BytesPerToken = 4;
/// Pieces of a prompt that are looked at; what lies behind counts as never cached.
constexpr std::size_t MaxPieces = 64;

/// The chained hash of a prompt up to the end of one piece, under one cache scope.
using PieceHash = std::uint64_t;

/// Whose cache entries a prompt may meet. Every part seeds the chain, so that another team's or
/// older weights' entries cannot be named.
struct CacheScope
{
    Core::TeamId team;
    Core::ModelId model;
    std::string weightsVersion;
};

/// A prompt cut into pieces, each named by a hash of everything up to its end. Holds no heap
/// memory.
class PromptPieces
{
public:
    /// Cuts the prompt. A last part shorter than a piece is never cached and gets no hash.
    static PromptPieces create(const CacheScope &scope, std::string_view prompt);
    /// Pieces whose chained hashes are known already; those beyond MaxPieces count as tail.
    static PromptPieces fromHashes(std::span<const PieceHash> hashes, std::uint64_t tailTokens);

    std::span<const PieceHash> hashes() const { return {m_hashes.data(), m_count}; }
    /// Tokens behind the last piece.
    std::uint64_t tailTokens() const { return m_tailTokens; }
    std::uint64_t promptTokens() const { return m_count * PieceTokens + m_tailTokens; }

private:
    std::array<PieceHash, MaxPieces> m_hashes {};
    std::size_t m_count = 0;
    std::uint64_t m_tailTokens = 0;
};

} // namespace Placement
