#include <LibCore/ExecutionStatus.h>

namespace Core {

std::string_view executionStatusName(ExecutionStatus status)
{
    switch (status) {
    case ExecutionStatus::NotRun:
        return "not_run";
    case ExecutionStatus::Running:
        return "running";
    case ExecutionStatus::Run:
        return "run";
    case ExecutionStatus::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace Core
