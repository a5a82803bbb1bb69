#include <jujubectl/ConfigPromote.h>
#include <jujubectl/PublishReport.h>

namespace Jujubectl {

namespace asio = boost::asio;

namespace {

/// Returns the version with the given digest that an environment has accepted, or its latest
/// version if the digest is empty. Throws ConfigurationNotAccepted if there is none.
asio::awaitable<Configuration::ConfigurationVersionPointer>
acceptedVersion(Context &context, std::string environment, std::string digest)
{
    Configuration::ConfigurationVersionPointer found;
    Configuration::ConfigurationHistory history(environment);
    auto publisher = context.publisher();
    co_await publisher.readHistory(history, [&](const Configuration::HistoryEntry &entry) {
        if (entry.version && (digest.empty() || entry.version->digest == digest))
            found = entry.version;
    });
    if (!found)
        throw Core::Error(Core::ErrorKind::ConfigurationNotAccepted,
                          environment + " has not accepted "
                              + (digest.empty() ? "any document" : digest));
    co_return found;
}

} // namespace

asio::awaitable<ExitCode> configPromote(Context &context)
{
    const auto &settings = context.settings;
    const auto version = co_await acceptedVersion(context, settings.promoteFrom, settings.digest);
    Configuration::PublishRequest request {
        .environment = settings.promoteTo,
        .bytes = version->bytes,
        .publisher = publisherName(settings),
        .promotedFrom = Configuration::PromotionSource {settings.promoteFrom, version->generation,
                                                        version->digest},
    };
    auto publisher = context.publisher();
    const auto outcome = co_await publisher.publish(std::move(request));
    co_return reportOutcome(context, outcome);
}

} // namespace Jujubectl
