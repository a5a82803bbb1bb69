#include <LibHttp/EventSplitter.h>

#include <algorithm>

namespace Http {

namespace {

constexpr std::string_view Field = "id:";

// The length of the longest blank line, less one.
constexpr std::size_t BlankLineOverlap = 3;

/// Returns the offset after the last blank line, or zero. There is none in the first bytes.
std::size_t endOfWholeEvents(std::string_view text, std::size_t searched)
{
    const auto begin = searched - std::min(searched, BlankLineOverlap);
    const auto unsearched = text.substr(begin);
    std::size_t end = 0;
    for (const std::string_view blank : {"\n\n", "\r\n\r\n", "\r\r"}) {
        const auto at = unsearched.rfind(blank);
        if (at != std::string_view::npos)
            end = std::max(end, begin + at + blank.size());
    }
    return end;
}

} // namespace

std::string EventSplitter::feed(std::string_view bytes)
{
    const auto searched = m_pending.size();
    m_pending += bytes;
    const auto end = endOfWholeEvents(m_pending, searched);
    auto whole = m_pending.substr(0, end);
    m_pending.erase(0, end);
    noteIds(whole);
    return whole;
}

void EventSplitter::noteIds(std::string_view events)
{
    const auto at = [events] {
        auto found = events.rfind("\nid:");
        if (found != std::string_view::npos)
            return found + 1;
        return events.starts_with(Field) ? std::size_t {0} : std::string_view::npos;
    }();
    if (at == std::string_view::npos)
        return;
    auto value = events.substr(at + Field.size());
    value = value.substr(0, value.find_first_of("\r\n"));
    if (value.starts_with(' '))
        value.remove_prefix(1);
    m_lastId = std::string(value);
}

} // namespace Http
