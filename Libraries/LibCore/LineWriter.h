#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Core {

/// Writes lines to a descriptor without ever waiting for its reader. What the reader does not take
/// stays in a buffer of fixed size; lines that find no room are left out and counted.
class LineWriter
{
public:
    /// Room for lines that must not be lost before others are: failures and warnings.
    static constexpr std::size_t ReservedBytes = 64 * 1024;

    /// The descriptor stays the caller's.
    LineWriter(int descriptor, std::size_t capacityBytes);

    /// Takes a line without its end. Important lines may also use the reserved room. Returns
    /// whether the line was taken.
    bool write(std::string_view line, bool isImportant);
    /// Writes what the reader takes now.
    void flush();
    /// Lines left out since the last call.
    std::uint64_t takeLeftOut();
    std::size_t pendingBytes() const { return m_pending.size(); }

private:
    int m_descriptor;
    std::size_t m_capacity;
    std::string m_pending;
    std::uint64_t m_leftOut = 0;
};

} // namespace Core
