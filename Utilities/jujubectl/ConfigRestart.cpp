#include <jujubectl/ConfigRestart.h>
#include <jujubectl/InputFile.h>
#include <jujubectl/InstanceStatus.h>
#include <jujubectl/PublishReport.h>

namespace Jujubectl {

boost::asio::awaitable<ExitCode> configRestart(Context &context)
{
    const auto generation = context.settings.generation.value_or(0);
    for (const auto &it : co_await fetchStatuses(context)) {
        if (it.status.generation >= generation)
            throw Core::Error(Core::ErrorKind::ConfigurationConflict,
                              it.target.id + " has generation "
                                  + std::to_string(it.status.generation) + " in force");
    }
    Configuration::PublishRequest request {
        .environment = context.settings.environment,
        .bytes = readInput(context.settings.file),
        .publisher = publisherName(context.settings),
    };
    auto publisher = context.publisher();
    const auto outcome = co_await publisher.restart(std::move(request), generation);
    co_return reportOutcome(context, outcome);
}

} // namespace Jujubectl
