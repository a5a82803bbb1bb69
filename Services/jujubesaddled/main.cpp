#include <LibCore/EventLog.h>
#include <LibCore/ProcessSignals.h>

#include <jujubesaddled/Daemon.h>

#include <iostream>

namespace {

constexpr int ExitBadSettings = 2;

void reportFaults(const Daemon::CommandLine &line)
{
    for (const auto &fault : line.faults) {
        std::cerr << fault.flag << ": " << fault.message << '\n';
        Core::logEvent(Core::EventId::SettingsInvalid,
                       {{"flag", fault.flag}, {"message", fault.message}});
    }
}

int run(const Daemon::Settings &settings, Core::ProcessSignals &signals)
{
    Core::logEvent(Core::EventId::ProcessStarted, {{"version", JUJUBE_VERSION},
                                                   {"instance", settings.instance.value()},
                                                   {"environment", settings.environment}});
    auto daemon = Daemon::Daemon::create(settings, signals);
    if (!daemon.has_value()) {
        std::cerr << daemon.error().what() << '\n';
        return ExitBadSettings;
    }
    if (!daemon.value())
        return 0;
    // Suspended coroutines in its contexts and the components that they use refer to each other, so
    // no order of destruction is safe. After its threads have stopped, the daemon is deliberately
    // not destroyed.
    static Daemon::Daemon *const running = daemon.value().release();
    running->runUntilSignal(signals);
    running->stop();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    // Signals are handled from here until the exit, so the object is never destroyed.
    static auto &signals = *new Core::ProcessSignals;
    const auto line = Daemon::readCommandLine(argc, argv);
    if (line.action == Daemon::Action::Exit)
        return line.exitCode;
    Core::configureEventLog(line.settings.logFormat, line.settings.logLevel);
    if (line.action == Daemon::Action::PrintSettings)
        std::cout << line.printed;
    reportFaults(line);
    if (!line.faults.empty() || line.action != Daemon::Action::Run)
        return line.exitCode;
    return run(line.settings, signals);
}
