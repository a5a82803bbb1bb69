#include <jujubectl/Commands.h>
#include <jujubectl/ConfigCheck.h>
#include <jujubectl/ConfigPromote.h>
#include <jujubectl/ConfigPublish.h>
#include <jujubectl/ConfigRestart.h>
#include <jujubectl/ConfigShow.h>
#include <jujubectl/ConfigWatch.h>
#include <jujubectl/Drain.h>
#include <jujubectl/Explain.h>
#include <jujubectl/Status.h>
#include <jujubectl/Trace.h>
#include <jujubectl/Usage.h>

namespace Jujubectl {

namespace asio = boost::asio;

namespace {

asio::awaitable<ExitCode> dispatch(Context &context)
{
    switch (context.settings.command) {
    case CommandKind::ConfigCheck:
        return configCheck(context);
    case CommandKind::ConfigPublish:
        return configPublish(context);
    case CommandKind::ConfigShow:
        return configShow(context);
    case CommandKind::ConfigPromote:
        return configPromote(context);
    case CommandKind::ConfigWatch:
        return configWatch(context);
    case CommandKind::ConfigRestart:
        return configRestart(context);
    case CommandKind::Status:
        return status(context);
    case CommandKind::Usage:
        return usage(context);
    case CommandKind::Drain:
        return drain(context);
    case CommandKind::Trace:
        return trace(context);
    case CommandKind::Explain:
        break;
    }
    return explain(context);
}

ExitCode exitCode(Core::ErrorKind kind)
{
    switch (kind) {
    case Core::ErrorKind::SettingsInvalid:
        return ExitCode::Usage;
    case Core::ErrorKind::ConfigurationInvalid:
        return ExitCode::DocumentInvalid;
    case Core::ErrorKind::ConfigurationConflict:
        return ExitCode::LostRace;
    case Core::ErrorKind::ConfigurationNotAccepted:
        return ExitCode::NotAccepted;
    case Core::ErrorKind::PlatformUnavailable:
    case Core::ErrorKind::NoUpstream:
    case Core::ErrorKind::UpstreamUnreachable:
    case Core::ErrorKind::UpstreamTimedOut:
        return ExitCode::Unavailable;
    default:
        return ExitCode::Failure;
    }
}

} // namespace

asio::awaitable<ExitCode> runCommand(Context &context)
{
    try {
        co_return co_await dispatch(context);
    } catch (const Core::Error &error) {
        context.err << "jujubectl: " << error.what() << '\n';
        co_return exitCode(error.kind());
    }
}

} // namespace Jujubectl
