#pragma once

#include <LibCore/ErrorKind.h>

#include <optional>
#include <stdexcept>
#include <string>

namespace Core {

/// The only exception type of the project. Carries an error kind, the execution status of the
/// attempt and, for a call with an idempotency key, the execution status of the key.
class Error : public std::runtime_error
{
public:
    /// Constructs an error with the attempt status that errorKindTable() gives for its kind.
    explicit Error(ErrorKind kind, const std::string &detail = {});
    /// Constructs an error with explicit execution statuses of the attempt and the key.
    Error(ErrorKind kind, const std::string &detail, ExecutionStatus attempt,
          std::optional<ExecutionStatus> key);

    ErrorKind kind() const { return m_kind; }
    const std::string &detail() const { return m_detail; }
    ExecutionStatus attempt() const { return m_attempt; }
    /// The status of the idempotency key across all instances; empty for a call without a key.
    std::optional<ExecutionStatus> key() const { return m_key; }

private:
    ErrorKind m_kind;
    std::string m_detail;
    ExecutionStatus m_attempt;
    std::optional<ExecutionStatus> m_key;
};

/// Returns the error of a request's last attempt, with the status of the earlier attempts if the
/// last one did not run: that it did not run says nothing about the earlier ones.
Error afterOtherAttempts(const Error &last, ExecutionStatus earlier);

/// Returns the JSON body that callers receive: {"error":{"kind","message","attempt","key"}}.
std::string errorBody(const Error &error);

} // namespace Core
