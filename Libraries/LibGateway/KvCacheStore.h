#pragma once

#include <LibGateway/PrefixCacheEstimate.h>
#include <LibHttp/Endpoint.h>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace Gateway {

/// What one store of cached prompt parts is believed to hold. It outlives engines and their
/// weights, so that its parts are told apart by the weights that made them.
class KvCacheStore
{
public:
    /// Prompts that share fewer tokens are read sooner than the store's room for them is worth.
    static constexpr unsigned MinTokens = 1'000;

    explicit KvCacheStore(Http::Endpoint endpoint);

    /// Stands for the store in siblings' news.
    static std::uint64_t holderOf(const Http::Endpoint &endpoint);
    std::uint64_t holder() const { return holderOf(m_endpoint); }
    const Http::Endpoint &endpoint() const { return m_endpoint; }
    void setCapacity(std::uint64_t tokens) { m_memory.setCapacity(tokens); }
    /// Whether it is known to answer; nothing is fetched from it or saved to it otherwise.
    bool isAnswering() const { return m_isAnswering; }
    /// The life that answered last; none before the first answer.
    std::optional<std::uint64_t> epoch() const { return m_epoch; }

    /// Notes an answer of the store. Another epoch means that it started anew and is empty. Returns
    /// whether anything changed.
    bool noteAnswer(std::uint64_t epoch);
    /// Notes that it does not answer. Returns whether it did before.
    bool noteSilence();

    /// Tokens of the prompt's leading parts that it is believed to hold for the weights.
    unsigned storedTokens(std::span<const PromptPart> parts, std::uint64_t weights) const;
    /// The parts as the store tells them apart.
    static std::vector<PromptPart> storedParts(std::span<const PromptPart> parts,
                                               std::uint64_t weights);
    const PrefixCacheEstimate &memory() const { return m_memory; }
    /// Notes that it holds parts, as storedParts() gives them.
    void noteStored(std::span<const PromptPart> parts) { m_memory.noteUse(parts); }

private:
    Http::Endpoint m_endpoint;
    PrefixCacheEstimate m_memory;
    std::optional<std::uint64_t> m_epoch;
    bool m_isAnswering = false;
};

} // namespace Gateway
