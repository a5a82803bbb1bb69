#include <LibConfiguration/Fault.h>

namespace Configuration {

std::string describeFaults(std::span<const Fault> faults)
{
    std::string text;
    for (const auto &it : faults) {
        if (!text.empty())
            text += '\n';
        text += std::to_string(it.line) + ':' + std::to_string(it.column) + ": ";
        if (!it.path.empty())
            text += it.path + ": ";
        text += it.message;
    }
    return text;
}

} // namespace Configuration
