#include <LibConfiguration/PlainService.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace Configuration {

namespace {

bool containsIgnoringCase(std::string_view text, std::string_view part)
{
    const auto same = [](char left, char right) {
        return std::tolower(static_cast<unsigned char>(left)) == right;
    };
    return std::search(text.begin(), text.end(), part.begin(), part.end(), same) != text.end();
}

bool isUnambiguous(std::string_view path)
{
    constexpr std::array<std::string_view, 7> AmbiguousSequences = {"//",  "/./", "/../", "%2e",
                                                                    "%2f", "%5c", "\\"};
    if (path.empty() || path.front() != '/' || path.ends_with("/.") || path.ends_with("/.."))
        return false;
    return std::none_of(
        AmbiguousSequences.begin(), AmbiguousSequences.end(),
        [path](std::string_view sequence) { return containsIgnoringCase(path, sequence); });
}

bool matchesWholeSegments(std::string_view prefix, std::string_view path)
{
    if (!path.starts_with(prefix))
        return false;
    return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/';
}

} // namespace

const ServiceRoute *PlainService::route(std::string_view method, std::string_view path) const
{
    if (!isUnambiguous(path))
        return nullptr;
    const ServiceRoute *best = nullptr;
    for (const auto &it : routes) {
        if (it.method != method || !matchesWholeSegments(it.pathPrefix, path))
            continue;
        if (!best || it.pathPrefix.size() > best->pathPrefix.size())
            best = &it;
    }
    return best;
}

} // namespace Configuration
