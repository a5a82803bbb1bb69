#include <LibCore/Hash.h>
#include <LibGateway/KvCacheStore.h>

#include <string_view>
#include <utility>

namespace Gateway {

namespace {

std::uint64_t storedPrefixHash(std::uint64_t prefixHash, std::uint64_t weights)
{
    const std::string_view bytes(reinterpret_cast<const char *>(&weights), sizeof(weights));
    return Core::hash64(bytes, prefixHash);
}

} // namespace

KvCacheStore::KvCacheStore(Http::Endpoint endpoint)
    : m_endpoint(std::move(endpoint))
{ }

std::uint64_t KvCacheStore::holderOf(const Http::Endpoint &endpoint)
{
    return Core::hash64(Http::formatEndpoint(endpoint));
}

bool KvCacheStore::noteAnswer(std::uint64_t epoch)
{
    const bool isRestarted = m_epoch && *m_epoch != epoch;
    if (isRestarted)
        m_prefixCache.clear();
    m_epoch = epoch;
    return !std::exchange(m_isAnswering, true) || isRestarted;
}

bool KvCacheStore::noteSilence()
{
    return std::exchange(m_isAnswering, false);
}

unsigned KvCacheStore::storedTokens(std::span<const PromptPart> parts, std::uint64_t weights) const
{
    return m_isAnswering ? m_prefixCache.cachedTokens(storedParts(parts, weights)) : 0;
}

std::vector<PromptPart> KvCacheStore::storedParts(std::span<const PromptPart> parts,
                                                  std::uint64_t weights)
{
    std::vector<PromptPart> stored(parts.begin(), parts.end());
    for (auto &part : stored)
        part.prefixHash = storedPrefixHash(part.prefixHash, weights);
    return stored;
}

} // namespace Gateway
