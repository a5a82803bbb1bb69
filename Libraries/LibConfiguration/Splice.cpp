#include <LibConfiguration/Splice.h>

#include <algorithm>

namespace Configuration {

Splice Splice::between(std::string_view base, std::string_view text)
{
    const auto shorter = std::min(base.size(), text.size());
    std::size_t prefix = 0;
    while (prefix < shorter && base[prefix] == text[prefix])
        ++prefix;
    std::size_t suffix = 0;
    while (suffix < shorter - prefix
           && base[base.size() - 1 - suffix] == text[text.size() - 1 - suffix])
        ++suffix;
    return {
        .prefixBytes = static_cast<std::uint32_t>(prefix),
        .suffixBytes = static_cast<std::uint32_t>(suffix),
        .middle = std::string(text.substr(prefix, text.size() - prefix - suffix)),
    };
}

std::optional<std::string> Splice::apply(std::string_view base) const
{
    if (std::uint64_t {prefixBytes} + suffixBytes > base.size())
        return std::nullopt;
    std::string text(base.substr(0, prefixBytes));
    text += middle;
    text += base.substr(base.size() - suffixBytes);
    return text;
}

} // namespace Configuration
