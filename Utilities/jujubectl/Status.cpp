#include <boost/json.hpp>
#include <jujubectl/InstanceStatus.h>
#include <jujubectl/Status.h>
#include <jujubectl/Table.h>

#include <algorithm>

namespace Jujubectl {

namespace json = boost::json;

namespace {

std::string stateOf(const TargetStatus &entry)
{
    if (!entry.isReachable)
        return "unreachable";
    if (entry.status.isDraining)
        return "draining";
    return entry.status.isReady ? "ready" : "not ready";
}

std::string stateOf(const UpstreamStatus &upstream)
{
    if (upstream.isLeaving)
        return "leaving";
    return upstream.isSuspected ? "suspected" : "live";
}

void printInstances(Context &context, const std::vector<TargetStatus> &statuses)
{
    Table table({"instance", "data centre", "state", "generation", "upstreams", "version"});
    for (const auto &it : statuses)
        table.add({it.target.id, it.isReachable ? it.status.dataCentre : it.target.dataCentre,
                   stateOf(it), std::to_string(it.status.generation),
                   std::to_string(it.status.upstreams.size()), it.status.version});
    table.print(context.out);
}

void printUpstreams(Context &context, const std::vector<TargetStatus> &statuses)
{
    Table table({"upstream", "group", "seen by", "state", "in flight", "incarnation"});
    for (const auto &it : statuses) {
        for (const auto &upstream : it.status.upstreams)
            table.add({upstream.id, upstream.group, it.target.id, stateOf(upstream),
                       std::to_string(upstream.inFlight), std::to_string(upstream.incarnation)});
    }
    context.out << '\n';
    table.print(context.out);
}

json::array describe(const std::vector<TargetStatus> &statuses)
{
    json::array rows;
    for (const auto &it : statuses)
        rows.push_back(json::object {{"id", it.target.id},
                                     {"state", stateOf(it)},
                                     {"fault", it.fault},
                                     {"status", it.status.raw}});
    return rows;
}

} // namespace

boost::asio::awaitable<ExitCode> status(Context &context)
{
    const auto statuses = co_await fetchStatuses(context);
    if (context.settings.json) {
        context.out << json::object {{"instances", describe(statuses)}} << '\n';
    } else {
        printInstances(context, statuses);
        printUpstreams(context, statuses);
    }
    for (const auto &it : statuses) {
        if (!it.isReachable)
            context.err << it.target.id << ": " << it.fault << '\n';
    }
    const bool anyReachable = std::any_of(statuses.begin(), statuses.end(),
                                          [](const auto &it) { return it.isReachable; });
    co_return anyReachable ? ExitCode::Success : ExitCode::Unavailable;
}

} // namespace Jujubectl
