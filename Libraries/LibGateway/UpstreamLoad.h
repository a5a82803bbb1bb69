#pragma once

#include <LibGateway/EngineQueueExchange.h>
#include <LibGateway/Upstream.h>

#include <memory>
#include <utility>

namespace Gateway {

/// Counts one request in the load of an upstream, from construction to destruction.
class UpstreamLoad
{
public:
    UpstreamLoad(std::shared_ptr<Upstream> upstream, std::uint64_t tokens,
                 std::uint64_t memoryTokens, bool isUrgent, Core::Clock::Monotonic now,
                 std::unique_ptr<QueuePlace> place = nullptr)
        : m_upstream(std::move(upstream))
        , m_tokens(tokens)
        , m_memoryTokens(memoryTokens)
        , m_isUrgent(isUrgent)
        , m_isOnlyPrompt(m_upstream->tokensAhead(false) == 0)
        , m_sent(now)
        , m_place(std::move(place))
    {
        m_upstream->noteSent(m_tokens, m_isUrgent);
        m_upstream->reserveMemory(m_memoryTokens);
    }
    ~UpstreamLoad() { end(); }
    UpstreamLoad(const UpstreamLoad &) = delete;
    UpstreamLoad &operator=(const UpstreamLoad &) = delete;

    /// Records that the upstream has prefilled the prompt. Returns whether this was the first call.
    bool noteFirstToken()
    {
        if (m_hasFirstToken)
            return false;
        m_hasFirstToken = true;
        m_upstream->noteFirstToken(m_tokens, m_isUrgent);
        if (m_place)
            m_place->noteFirstToken();
        return true;
    }
    /// Ends the request's part of the load, if the upstream has completed its answer before the
    /// caller has read it.
    void end()
    {
        if (std::exchange(m_hasEnded, true))
            return;
        noteFirstToken();
        m_upstream->releaseMemory(m_memoryTokens);
        m_upstream->noteEnd();
        m_place.reset();
    }
    std::uint64_t tokens() const { return m_tokens; }
    bool hasFirstToken() const { return m_hasFirstToken; }
    /// Whether no other prompts were queued for prefill when this request was sent.
    bool isOnlyPrompt() const { return m_isOnlyPrompt; }
    Core::Clock::Monotonic sent() const { return m_sent; }

private:
    std::shared_ptr<Upstream> m_upstream;
    std::uint64_t m_tokens;
    std::uint64_t m_memoryTokens;
    bool m_isUrgent;
    bool m_isOnlyPrompt;
    bool m_hasFirstToken = false;
    bool m_hasEnded = false;
    Core::Clock::Monotonic m_sent;
    /// The prompt's entry at the keeper of the engine's queue; may be null.
    std::unique_ptr<QueuePlace> m_place;
};

} // namespace Gateway
