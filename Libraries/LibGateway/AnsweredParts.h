#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

namespace Gateway {

/// Remembers when the prompt parts that were answered last were answered.
class AnsweredParts
{
public:
    /// Records an answer. Older answers than the known one are ignored.
    void note(std::uint64_t part, Core::Clock::Monotonic time);
    std::optional<Core::Clock::Monotonic> lastAnswer(std::uint64_t part) const;

private:
    struct Entry
    {
        std::uint64_t part = 0;
        Core::Clock::Monotonic time;
    };
    using Order = std::list<Entry>;

    Order m_order;
    std::unordered_map<std::uint64_t, Order::iterator> m_parts;
};

} // namespace Gateway
