#include <LibConfiguration/FieldCatalogue.h>

#include <algorithm>
#include <array>
#include <cstddef>

namespace Configuration {

namespace {

using enum FieldType;

constexpr long long MaxCount = 1'000'000;
constexpr long long MaxMilliseconds = 86'400'000;
constexpr long long MaxBytes = 1LL << 30;
constexpr long long MaxEntries = 100'000;

// clang-format off
constexpr std::array Rows {
    FieldRow {"", "format", Integer, "", "", 1, 65'535, "", "The version of this format and of its rules: 1."},
    FieldRow {"", "limits", Table, "", "{}", 0, 1, "", "Limits on callers' requests."},
    FieldRow {"", "priority_class", TableList, "", "", 1, 64, "", "The priority classes of requests."},
    FieldRow {"", "upstream_group", TableList, "", "[]", 0, MaxEntries, "", "Groups of interchangeable upstreams."},
    FieldRow {"", "model", TableList, "", "[]", 0, MaxEntries, "", "Models that callers can request by name."},
    FieldRow {"", "service", TableList, "", "[]", 0, MaxEntries, "", "Plain services."},
    FieldRow {"", "team", TableList, "", "[]", 0, MaxEntries, "", "Teams that call."},
    FieldRow {"", "contract", TableList, "", "[]", 0, MaxEntries, "", "A team's permissions and owned capacity in an upstream group."},

    FieldRow {"limits", "header_bytes", Integer, "bytes", "16384", 1'024, 1'048'576, "", "The largest header section of a request."},
    FieldRow {"limits", "body_bytes", Integer, "bytes", "8388608", 1'024, MaxBytes, "", "The largest body of a request."},
    FieldRow {"limits", "header_timeout_ms", Integer, "ms", "10000", 10, MaxMilliseconds, "", "The maximum time to receive a request's headers."},
    FieldRow {"limits", "body_timeout_ms", Integer, "ms", "30000", 10, MaxMilliseconds, "", "The maximum time to receive a request's body."},
    FieldRow {"limits", "idle_timeout_ms", Integer, "ms", "60000", 10, MaxMilliseconds, "", "How long an idle connection is kept."},

    FieldRow {"priority_class", "id", Identifier, "", "", 0, 0, "", "The class's name, unique."},
    FieldRow {"priority_class", "rank", Integer, "", "", 0, 63, "", "0 is the most urgent rank; ranks are unique."},
    FieldRow {"priority_class", "target_first_token_ms", Integer, "ms", "", 1, MaxMilliseconds, "", "The time within which the first token should reach the caller."},
    FieldRow {"priority_class", "worth", Integer, "", "1", 1, MaxCount, "", "The value of an answer within the target, relative to the other classes."},
    FieldRow {"priority_class", "floor_share", FieldType::Share, "0 to 1", "0.0", 0, 0, "", "The share of a group's slots that more urgent classes cannot use. The sum over classes is at most 1."},
    FieldRow {"priority_class", "queue_requests", Integer, "requests", "256", 0, MaxCount, "", "How many requests of the class may wait before one group, per instance."},
    FieldRow {"priority_class", "queue_timeout_ms", Integer, "ms", "30000", 1, MaxMilliseconds, "", "How long a request of the class may wait."},

    FieldRow {"upstream_group", "id", Identifier, "", "", 0, 0, "", "The group's name, unique; the platform's instance list uses it."},
    FieldRow {"upstream_group", "kind", Choice, "", "", 0, 0, "engine service", "Whether its upstreams are model engines or workers of a plain service."},
    FieldRow {"upstream_group", "slots_per_worker", Integer, "requests", "", 1, 65'536, "", "The number of requests that one worker runs concurrently."},
    FieldRow {"upstream_group", "piece_tokens", Integer, "tokens", "2000", 16, MaxCount, "", "The size of one cache block. Engines only."},
    FieldRow {"upstream_group", "checks_fencing", Boolean, "", "false", 0, 0, "", "Whether the upstreams reject a command with an outdated fencing token."},
    FieldRow {"upstream_group", "concurrent_weight_loads", Integer, "workers", "1", 1, 65'536, "", "How many workers may load weights at a time. Engines only."},
    FieldRow {"upstream_group", "queue_requests", Integer, "requests", "1024", 0, MaxCount, "", "How many requests may wait before the group, per instance."},
    FieldRow {"upstream_group", "retry_budget", FieldType::Share, "0 to 1", "0.1", 0, 0, "", "Retries as a share of recent successes."},
    FieldRow {"upstream_group", "retries_per_second", Integer, "1/s", "1", 0, MaxCount, "", "Retries that are always allowed, so that a group with few requests can still retry."},

    FieldRow {"model", "id", Identifier, "", "", 0, 0, "", "The model as callers name it, unique."},
    FieldRow {"model", "weights_version", Identifier, "", "", 0, 0, "", "The version of its weights; part of every cache key."},
    FieldRow {"model", "upstream_group", Identifier, "", "", 0, 0, "", "The engine group that serves it; a group serves one model."},
    FieldRow {"model", "max_tokens", Integer, "tokens", "4096", 1, MaxCount, "", "The longest answer."},
    FieldRow {"model", "first_token_timeout_ms", Integer, "ms", "30000", 10, MaxMilliseconds, "", "The maximum time until the first token."},
    FieldRow {"model", "next_token_timeout_ms", Integer, "ms", "10000", 10, MaxMilliseconds, "", "The maximum time between two tokens."},
    FieldRow {"model", "answer_timeout_ms", Integer, "ms", "600000", 10, MaxMilliseconds, "", "The maximum time for a complete answer."},

    FieldRow {"service", "name", Identifier, "", "", 0, 0, "", "The service's name in /services/NAME, unique."},
    FieldRow {"service", "upstream_group", Identifier, "", "", 0, 0, "", "The service group that serves it; a group serves one service."},
    FieldRow {"service", "key_window_s", Integer, "s", "3600", 60, 86'400, "", "How long an idempotency key is remembered after its issue time; less than the log's retention."},
    FieldRow {"service", "timeout_ms", Integer, "ms", "10000", 10, MaxMilliseconds, "", "The maximum time for one call."},
    FieldRow {"service", "route", TableList, "", "", 1, 1'000, "", "The allowed calls; all others are rejected."},

    FieldRow {"service.route", "method", Choice, "", "", 0, 0, "GET HEAD POST PUT PATCH DELETE", "The HTTP method."},
    FieldRow {"service.route", "path_prefix", PathPrefix, "", "", 0, 0, "", "The first whole segments of the path; the longest match decides."},
    FieldRow {"service.route", "repeat", Choice, "", "at-most-once", 0, 0, "idempotent at-most-once", "Whether a call can be retried."},

    FieldRow {"team", "id", Identifier, "", "", 0, 0, "", "The team's name, unique."},
    FieldRow {"team", "key_hashes", HashList, "", "", 0, 16, "", "Lower-case hexadecimal SHA-256 digests of its bearer keys; two while a key is rotated."},
    FieldRow {"team", "entitlement_weight", Integer, "", "1", 1, MaxCount, "", "The team's weight relative to the other teams in a class."},
    FieldRow {"team", "requests_per_second", Integer, "1/s", "0", 0, MaxCount, "", "The team's rate limit over the whole environment; 0 for none."},
    FieldRow {"team", "tokens_per_second", Integer, "tokens/s", "0", 0, 1'000'000'000, "", "The team's token limit over the whole environment; 0 for none."},
    FieldRow {"team", "concurrent_requests", Integer, "requests", "0", 0, MaxCount, "", "How many of the team's requests may run at a time; 0 for no limit."},

    FieldRow {"contract", "team", Identifier, "", "", 0, 0, "", "The team."},
    FieldRow {"contract", "upstream_group", Identifier, "", "", 0, 0, "", "The group; one contract for each team and group."},
    FieldRow {"contract", "owned_share", FieldType::Share, "0 to 1", "0.0", 0, 0, "", "The share of the group's capacity that the team owns. The sum over a group's contracts is at most 1."},
    FieldRow {"contract", "may_borrow", Boolean, "", "true", 0, 0, "", "Whether the team may use capacity that its owners leave idle."},
    FieldRow {"contract", "default_class", Identifier, "", "", 0, 0, "", "The class of a request that does not name one; must be one of the allowed classes."},
    FieldRow {"contract", "allowed_classes", IdentifierList, "", "", 1, 64, "", "The classes that the team may use in the group."},
};
// clang-format on

constexpr std::array<std::string_view, 10> TypeNames = {
    "boolean", "choice",      "list of hashes", "identifier", "list of identifiers",
    "integer", "path prefix", "share",          "table",      "list of tables",
};

} // namespace

std::span<const FieldRow> fieldCatalogue()
{
    return Rows;
}

const FieldRow *findField(std::string_view table, std::string_view name)
{
    const auto found = std::find_if(Rows.begin(), Rows.end(), [&](const FieldRow &row) {
        return row.table == table && row.name == name;
    });
    return found == Rows.end() ? nullptr : &*found;
}

std::string_view fieldTypeName(FieldType type)
{
    return TypeNames.at(static_cast<std::size_t>(type));
}

} // namespace Configuration
