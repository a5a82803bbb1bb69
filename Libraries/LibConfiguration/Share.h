#pragma once

#include <compare>
#include <cstdint>

namespace Configuration {

/// A fraction from 0 to 1, stored in millionths so that sums are exact on every instance.
class Share
{
public:
    static constexpr std::uint32_t Whole = 1'000'000;

    constexpr Share() = default;
    static constexpr Share fromMillionths(std::uint32_t count) { return Share(count); }

    constexpr std::uint32_t millionths() const { return m_millionths; }
    /// Returns the share as a number from 0 to 1.
    constexpr double value() const { return static_cast<double>(m_millionths) / Whole; }

    friend constexpr auto operator<=>(Share, Share) = default;

private:
    constexpr explicit Share(std::uint32_t count)
        : m_millionths(count)
    { }

    std::uint32_t m_millionths = 0;
};

} // namespace Configuration
