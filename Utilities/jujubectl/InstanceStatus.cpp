#include <boost/json.hpp>
#include <jujubectl/InstanceStatus.h>

#include <utility>

namespace Jujubectl {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

std::string textOf(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

bool flagOf(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    return value && value->is_bool() && value->get_bool();
}

std::int64_t numberOf(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    if (!value || !value->is_number())
        return 0;
    boost::system::error_code ec;
    const auto number = value->to_number<std::int64_t>(ec);
    return ec ? 0 : number;
}

UpstreamStatus parseUpstream(const json::object &object)
{
    return {
        .id = textOf(object, "id"),
        .group = textOf(object, "group"),
        .incarnation = static_cast<std::uint64_t>(numberOf(object, "incarnation")),
        .inFlight = numberOf(object, "in_flight"),
        .isLeaving = flagOf(object, "leaving"),
        .isSuspected = flagOf(object, "suspected"),
    };
}

} // namespace

InstanceStatus parseInstanceStatus(json::value answer)
{
    InstanceStatus status;
    if (const auto *object = answer.if_object()) {
        status.instance = textOf(*object, "instance");
        status.dataCentre = textOf(*object, "data_centre");
        status.version = textOf(*object, "version");
        status.generation = static_cast<std::uint64_t>(numberOf(*object, "generation"));
        status.isReady = flagOf(*object, "ready");
        status.isDraining = flagOf(*object, "draining");
        const auto *upstreams = object->if_contains("upstreams");
        if (upstreams && upstreams->is_array()) {
            for (const auto &it : upstreams->get_array()) {
                if (it.is_object())
                    status.upstreams.push_back(parseUpstream(it.get_object()));
            }
        }
    }
    status.raw = std::move(answer);
    return status;
}

asio::awaitable<std::vector<TargetStatus>> fetchStatuses(Context &context)
{
    std::vector<TargetStatus> statuses;
    for (auto &target : co_await adminTargets(context)) {
        TargetStatus entry {.target = std::move(target)};
        try {
            entry.status =
                parseInstanceStatus(co_await context.admin.get(entry.target.admin, "/status"));
            entry.isReachable = true;
        } catch (const Core::Error &error) {
            entry.fault = error.what();
        }
        statuses.push_back(std::move(entry));
    }
    co_return statuses;
}

} // namespace Jujubectl
