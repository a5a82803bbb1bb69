#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Core {

/// Writes lines to a file descriptor without blocking on its reader. Unwritten bytes stay in a
/// buffer of fixed size; lines that do not fit are dropped and counted.
class LineWriter
{
public:
    /// Extra buffer capacity reserved for important lines: errors and warnings.
    static constexpr std::size_t ReservedBytes = 64 * 1024;

    /// The caller keeps ownership of the descriptor.
    LineWriter(int descriptor, std::size_t capacityBytes);

    /// Writes or buffers a line, given without its line feed. Important lines may also use the
    /// reserved capacity. Returns whether the line was accepted.
    bool write(std::string_view line, bool isImportant);
    /// Writes as many buffered bytes as possible without blocking.
    void flush();
    /// Returns the number of lines dropped since the last call.
    std::uint64_t takeDroppedCount();
    std::size_t pendingBytes() const { return m_pending.size(); }

private:
    int m_descriptor;
    std::size_t m_capacity;
    std::string m_pending;
    std::uint64_t m_droppedCount = 0;
};

} // namespace Core
