#include <LibCore/EventLog.h>

#include <jujubeload/CommandLine.h>
#include <jujubeload/LoadRun.h>

#include <iostream>

/// Exits with 0 if every answer was complete and correct, 1 if not, 2 for invalid settings.
int main(int argc, char **argv)
{
    constexpr int SettingsFault = 2;
    const auto settings = Load::parseCommandLine(argc, argv);
    if (!settings) {
        std::cerr << "jujubeload: " << settings.error().what() << '\n';
        return SettingsFault;
    }
    if (!settings.value())
        return 0;
    Core::configureEventLog(Core::LogFormat::Text, Core::EventLevel::Error);
    const Core::SystemClock clock;
    Load::LoadRun run(*settings.value(), clock);
    const auto report = run.run();
    if (settings.value()->json)
        std::cout << Load::formatJson(report) << '\n';
    else
        std::cout << Load::formatText(report);
    return report.isClean() ? 0 : 1;
}
