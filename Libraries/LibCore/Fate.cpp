#include <LibCore/Fate.h>

namespace Core {

std::string_view fateName(Fate fate)
{
    switch (fate) {
    case Fate::NotRun:
        return "not_run";
    case Fate::Running:
        return "running";
    case Fate::Run:
        return "run";
    case Fate::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace Core
