#pragma once

#include <atomic>
#include <cstddef>
#include <memory>

namespace Http {

/// Limits the memory for bodies that are held at the same time. Safe from any thread.
class BodyBudget
{
public:
    explicit BodyBudget(std::size_t limit)
        : m_limit(limit)
    { }

    /// The part of a budget that one exchange holds; it is returned by the destructor. Without a
    /// budget, there is no limit.
    class Share
    {
    public:
        Share() = default;
        explicit Share(std::shared_ptr<BodyBudget> budget)
            : m_budget(std::move(budget))
        { }
        ~Share() { shrinkTo(0); }
        Share(Share &&other) noexcept;
        Share &operator=(Share &&other) noexcept;

        std::size_t bytes() const { return m_bytes; }
        /// Enlarges the share to at least that size. Returns false, and changes nothing, if the
        /// budget has no room for it.
        bool growTo(std::size_t bytes);
        /// Returns what exceeds that size.
        void shrinkTo(std::size_t bytes);

    private:
        std::shared_ptr<BodyBudget> m_budget;
        std::size_t m_bytes = 0;
    };

    void setLimit(std::size_t limit) { m_limit = limit; }
    std::size_t heldBytes() const { return m_held; }
    /// Returns how often a share could not grow.
    std::size_t refusals() const { return m_refusals; }

    /// Shares up to this size may also use the last quarter of the budget, so that large bodies do
    /// not displace ordinary requests.
    static constexpr std::size_t SmallShareBytes = 64 * 1024;

private:
    bool take(std::size_t bytes, bool isSmall);

    std::atomic<std::size_t> m_limit;
    std::atomic<std::size_t> m_held {0};
    std::atomic<std::size_t> m_refusals {0};
};

} // namespace Http
