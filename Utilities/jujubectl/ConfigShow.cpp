#include <boost/json.hpp>
#include <jujubectl/ConfigShow.h>
#include <jujubectl/Table.h>

namespace Jujubectl {

namespace json = boost::json;

namespace {

std::string sourceText(const Configuration::ConfigurationVersion &version)
{
    if (!version.promotedFrom)
        return {};
    return version.promotedFrom->environment + " generation "
           + std::to_string(version.promotedFrom->generation);
}

json::object describe(const Configuration::ConfigurationHistory &history)
{
    const auto &version = *history.current();
    return {{"environment", history.environment()},
            {"generation", version.generation},
            {"digest", version.digest},
            {"publisher", version.publisher},
            {"promoted_from", sourceText(version)},
            {"complete", history.isAnchored() && !history.isHalted()}};
}

void printTable(Context &context, const Configuration::ConfigurationHistory &history)
{
    const auto &version = *history.current();
    Table table({"environment", "generation", "digest", "publisher", "promoted from"});
    table.add({history.environment(), std::to_string(version.generation), version.digest,
               version.publisher, sourceText(version)});
    table.print(context.out);
    if (!history.isAnchored())
        context.err
            << "the log contains no usable copy of the configuration; the instances may have "
               "one\n";
    if (history.isHalted())
        context.err << "the log continues in a newer format than this program supports\n";
}

} // namespace

boost::asio::awaitable<ExitCode> configShow(Context &context)
{
    Configuration::ConfigurationHistory history(context.settings.environment);
    auto publisher = context.publisher();
    co_await publisher.readHistory(history, [](const auto &) {});
    if (context.settings.showDocument)
        context.out << history.current()->bytes;
    else if (context.settings.json)
        context.out << describe(history) << '\n';
    else
        printTable(context, history);
    const bool isComplete = history.isAnchored() && !history.isHalted();
    co_return isComplete ? ExitCode::Success : ExitCode::OutcomeUnknown;
}

} // namespace Jujubectl
