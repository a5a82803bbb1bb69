#include <boost/json.hpp>
#include <jujubectl/Explain.h>
#include <jujubectl/InputFile.h>
#include <jujubectl/JsonCell.h>
#include <jujubectl/Table.h>

namespace Jujubectl {

namespace json = boost::json;

namespace {

/// Returns one column per term, in the order in which the instance lists them.
Table tableOf(const json::array &candidates)
{
    std::vector<std::string> names;
    if (!candidates.empty() && candidates.front().is_object()) {
        for (const auto &it : candidates.front().get_object())
            names.emplace_back(it.key());
    }
    Table table(names);
    for (const auto &candidate : candidates) {
        std::vector<std::string> row;
        row.reserve(names.size());
        for (const auto &name : names)
            row.push_back(jsonCell(candidate, name));
        table.add(std::move(row));
    }
    return table;
}

void printAnswer(std::ostream &out, const json::value &answer)
{
    const auto *object = answer.if_object();
    if (!object)
        return;
    for (const auto &it : *object) {
        if (it.key() != "candidates")
            out << std::string(it.key()) << ": " << it.value() << '\n';
    }
    tableOf(jsonRows(answer, "candidates")).print(out);
}

} // namespace

boost::asio::awaitable<ExitCode> explain(Context &context)
{
    const auto target = co_await adminTarget(context, context.settings.instance);
    const auto answer =
        co_await context.admin.post(target.admin, "/explain", readInput(context.settings.file));
    if (context.settings.json)
        context.out << answer << '\n';
    else
        printAnswer(context.out, answer);
    co_return ExitCode::Success;
}

} // namespace Jujubectl
