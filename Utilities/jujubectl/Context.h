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

/// What a command works with. The platform is null for commands that need none.
struct Context
{
    const Settings &settings;
    Platform::LogService *log = nullptr;
    Platform::InstanceDirectory *directory = nullptr;
    AdminClient &admin;
    const Core::Clock &clock;
    std::mt19937_64 &random;
    /// Results.
    std::ostream &out;
    /// Progress and faults.
    std::ostream &err;

    /// A publisher that tries for the time of --timeout-ms.
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

/// The port of --admin alone, or every entry instance of the platform's list.
boost::asio::awaitable<std::vector<AdminTarget>> adminTargets(Context &context);

/// One target: the named instance, or the first live one for an empty name. Throws
/// Error(NoUpstream) when there is none.
boost::asio::awaitable<AdminTarget> adminTarget(Context &context, std::string name);

} // namespace Jujubectl
