#include <jujubectl/ConfigPublish.h>
#include <jujubectl/InputFile.h>
#include <jujubectl/PublishReport.h>

namespace Jujubectl {

boost::asio::awaitable<ExitCode> configPublish(Context &context)
{
    Configuration::PublishRequest request {
        .environment = context.settings.environment,
        .bytes = readInput(context.settings.file),
        .replaces = context.settings.generation,
        .publisher = publisherName(context.settings),
    };
    auto publisher = context.publisher();
    const auto outcome = co_await publisher.publish(std::move(request));
    co_return reportOutcome(context, outcome);
}

} // namespace Jujubectl
