#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <memory>

namespace Http {

/// What memory of a BodyBudget is held for.
enum class BodyPurpose {
    /// Bodies of requests.
    Requests,
    /// Answers that are read to their end before they are sent.
    Answers,
    /// What callers of streamed answers have not read yet.
    Streams,
    /// Requests that wait for an upstream.
    Waiting,
};

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
        explicit Share(std::shared_ptr<BodyBudget> budget,
                       BodyPurpose purpose = BodyPurpose::Requests)
            : m_budget(std::move(budget))
            , m_purpose(purpose)
        { }
        ~Share() { shrinkTo(0); }
        Share(Share &&other) noexcept;
        Share &operator=(Share &&other) noexcept;

        std::size_t bytes() const { return m_bytes; }
        const std::shared_ptr<BodyBudget> &budget() const { return m_budget; }
        /// Enlarges the share to at least that size. Returns false, and changes nothing, if the
        /// budget has no room for it. What else the exchange holds counts when the budget tells
        /// small shares from others.
        bool growTo(std::size_t bytes, std::size_t otherBytes = 0);
        /// Returns what exceeds that size.
        void shrinkTo(std::size_t bytes);

    private:
        std::shared_ptr<BodyBudget> m_budget;
        BodyPurpose m_purpose = BodyPurpose::Requests;
        std::size_t m_bytes = 0;
    };

    void setLimit(std::size_t limit) { m_limit = limit; }
    std::size_t heldBytes() const { return m_held; }
    /// Returns the part of them that is held for the purpose.
    std::size_t heldBytes(BodyPurpose purpose) const { return m_heldFor[index(purpose)]; }
    /// Whether more than nine tenths of the budget are held, so that what callers leave unread has
    /// to give way.
    bool isNearlyFull() const;
    /// Returns how often a share could not grow.
    std::size_t refusals() const { return m_refusals; }

    /// Shares up to this size may also use the last quarter of the budget, so that large bodies do
    /// not displace ordinary requests.
    static constexpr std::size_t SmallShareBytes = 64 * 1024;

private:
    static constexpr std::size_t PurposeCount = 4;
    static constexpr std::size_t index(BodyPurpose purpose)
    {
        return static_cast<std::size_t>(purpose);
    }
    bool take(std::size_t bytes, bool isSmall);

    std::atomic<std::size_t> m_limit;
    std::atomic<std::size_t> m_held {0};
    std::array<std::atomic<std::size_t>, PurposeCount> m_heldFor {};
    std::atomic<std::size_t> m_refusals {0};
};

} // namespace Http
