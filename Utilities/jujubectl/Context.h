#pragma once

#include <LibConfiguration/Publisher.h>
#include <LibCore/Clock.h>
#include <LibPlatform/InstanceList.h>
#include <LibPlatform/LogService.h>

#include <boost/asio/awaitable.hpp>
#include <jujubectl/AdminClient.h>
#include <jujubectl/ExitCode.h>
#include <jujubectl/Settings.h>

#include <ostream>
#include <random>
#include <string>
#include <vector>

namespace Jujubectl {

/// The dependencies of a command. The platform is null for commands that need none.
struct Context
{
    const Settings &settings;
    Platform::LogService *log = nullptr;
    Platform::InstanceDirectory *directory = nullptr;
    AdminClient &admin;
    const Core::Clock &clock;
    std::mt19937_64 &random;
    /// Receives results.
    std::ostream &out;
    /// Receives progress and errors.
    std::ostream &err;

    /// Returns a publisher that retries until --timeout-ms has passed.
    Configuration::Publisher publisher() const;
};

/// An entry instance whose admin port can be called.
struct AdminTarget
{
    std::string id;
    std::string dataCentre;
    Http::Endpoint admin;
    bool isLeaving = false;
};

/// Returns only the port of --admin if given, else every entry instance of the platform's list.
boost::asio::awaitable<std::vector<AdminTarget>> adminTargets(Context &context);

/// Returns the named instance, or the first live one if the name is empty. Throws
/// Error(NoUpstream) if there is none.
boost::asio::awaitable<AdminTarget> adminTarget(Context &context, std::string name);

} // namespace Jujubectl
