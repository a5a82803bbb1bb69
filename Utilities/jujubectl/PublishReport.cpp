#include <boost/json.hpp>
#include <jujubectl/PublishReport.h>

#include <cstdlib>

namespace Jujubectl {

namespace {

using Configuration::PublishResult;

const char *resultName(PublishResult result)
{
    switch (result) {
    case PublishResult::Accepted:
        return "accepted";
    case PublishResult::LostRace:
        return "lost_race";
    case PublishResult::Unknown:
        break;
    }
    return "unknown";
}

ExitCode exitCode(PublishResult result)
{
    switch (result) {
    case PublishResult::Accepted:
        return ExitCode::Success;
    case PublishResult::LostRace:
        return ExitCode::LostRace;
    case PublishResult::Unknown:
        break;
    }
    return ExitCode::OutcomeUnknown;
}

} // namespace

ExitCode reportOutcome(Context &context, const Configuration::PublishOutcome &outcome)
{
    const auto generation = std::to_string(outcome.generation);
    if (context.settings.json)
        context.out << boost::json::object {{"result", resultName(outcome.result)},
                                            {"generation", outcome.generation},
                                            {"digest", outcome.digest},
                                            {"publisher", outcome.publisher}}
                    << '\n';
    else if (outcome.result == PublishResult::Accepted)
        context.out << "accepted as generation " << generation << ", digest " << outcome.digest
                    << '\n';
    else if (outcome.result == PublishResult::LostRace)
        context.err << "refused: another publication by '" << outcome.publisher
                    << "' came first; generation " << generation << " is in force\n";
    else
        context.err << "unknown: the log did not answer, and the document may still come into "
                       "force; see config show\n";
    return exitCode(outcome.result);
}

std::string publisherName(const Settings &settings)
{
    if (!settings.publisher.empty())
        return settings.publisher;
    const char *user = std::getenv("USER");
    return user ? user : "unnamed";
}

} // namespace Jujubectl
