#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/Upstream.h>

#include <chrono>
#include <map>
#include <optional>
#include <utility>

namespace Gateway {

/// The prompts of all instances at one engine. Knows which prompt is being prefilled and how far,
/// because an engine prefills one prompt at a time, urgent ones first.
class EngineQueue
{
public:
    /// Identifies a prompt.
    struct Key
    {
        /// The incarnation of the instance that sent it.
        std::uint64_t incarnation = 0;
        std::uint64_t number = 0;
        bool operator==(const Key &) const = default;
        bool operator<(const Key &other) const
        {
            return std::pair(incarnation, number) < std::pair(other.incarnation, other.number);
        }
    };
    struct Prompt
    {
        std::uint64_t tokens = 0;
        std::uint64_t memoryTokens = 0;
        bool isUrgent = false;
        /// When the prompt is forgotten if nothing is heard of it.
        Core::Clock::Monotonic expiry;
        /// The same once the prompt has its first token, if that is later.
        Core::Clock::Monotonic runningExpiry = Core::Clock::Monotonic::min();
    };

    /// The prefill of a prompt that was the only one in progress from its begin to its first token.
    struct Prefill
    {
        Key key;
        std::uint64_t tokens = 0;
        std::chrono::duration<double, std::milli> time {0};
        /// The largest number of requests at the engine meanwhile.
        unsigned inFlight = 0;
    };

    /// Returns the load of the engine. The tokens that the engine has prefilled of the prompt in
    /// progress, at the given rate, do not count.
    SiblingLoad load(double tokensPerMillisecond, Core::Clock::Monotonic now) const;
    void add(const Key &key, const Prompt &prompt, Core::Clock::Monotonic now);
    /// Returns the prefill if its time could be measured.
    std::optional<Prefill> noteFirstToken(const Key &key, Core::Clock::Monotonic now);
    void remove(const Key &key, Core::Clock::Monotonic now);
    void dropExpired(Core::Clock::Monotonic now);
    bool isEmpty() const { return m_prompts.empty(); }
    /// Returns the number of prompts, including those that are no longer prefilled.
    unsigned requests() const { return m_load.inFlight; }

private:
    struct Entry
    {
        Prompt prompt;
        std::uint64_t order = 0;
        bool hasFirstToken = false;
    };
    using Prompts = std::map<Key, Entry>;

    void stopWaiting(Entry &entry);
    Prompts::iterator erase(Prompts::iterator it);
    void updateCurrent(Core::Clock::Monotonic now);

    Prompts m_prompts;
    SiblingLoad m_load;
    std::uint64_t m_lastOrder = 0;
    /// The prompt that is being prefilled.
    std::optional<Key> m_current;
    Core::Clock::Monotonic m_currentSince;
    unsigned m_currentInFlight = 0;
    /// The prompts that are not measured, because the order in which the engine serves them differs
    /// from the assumed one or is uncertain.
    unsigned m_unmeasured = 0;
};

} // namespace Gateway
