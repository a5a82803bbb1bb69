#pragma once

#include <LibGateway/PrefixMemory.h>
#include <LibHttp/Endpoint.h>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace Gateway {

/// What the store of cached prompt parts is believed to hold. It outlives engines and their
/// weights, so that its parts are told apart by the weights that made them.
class PartStore
{
public:
    /// Sets where it is; none when there is none.
    void configure(std::optional<Http::Endpoint> endpoint, std::uint64_t capacityTokens);
    /// Its address while it is known to answer.
    std::optional<Http::Endpoint> endpoint() const;
    const std::optional<Http::Endpoint> &configured() const { return m_endpoint; }

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
    /// Notes that it holds parts, as storedParts() gives them.
    void noteStored(std::span<const PromptPart> parts) { m_memory.noteUse(parts); }

private:
    std::optional<Http::Endpoint> m_endpoint;
    PrefixMemory m_memory;
    std::optional<std::uint64_t> m_epoch;
    bool m_isAnswering = false;
};

} // namespace Gateway
