#include <LibPlatform/HttpInstanceDirectory.h>
#include <LibPlatform/HttpLogService.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <jujubectl/CommandLine.h>
#include <jujubectl/Commands.h>
#include <jujubectl/HttpAdminClient.h>

#include <algorithm>
#include <iostream>
#include <memory>
#include <random>

namespace {

using namespace Jujubectl;

/// Limits each call, so that an unresponsive instance does not use up the whole timeout.
constexpr std::chrono::milliseconds MaxCallDuration {2'000};

int run(const Settings &settings)
{
    const auto callLimit = std::min(settings.timeout, MaxCallDuration);
    // Outlives the connections of the clients below.
    boost::asio::io_context io;
    std::unique_ptr<Platform::HttpLogService> log;
    std::unique_ptr<Platform::HttpInstanceDirectory> directory;
    if (settings.platform) {
        log = std::make_unique<Platform::HttpLogService>(*settings.platform, callLimit);
        directory =
            std::make_unique<Platform::HttpInstanceDirectory>(*settings.platform, callLimit);
    }
    HttpAdminClient admin(callLimit);
    const Core::SystemClock clock;
    std::mt19937_64 random(std::random_device {}());
    Context context {settings, log.get(), directory.get(), admin,
                     clock,    random,    std::cout,       std::cerr};
    auto code = ExitCode::Failure;
    boost::asio::co_spawn(io, runCommand(context),
                          [&](const std::exception_ptr &error, ExitCode result) {
                              if (error)
                                  std::rethrow_exception(error);
                              code = result;
                              io.stop();
                          });
    io.run();
    return static_cast<int>(code);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const auto commandLine = parseCommandLine(argc, argv);
        return commandLine.settings ? run(*commandLine.settings) : commandLine.exitCode;
    } catch (const std::exception &error) {
        std::cerr << "jujubectl: " << error.what() << '\n';
        return static_cast<int>(ExitCode::Failure);
    }
}
