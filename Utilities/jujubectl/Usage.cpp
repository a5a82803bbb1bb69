#include <boost/json.hpp>
#include <jujubectl/JsonCell.h>
#include <jujubectl/Table.h>
#include <jujubectl/Usage.h>

namespace Jujubectl {

namespace json = boost::json;

namespace {

void printTables(std::ostream &out, const json::value &answer)
{
    Table served({"group", "owner", "used by", "slot microseconds"});
    Table idle({"group", "owner", "idle slot microseconds"});
    for (const auto &group : jsonRows(answer, "groups")) {
        for (const auto &it : jsonRows(group, "served"))
            served.add({jsonCell(group, "group"), jsonCell(it, "owner"), jsonCell(it, "user"),
                        jsonCell(it, "slot_us")});
        for (const auto &it : jsonRows(group, "idle"))
            idle.add({jsonCell(group, "group"), jsonCell(it, "owner"), jsonCell(it, "slot_us")});
    }
    served.print(out);
    out << '\n';
    idle.print(out);
}

} // namespace

boost::asio::awaitable<ExitCode> usage(Context &context)
{
    const auto target = co_await adminTarget(context, {});
    const auto answer = co_await context.admin.get(target.admin, "/usage");
    if (context.settings.json)
        context.out << answer << '\n';
    else
        printTables(context.out, answer);
    co_return ExitCode::Success;
}

} // namespace Jujubectl
