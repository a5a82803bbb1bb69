#pragma once

#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string>

/// Returns the contents of a file of the source tree.
inline std::string sourceFile(const std::string &path)
{
    std::ifstream input(std::string(JUJUBE_SOURCE_DIRECTORY) + '/' + path, std::ios::binary);
    if (!input)
        throw std::runtime_error("cannot open " + path);
    return {std::istreambuf_iterator<char>(input), {}};
}

inline constexpr const char *ExampleFiles[] = {"Examples/liit.toml", "Examples/commission.toml",
                                               "Examples/small-site.toml"};
