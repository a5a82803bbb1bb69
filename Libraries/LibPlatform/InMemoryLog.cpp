#include <LibPlatform/InMemoryLog.h>

#include <algorithm>

namespace Platform {

InMemoryLog::InMemoryLog(const Core::Clock &clock, std::chrono::milliseconds retention)
    : m_clock(clock)
    , m_retention(retention)
{ }

LogOffset InMemoryLog::append(const std::string &stream, std::string data)
{
    LogOffset offset = 0;
    {
        std::scoped_lock lock(m_mutex);
        auto &storedStream = m_streams[stream];
        dropExpired(storedStream);
        offset = storedStream.first + storedStream.records.size();
        storedStream.records.push_back({offset, m_clock.wallNow(), std::move(data)});
    }
    if (m_appendHook)
        m_appendHook(stream);
    return offset;
}

LogPage InMemoryLog::read(const std::string &stream, LogOffset from, std::size_t limit)
{
    std::scoped_lock lock(m_mutex);
    auto &storedStream = m_streams[stream];
    dropExpired(storedStream);
    LogPage page;
    page.first = storedStream.first;
    page.next = storedStream.first + storedStream.records.size();
    const auto start = std::clamp(from, page.first, page.next);
    const auto count = std::min<std::size_t>(limit, page.next - start);
    const auto begin =
        storedStream.records.begin() + static_cast<std::ptrdiff_t>(start - page.first);
    page.records.assign(begin, begin + static_cast<std::ptrdiff_t>(count));
    return page;
}

void InMemoryLog::setAppendHook(std::function<void(const std::string &)> hook)
{
    m_appendHook = std::move(hook);
}

void InMemoryLog::dropExpired(Stream &stream) const
{
    const auto oldest = m_clock.wallNow() - m_retention;
    while (!stream.records.empty() && stream.records.front().time < oldest) {
        stream.records.pop_front();
        ++stream.first;
    }
}

} // namespace Platform
