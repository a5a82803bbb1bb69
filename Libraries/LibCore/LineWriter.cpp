#include <LibCore/LineWriter.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <utility>

namespace Core {

LineWriter::LineWriter(int descriptor, std::size_t capacityBytes)
    : m_descriptor(descriptor)
    , m_capacity(capacityBytes)
{ }

bool LineWriter::write(std::string_view line, bool isImportant)
{
    const auto limitBytes = isImportant ? m_capacity + ReservedBytes : m_capacity;
    if (m_pending.size() + line.size() + 1 > limitBytes) {
        flush();
        if (m_pending.size() + line.size() + 1 > limitBytes) {
            ++m_droppedCount;
            return false;
        }
    }
    m_pending += line;
    m_pending += '\n';
    flush();
    return true;
}

void LineWriter::flush()
{
    std::size_t written = 0;
    while (written < m_pending.size()) {
        // A pipe reported as writable accepts PIPE_BUF bytes, so that the write does not block.
        pollfd ready {m_descriptor, POLLOUT, 0};
        if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
            break;
        const auto count = std::min<std::size_t>(m_pending.size() - written, PIPE_BUF);
        const auto n = ::write(m_descriptor, m_pending.data() + written, count);
        if (n <= 0)
            break;
        written += static_cast<std::size_t>(n);
    }
    m_pending.erase(0, written);
}

std::uint64_t LineWriter::takeDroppedCount()
{
    return std::exchange(m_droppedCount, 0);
}

} // namespace Core
