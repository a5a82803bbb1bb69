#pragma once

#include <string_view>

namespace Core {

/// What became of one attempt, or what is known of one idempotency key.
enum class ExecutionStatus {
    NotRun,
    Running,
    Run,
    Unknown,
};

/// The name callers see: "not_run", "running", "run" or "unknown".
std::string_view executionStatusName(ExecutionStatus status);

} // namespace Core
