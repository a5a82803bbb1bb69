#include <CLI/CLI.hpp>
#include <StandIns/EngineStandIn.h>
#include <StandIns/StandInProgram.h>

int main(int argc, char **argv)
{
    CLI::App app("A stand-in for a model engine");
    unsigned short port = 0;
    StandIns::EngineSettings settings;
    long long prefillUs = settings.prefillPerKilobyte.count();
    long long decodeUs = settings.decodePerToken.count();
    long long loadMs = settings.loadTime.count();
    app.add_option("--port", port, "Port on the loopback address; 0 takes a free one");
    app.add_option("--slots", settings.slots, "Number of requests that run concurrently");
    app.add_option("--cache-pieces", settings.cacheBlocks,
                   "Capacity of the prefix cache in blocks");
    app.add_option("--piece-bytes", settings.blockBytes, "Size of a block in bytes of the prompt");
    app.add_option("--prefill-us-per-kb", prefillUs, "Prefill time of a kilobyte of prompt");
    app.add_option("--decode-us", decodeUs, "Time between two tokens");
    app.add_option("--load-ms", loadMs, "Time to load weights");
    app.add_option("--weights-version", settings.weightsVersion, "Weights loaded at the start");
    app.add_flag("--checks-fencing", settings.checksFencing, "Refuse stale fencing tokens");
    app.add_option("--poison-marker", settings.poisonMarker, "Text in a prompt that crashes it");
    CLI11_PARSE(app, argc, argv);
    settings.prefillPerKilobyte = std::chrono::microseconds(prefillUs);
    settings.decodePerToken = std::chrono::microseconds(decodeUs);
    settings.loadTime = std::chrono::milliseconds(loadMs);
    StandIns::EngineStandIn engine(settings);
    return StandIns::runStandIn(
        port, 1, [&engine](Http::ServerExchange &exchange) { return engine.handle(exchange); });
}
