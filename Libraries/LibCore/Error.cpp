#include <LibCore/Error.h>

#include <boost/json.hpp>

namespace Core {

namespace {

std::string describe(ErrorKind kind, const std::string &detail)
{
    const auto &row = errorKindRow(kind);
    std::string text(row.name);
    text += ": ";
    text += detail.empty() ? std::string(row.meaning) : detail;
    return text;
}

} // namespace

Error::Error(ErrorKind kind, const std::string &detail)
    : Error(kind, detail, errorKindRow(kind).attempt, std::nullopt)
{ }

Error::Error(ErrorKind kind, const std::string &detail, ExecutionStatus attempt,
             std::optional<ExecutionStatus> key)
    : std::runtime_error(describe(kind, detail))
    , m_kind(kind)
    , m_detail(detail)
    , m_attempt(attempt)
    , m_key(key)
{ }

Error afterOtherAttempts(const Error &last, ExecutionStatus earlier)
{
    if (last.attempt() != ExecutionStatus::NotRun || earlier == ExecutionStatus::NotRun)
        return last;
    return Error(last.kind(), last.detail(), earlier, last.key());
}

std::string errorBody(const Error &error)
{
    const auto &row = errorKindRow(error.kind());
    boost::json::object fields;
    fields["kind"] = row.name;
    fields["message"] = error.detail().empty() ? row.meaning : std::string_view(error.detail());
    fields["attempt"] = executionStatusName(error.attempt());
    if (error.key())
        fields["key"] = executionStatusName(*error.key());
    return boost::json::serialize(boost::json::object {{"error", std::move(fields)}});
}

} // namespace Core
