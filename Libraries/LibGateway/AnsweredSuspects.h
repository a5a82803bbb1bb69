#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <list>
#include <optional>
#include <span>
#include <unordered_map>

namespace Gateway {

/// Remembers when the requests and prompt parts that were answered last were answered.
class AnsweredSuspects
{
public:
    /// Records an answer. Older answers than the known one are ignored.
    void note(std::uint64_t suspect, Core::Clock::Monotonic time);
    /// Records an answer of this instance.
    void noteOwn(std::span<const std::uint64_t> suspects, Core::Clock::Monotonic time);
    std::optional<Core::Clock::Monotonic> lastAnswer(std::uint64_t suspect) const;
    /// Returns the share of own answers with the suspect since its first one.
    double share(std::uint64_t suspect) const;

private:
    struct Entry
    {
        std::uint64_t suspect = 0;
        Core::Clock::Monotonic time;
        /// The number of own answers, and the number of all before the first of them.
        unsigned count = 0;
        std::uint64_t before = 0;
    };
    using Order = std::list<Entry>;

    Order m_order;
    std::uint64_t m_ownAnswers = 0;
    std::unordered_map<std::uint64_t, Order::iterator> m_suspects;
};

} // namespace Gateway
