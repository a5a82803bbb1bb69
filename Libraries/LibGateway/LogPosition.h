#pragma once

#include <compare>
#include <cstdint>

namespace Gateway {

/// A place in a log of the store: the era of the store, and an offset. The era rises when the store
/// is restored from an older copy, after which it gives out offsets again. Every position of an era
/// comes after all those of earlier eras.
class LogPosition
{
public:
    /// The limits of a position whose number fits in 53 bits, so that it survives JSON parsers that
    /// read numbers as doubles.
    static constexpr unsigned OffsetBits = 40;
    static constexpr std::uint64_t MaxOffset = (std::uint64_t {1} << OffsetBits) - 1;
    static constexpr std::uint64_t MaxEra = (std::uint64_t {1} << (53 - OffsetBits)) - 1;

    constexpr LogPosition() = default;
    /// A position in a store that names no era.
    constexpr LogPosition(std::uint64_t offset) // NOLINT(google-explicit-constructor)
        : m_offset(offset)
    { }
    constexpr LogPosition(std::uint64_t era, std::uint64_t offset)
        : m_era(era)
        , m_offset(offset)
    { }
    /// Returns the position with the given number; the inverse of number().
    static constexpr LogPosition fromNumber(std::uint64_t number)
    {
        return {number >> OffsetBits, number & MaxOffset};
    }

    constexpr std::uint64_t era() const { return m_era; }
    constexpr std::uint64_t offset() const { return m_offset; }
    /// Returns a number that orders positions as they are ordered, for messages and fencing tokens.
    /// In a store that names no era, it is the offset. The era and the offset must be within their
    /// limits.
    constexpr std::uint64_t number() const { return (m_era << OffsetBits) | m_offset; }

    constexpr LogPosition operator+(std::uint64_t count) const { return {m_era, m_offset + count}; }
    constexpr LogPosition &operator++()
    {
        ++m_offset;
        return *this;
    }
    constexpr bool operator==(const LogPosition &) const = default;
    constexpr std::strong_ordering operator<=>(const LogPosition &other) const
    {
        return m_era == other.m_era ? m_offset <=> other.m_offset : m_era <=> other.m_era;
    }

private:
    std::uint64_t m_era = 0;
    std::uint64_t m_offset = 0;
};

} // namespace Gateway
