#pragma once

#include <LibCore/ErrorKind.h>

#include <optional>
#include <stdexcept>
#include <string>

namespace Core {

/// The one exception type of the system. It carries a kind of the closed list and, truthfully,
/// what became of the attempt and, for a keyed call, what is known of the key.
class Error : public std::runtime_error
{
public:
    /// An error whose attempt status is the table's.
    explicit Error(ErrorKind kind, const std::string &detail = {});
    /// An error whose fates the raising place knows.
    Error(ErrorKind kind, const std::string &detail, ExecutionStatus attempt,
          std::optional<ExecutionStatus> key);

    ErrorKind kind() const { return m_kind; }
    const std::string &detail() const { return m_detail; }
    ExecutionStatus attempt() const { return m_attempt; }
    /// What is known of the idempotency key over all instances; empty for a call without one.
    std::optional<ExecutionStatus> key() const { return m_key; }

private:
    ErrorKind m_kind;
    std::string m_detail;
    ExecutionStatus m_attempt;
    std::optional<ExecutionStatus> m_key;
};

/// The error of a request's last attempt, when earlier ones may have run: an attempt that did not
/// run says nothing of those before it.
Error afterOtherAttempts(const Error &last, ExecutionStatus earlier);

/// The JSON body callers receive: {"error":{"kind","message","attempt","key"}}.
std::string errorBody(const Error &error);

} // namespace Core
