#include <LibHttp/EventSplitter.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>

namespace Http {

namespace {

constexpr std::string_view Field = "id:";
constexpr std::string_view FieldOnNextLine = "\nid:";

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

/// Returns the id whose field begins at the offset.
std::string_view idAt(std::string_view events, std::size_t at)
{
    auto value = events.substr(at + Field.size());
    value = value.substr(0, value.find_first_of("\r\n"));
    if (value.starts_with(' '))
        value.remove_prefix(1);
    return value;
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size())
        return std::nullopt;
    return number;
}

/// Returns whether an event may follow another one in a stream. Ids that are numbers increase.
bool mayFollow(std::string_view id, std::string_view before)
{
    const auto number = parseNumber(id);
    const auto numberBefore = parseNumber(before);
    return number && numberBefore ? *number > *numberBefore : id != before;
}

} // namespace

std::string EventSplitter::feed(std::string_view bytes)
{
    const auto searched = m_pending.size();
    m_pending += bytes;
    const auto end = endOfWholeEvents(m_pending, searched);
    auto whole = m_pending.substr(0, end);
    if (m_isResuming)
        checkFirstId(whole);
    if (m_isOutOfOrder)
        return {};
    m_pending.erase(0, end);
    noteIds(whole);
    return whole;
}

void EventSplitter::resume()
{
    m_pending.clear();
    m_isResuming = !m_lastId.empty();
    m_isOutOfOrder = false;
}

void EventSplitter::checkFirstId(std::string_view events)
{
    const auto found = events.find(FieldOnNextLine);
    const bool isFirstLine = events.starts_with(Field);
    if (!isFirstLine && found == std::string_view::npos)
        return;
    m_isResuming = false;
    m_isOutOfOrder = !mayFollow(idAt(events, isFirstLine ? 0 : found + 1), m_lastId);
}

void EventSplitter::noteIds(std::string_view events)
{
    const auto found = events.rfind(FieldOnNextLine);
    if (found != std::string_view::npos)
        m_lastId = std::string(idAt(events, found + 1));
    else if (events.starts_with(Field))
        m_lastId = std::string(idAt(events, 0));
}

} // namespace Http
