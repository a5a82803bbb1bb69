#include <LibConfiguration/RetryDelay.h>

#include <algorithm>

namespace Configuration {

RetryDelay::RetryDelay(std::chrono::milliseconds first, std::chrono::milliseconds longest)
    : m_first(first)
    , m_longest(longest)
    , m_bound(first)
{ }

std::chrono::milliseconds RetryDelay::next(std::mt19937_64 &random)
{
    std::uniform_int_distribution<std::chrono::milliseconds::rep> draw(m_bound.count() / 2,
                                                                       m_bound.count());
    m_bound = std::min(m_bound * 2, m_longest);
    return std::chrono::milliseconds(draw(random));
}

} // namespace Configuration
