#pragma once

#include <string_view>

namespace Core {

/// Whether an attempt, or the call with an idempotency key, was executed.
enum class ExecutionStatus {
    NotRun,
    Running,
    Run,
    Unknown,
};

/// Returns the name that callers see: "not_run", "running", "run" or "unknown".
std::string_view executionStatusName(ExecutionStatus status);

} // namespace Core
