#include <CLI/CLI.hpp>
#include <StandIns/PlatformStandIn.h>
#include <StandIns/StandInProgram.h>

int main(int argc, char **argv)
{
    CLI::App app("A stand-in for the platform");
    unsigned short port = 0;
    long long retentionMs = 3'600'000;
    app.add_option("--port", port, "Port on the loopback address; 0 takes a free one");
    app.add_option("--retention-ms", retentionMs, "How long the log keeps a record");
    CLI11_PARSE(app, argc, argv);
    StandIns::PlatformStandIn platform {std::chrono::milliseconds(retentionMs)};
    return StandIns::runStandIn(
        port, 2, [&platform](Http::ServerExchange &exchange) { return platform.handle(exchange); });
}
