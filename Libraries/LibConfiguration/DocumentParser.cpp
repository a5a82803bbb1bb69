#include <LibConfiguration/CrossReferences.h>
#include <LibConfiguration/DocumentParser.h>
#include <LibConfiguration/NestingCheck.h>
#include <LibConfiguration/TableReader.h>

#include <algorithm>
#include <limits>
#include <optional>
#include <sstream>
#include <tuple>

namespace Configuration {

namespace {

constexpr std::size_t MaxDocumentBytes = 8 * 1024 * 1024;
constexpr std::int64_t KnownFormat = 1;

Limits readLimits(const TableReader &table)
{
    return {
        .headerBytes = table.number<std::uint32_t>("header_bytes"),
        .bodyBytes = table.number<std::uint32_t>("body_bytes"),
        .headerTimeout = table.milliseconds("header_timeout_ms"),
        .bodyTimeout = table.milliseconds("body_timeout_ms"),
        .idleTimeout = table.milliseconds("idle_timeout_ms"),
    };
}

PriorityClass readPriorityClass(const TableReader &table)
{
    return {
        .id = Core::PriorityClassId(table.identifier("id")),
        .rank = table.number<std::uint32_t>("rank"),
        .targetFirstToken = table.milliseconds("target_first_token_ms"),
        .worth = table.number<std::uint32_t>("worth"),
        .floorShare = table.share("floor_share"),
        .queueRequests = table.number<std::uint32_t>("queue_requests"),
        .queueTimeout = table.milliseconds("queue_timeout_ms"),
    };
}

UpstreamGroup readUpstreamGroup(const TableReader &table)
{
    UpstreamGroup group {
        .id = Core::UpstreamGroupId(table.identifier("id")),
        .kind = table.choice("kind") == "service" ? UpstreamKind::Service : UpstreamKind::Engine,
        .slotsPerWorker = table.number<std::uint32_t>("slots_per_worker"),
        .pieceTokens = table.number<std::uint32_t>("piece_tokens"),
        .checksFencing = table.boolean("checks_fencing"),
        .concurrentWeightLoads = table.number<std::uint32_t>("concurrent_weight_loads"),
        .queueRequests = table.number<std::uint32_t>("queue_requests"),
        .retryBudget = table.share("retry_budget"),
        .retriesPerSecond = table.number<std::uint32_t>("retries_per_second"),
    };
    if (group.kind == UpstreamKind::Engine)
        return group;
    for (const auto *name : {"piece_tokens", "concurrent_weight_loads"}) {
        if (table.has(name))
            table.addFault(name, "does not apply to a service group");
    }
    group.pieceTokens = 0;
    group.concurrentWeightLoads = 0;
    return group;
}

Model readModel(const TableReader &table)
{
    return {
        .id = Core::ModelId(table.identifier("id")),
        .weightsVersion = table.identifier("weights_version"),
        .upstreamGroup = Core::UpstreamGroupId(table.identifier("upstream_group")),
        .maxTokens = table.number<std::uint32_t>("max_tokens"),
        .firstTokenTimeout = table.milliseconds("first_token_timeout_ms"),
        .nextTokenTimeout = table.milliseconds("next_token_timeout_ms"),
        .answerTimeout = table.milliseconds("answer_timeout_ms"),
    };
}

ServiceRoute readRoute(const TableReader &table)
{
    const bool idempotent = table.choice("repeat") == "idempotent";
    return {
        .method = table.choice("method"),
        .pathPrefix = table.pathPrefix("path_prefix"),
        .repeatability = idempotent ? Repeatability::Idempotent : Repeatability::AtMostOnce,
    };
}

PlainService readService(const TableReader &table)
{
    PlainService service {
        .name = table.identifier("name"),
        .upstreamGroup = Core::UpstreamGroupId(table.identifier("upstream_group")),
        .keyWindow = table.seconds("key_window_s"),
        .timeout = table.milliseconds("timeout_ms"),
    };
    for (const auto &it : table.tables("route")) {
        auto route = readRoute(it);
        const bool isDuplicate = std::any_of(
            service.routes.begin(), service.routes.end(), [&](const ServiceRoute &other) {
                return other.method == route.method && other.pathPrefix == route.pathPrefix;
            });
        if (isDuplicate)
            it.addFault("path_prefix", "is a duplicate for the same method");
        service.routes.push_back(std::move(route));
    }
    return service;
}

Team readTeam(const TableReader &table)
{
    return {
        .id = Core::TeamId(table.identifier("id")),
        .keyHashes = table.hashes("key_hashes"),
        .entitlementWeight = table.number<std::uint32_t>("entitlement_weight"),
        .requestsPerSecond = table.number<std::uint32_t>("requests_per_second"),
        .tokensPerSecond = table.number<std::uint64_t>("tokens_per_second"),
        .concurrentRequests = table.number<std::uint32_t>("concurrent_requests"),
    };
}

Contract readContract(const TableReader &table)
{
    Contract contract {
        .team = Core::TeamId(table.identifier("team")),
        .upstreamGroup = Core::UpstreamGroupId(table.identifier("upstream_group")),
        .ownedShare = table.share("owned_share"),
        .mayBorrow = table.boolean("may_borrow"),
        .defaultClass = Core::PriorityClassId(table.identifier("default_class")),
    };
    for (auto &it : table.identifiers("allowed_classes"))
        contract.allowedClasses.emplace_back(std::move(it));
    return contract;
}

template <typename Read>
auto readAll(const TableReader &root, std::string_view name, Read read)
{
    using Value = decltype(read(root));
    LocatedList<Value> list;
    list.sources = root.tables(name);
    list.values.reserve(list.sources.size());
    for (const auto &it : list.sources)
        list.values.push_back(read(it));
    return list;
}

DocumentContents readContents(const TableReader &root, const toml::value &value,
                              std::vector<Fault> &faults)
{
    static const toml::value none = toml::table {};
    const auto &fields = value.as_table(std::nothrow);
    const auto found = fields.find("limits");
    LocatedContents located {
        .priorityClasses = readAll(root, "priority_class", readPriorityClass),
        .upstreamGroups = readAll(root, "upstream_group", readUpstreamGroup),
        .models = readAll(root, "model", readModel),
        .services = readAll(root, "service", readService),
        .teams = readAll(root, "team", readTeam),
        .contracts = readAll(root, "contract", readContract),
    };
    checkCrossReferences(located);
    return {
        .format = static_cast<std::uint32_t>(KnownFormat),
        .limits =
            readLimits({found == fields.end() ? none : found->second, "limits", "limits", faults}),
        .priorityClasses = std::move(located.priorityClasses.values),
        .upstreamGroups = std::move(located.upstreamGroups.values),
        .models = std::move(located.models.values),
        .services = std::move(located.services.values),
        .teams = std::move(located.teams.values),
        .contracts = std::move(located.contracts.values),
    };
}

std::optional<toml::value> parseToml(std::string_view text, std::vector<Fault> &faults)
{
    try {
        // The final line break avoids the special case of the TOML library for text without one.
        std::istringstream input(std::string(text) + '\n');
        return toml::parse(input, "document");
    } catch (const toml::exception &error) {
        const auto &location = error.location();
        faults.push_back({location.line(), location.column(), {}, "is not valid TOML"});
    } catch (const std::exception &error) {
        faults.push_back({1, 1, {}, std::string("is not valid TOML: ") + error.what()});
    }
    return std::nullopt;
}

/// Returns whether the format of the document is above the known one. This program may not know its
/// other fields.
bool isOfNewerFormat(const toml::value &value)
{
    const auto &fields = value.as_table(std::nothrow);
    const auto found = fields.find("format");
    if (found == fields.end() || !found->second.is_integer())
        return false;
    const auto format = found->second.as_integer(std::nothrow);
    return format > KnownFormat && format <= findField("", "format")->maximum;
}

void sortFaults(std::vector<Fault> &faults)
{
    std::sort(faults.begin(), faults.end(), [](const Fault &left, const Fault &right) {
        return std::tie(left.line, left.column, left.path, left.message)
               < std::tie(right.line, right.column, right.path, right.message);
    });
}

} // namespace

ParsedDocument parseDocument(std::string_view text)
{
    ParsedDocument parsed;
    if (text.size() > MaxDocumentBytes) {
        parsed.faults.push_back({1, 1, {}, "is larger than 8 MiB"});
        return parsed;
    }
    if (auto fault = findDeepNesting(text)) {
        parsed.faults.push_back(std::move(*fault));
        return parsed;
    }
    const auto value = parseToml(text, parsed.faults);
    if (!value)
        return parsed;
    if (isOfNewerFormat(*value)) {
        parsed.formatKnown = false;
        parsed.faults.push_back({1, 1, "format", "is newer than this program supports"});
        return parsed;
    }
    const TableReader root(*value, "", "", parsed.faults);
    root.integer("format");
    parsed.contents = readContents(root, *value, parsed.faults);
    sortFaults(parsed.faults);
    return parsed;
}

} // namespace Configuration
