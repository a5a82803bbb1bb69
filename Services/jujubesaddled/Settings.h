#pragma once

#include <LibCore/EventLog.h>
#include <LibCore/Identifier.h>
#include <LibHttp/Endpoint.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace Daemon {

/// An upstream named on the command line, for the embedded platform.
struct StaticUpstream
{
    Core::UpstreamGroupId group;
    Http::Endpoint endpoint;
};

/// The minimum time that the log keeps a claim after its key has expired, in addition to the clock
/// skew.
constexpr std::chrono::milliseconds ClaimMargin {60'000};

/// The validated settings of the daemon.
struct Settings
{
    Http::Endpoint listen;
    Http::Endpoint admin;
    std::optional<Http::Endpoint> peer;
    Core::InstanceId instance;
    Core::DataCentreId dataCentre;
    std::string environment;
    /// Empty for the embedded platform.
    std::optional<Http::Endpoint> platform;
    std::string configurationFile;
    std::vector<StaticUpstream> upstreams;
    /// The key that sibling instances share.
    std::string peerKey;
    std::size_t threads = 1;
    std::chrono::milliseconds drainGrace {0};
    std::chrono::milliseconds drainLimit {0};
    /// The maximum time that an idempotency key is accepted.
    std::chrono::milliseconds keyWindow {0};
    /// How long the platform's log keeps a record.
    std::chrono::milliseconds logRetention {0};
    /// How far the clocks of callers, instances and the log may differ.
    std::chrono::milliseconds clockSkew {0};
    std::chrono::milliseconds usageInterval {0};
    Core::LogFormat logFormat = Core::LogFormat::Json;
    Core::EventLevel logLevel = Core::EventLevel::Info;
};

/// One fault of the settings.
struct SettingFault
{
    std::string flag;
    std::string message;
};

/// The action that the command line selects.
enum class Action {
    Run,
    /// Only check the settings.
    Check,
    PrintSettings,
    /// Exit without running: help or version was printed, or the command line is invalid.
    Exit,
};

/// The parsed command line.
struct CommandLine
{
    Action action = Action::Run;
    int exitCode = 0;
    Settings settings;
    std::vector<SettingFault> faults;
    /// One line per setting, for --print-settings. Never contains a key.
    std::string printed;
};

/// Parses flags and environment variables and reports all faults.
CommandLine readCommandLine(int argc, const char *const *argv);

} // namespace Daemon
