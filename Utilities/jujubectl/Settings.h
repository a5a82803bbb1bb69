#pragma once

#include <LibConfiguration/ConfigurationRecord.h>
#include <LibHttp/Endpoint.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Jujubectl {

enum class CommandKind {
    ConfigCheck,
    ConfigPublish,
    ConfigShow,
    ConfigPromote,
    ConfigWatch,
    ConfigRestart,
    Status,
    Usage,
    Drain,
    Explain,
    Trace,
};

/// The validated settings of the command line.
struct Settings
{
    CommandKind command = CommandKind::Status;
    /// Unset for commands that need no platform.
    std::optional<Http::Endpoint> platform;
    /// The admin port of a single instance, used instead of the platform's instance list.
    std::optional<Http::Endpoint> admin;
    std::string environment;
    bool json = false;
    std::chrono::milliseconds timeout {0};
    /// The document or the request; "-" for standard input.
    std::string file;
    std::string publisher;
    std::optional<Configuration::Generation> generation;
    bool untried = false;
    bool showDocument = false;
    std::string promoteFrom;
    std::string promoteTo;
    std::string digest;
    std::string instance;
    /// The attempt id to trace, and the logs to search; "-" for standard input.
    std::string request;
    std::vector<std::string> files;
};

} // namespace Jujubectl
