#include <LibCore/Hash.h>
#include <LibPlacement/PromptPieces.h>

#include <algorithm>

namespace Placement {

namespace {

constexpr std::size_t PieceBytes = PieceTokens * BytesPerToken;

/// The seed of a scope's chains. Each part is hashed apart, so that no two lists of parts run
/// together.
PieceHash scopeSeed(const CacheScope &scope)
{
    auto seed = Core::hash64(scope.team.value());
    seed = Core::hash64(scope.model.value(), seed);
    return Core::hash64(scope.weightsVersion, seed);
}

} // namespace

PromptPieces PromptPieces::create(const CacheScope &scope, std::string_view prompt)
{
    PromptPieces pieces;
    auto hash = scopeSeed(scope);
    while (prompt.size() >= PieceBytes && pieces.m_count < MaxPieces) {
        hash = Core::hash64(prompt.substr(0, PieceBytes), hash);
        pieces.m_hashes[pieces.m_count++] = hash;
        prompt.remove_prefix(PieceBytes);
    }
    pieces.m_tailTokens = (prompt.size() + BytesPerToken - 1) / BytesPerToken;
    return pieces;
}

PromptPieces PromptPieces::fromHashes(std::span<const PieceHash> hashes, std::uint64_t tailTokens)
{
    PromptPieces pieces;
    pieces.m_count = std::min(hashes.size(), MaxPieces);
    std::copy_n(hashes.begin(), pieces.m_count, pieces.m_hashes.begin());
    pieces.m_tailTokens = tailTokens + (hashes.size() - pieces.m_count) * PieceTokens;
    return pieces;
}

} // namespace Placement
