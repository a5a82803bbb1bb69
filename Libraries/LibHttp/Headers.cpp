#include <LibHttp/Headers.h>

#include <algorithm>
#include <array>

namespace Http {

namespace {

char lowered(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

bool equalIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return lowered(a) == lowered(b); });
}

std::optional<std::string_view> Headers::find(std::string_view name) const
{
    for (const auto &field : m_fields) {
        if (equalIgnoringCase(field.name, name))
            return field.value;
    }
    return std::nullopt;
}

void Headers::add(std::string_view name, std::string_view value)
{
    m_fields.push_back({std::string(name), std::string(value)});
}

void Headers::remove(std::string_view name)
{
    std::erase_if(m_fields,
                  [name](const Field &field) { return equalIgnoringCase(field.name, name); });
}

Headers withoutConnectionFields(const Headers &headers)
{
    static constexpr std::array ConnectionFields {
        "Connection", "Keep-Alive",        "Proxy-Connection", "TE",     "Trailer",
        "Upgrade",    "Transfer-Encoding", "Content-Length",   "Expect", "Proxy-Authorization"};
    Headers kept;
    for (const auto &field : headers) {
        const bool isOfConnection =
            std::any_of(ConnectionFields.begin(), ConnectionFields.end(),
                        [&field](auto name) { return equalIgnoringCase(field.name, name); });
        if (!isOfConnection)
            kept.add(field.name, field.value);
    }
    return kept;
}

} // namespace Http
