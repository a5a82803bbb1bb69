#pragma once

#include <LibGateway/PrefixCacheEstimate.h>
#include <LibGateway/TransferQueue.h>
#include <LibHttp/Endpoint.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace Gateway {

/// The estimated contents of one KV cache store. A store outlives engines and changes of weights,
/// so its parts are identified together with the weights that produced them.
class KvCacheStore
{
public:
    /// Shared prefixes below this size are faster to recompute than their space in the store is
    /// worth.
    static constexpr unsigned MinTokens = 1'000;

    explicit KvCacheStore(Http::Endpoint endpoint);

    /// Returns the identifier of the store in siblings' reports.
    static std::uint64_t holderOf(const Http::Endpoint &endpoint);
    std::uint64_t holder() const { return holderOf(m_endpoint); }
    const Http::Endpoint &endpoint() const { return m_endpoint; }
    void setCapacity(std::uint64_t tokens) { m_prefixCache.setCapacity(tokens); }
    const std::string &dataCentre() const { return m_dataCentre; }
    void setDataCentre(std::string dataCentre) { m_dataCentre = std::move(dataCentre); }
    double linkMegabits() const { return m_linkMegabits; }
    void setLinkMegabits(double megabits) { m_linkMegabits = megabits; }
    /// The transfers between engines and the store that this instance caused.
    TransferQueue &transfers() { return m_transfers; }
    const TransferQueue &transfers() const { return m_transfers; }
    /// Returns whether the store answers. Otherwise, nothing is fetched from it or saved to it.
    bool isAnswering() const { return m_isAnswering; }
    /// Returns the epoch of the last answer; empty before the first one.
    std::optional<std::uint64_t> epoch() const { return m_epoch; }

    /// Records an answer of the store. A different epoch means that the store has restarted and is
    /// empty. Returns whether anything changed.
    bool noteAnswer(std::uint64_t epoch);
    /// Records that the store does not answer. Returns whether it answered before.
    bool noteSilence();

    /// Returns the estimated number of tokens in the leading parts of the prompt that the store
    /// holds for the weights.
    unsigned storedTokens(std::span<const PromptPart> parts, std::uint64_t weights) const;
    /// Returns the parts with the identifiers under which the store holds them for the weights.
    static std::vector<PromptPart> storedParts(std::span<const PromptPart> parts,
                                               std::uint64_t weights);
    const PrefixCacheEstimate &prefixCache() const { return m_prefixCache; }
    /// Records that the store holds the parts, which have identifiers from storedParts().
    void noteStored(std::span<const PromptPart> parts) { m_prefixCache.noteUse(parts); }

private:
    Http::Endpoint m_endpoint;
    std::string m_dataCentre;
    double m_linkMegabits = 0;
    PrefixCacheEstimate m_prefixCache;
    TransferQueue m_transfers;
    std::optional<std::uint64_t> m_epoch;
    bool m_isAnswering = false;
};

} // namespace Gateway
