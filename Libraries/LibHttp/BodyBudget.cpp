#include <LibHttp/BodyBudget.h>

#include <utility>

namespace Http {

bool BodyBudget::take(std::size_t bytes, bool isSmall)
{
    const std::size_t limit = m_limit;
    const auto usable = isSmall ? limit : limit - limit / 4;
    auto held = m_held.load();
    while (held <= usable && bytes <= usable - held) {
        if (m_held.compare_exchange_weak(held, held + bytes))
            return true;
    }
    ++m_refusals;
    return false;
}

BodyBudget::Share::Share(Share &&other) noexcept
    : m_budget(std::move(other.m_budget))
    , m_purpose(other.m_purpose)
    , m_bytes(std::exchange(other.m_bytes, 0))
{ }

BodyBudget::Share &BodyBudget::Share::operator=(Share &&other) noexcept
{
    std::swap(m_budget, other.m_budget);
    std::swap(m_purpose, other.m_purpose);
    std::swap(m_bytes, other.m_bytes);
    return *this;
}

bool BodyBudget::isNearlyFull() const
{
    const std::size_t limit = m_limit;
    return m_held > limit - limit / 10;
}

bool BodyBudget::Share::growTo(std::size_t bytes, std::size_t otherBytes)
{
    if (bytes <= m_bytes)
        return true;
    if (m_budget) {
        if (!m_budget->take(bytes - m_bytes, otherBytes + bytes <= SmallShareBytes))
            return false;
        m_budget->m_heldFor[index(m_purpose)] += bytes - m_bytes;
    }
    m_bytes = bytes;
    return true;
}

void BodyBudget::Share::shrinkTo(std::size_t bytes)
{
    if (bytes >= m_bytes)
        return;
    if (m_budget) {
        m_budget->m_held -= m_bytes - bytes;
        m_budget->m_heldFor[index(m_purpose)] -= m_bytes - bytes;
    }
    m_bytes = bytes;
}

} // namespace Http
