#include <LibCore/Error.h>

#include <jujubectl/InputFile.h>

#include <fstream>
#include <iostream>
#include <iterator>

namespace Jujubectl {

std::string readInput(const std::string &path)
{
    if (path == "-")
        return {std::istreambuf_iterator<char>(std::cin), {}};
    std::ifstream input(path, std::ios::binary);
    if (!input)
        throw Core::Error(Core::ErrorKind::SettingsInvalid, "cannot read " + path);
    return {std::istreambuf_iterator<char>(input), {}};
}

} // namespace Jujubectl
