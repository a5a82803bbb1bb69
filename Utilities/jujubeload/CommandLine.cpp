#include <CLI/CLI.hpp>
#include <jujubeload/CommandLine.h>

#include <cmath>

namespace Load {

namespace {

constexpr std::uint64_t DefaultRequests = 1'000;
constexpr double MillisecondsPerSecond = 1'000;

/// The settings as given, before validation.
struct RawSettings
{
    Settings settings;
    std::vector<std::string> targets;
    std::optional<double> seconds;
};

void declareWork(CLI::App &app, RawSettings &raw)
{
    auto &settings = raw.settings;
    const auto add = [&app](const char *flag, auto &value, const char *variable, const char *help) {
        return app.add_option(flag, value, help)->envname(variable)->capture_default_str();
    };
    add("--tokens", settings.tokens, "JUJUBELOAD_TOKENS", "Tokens requested by each request");
    add("--prompt-bytes", settings.workload.promptBytes, "JUJUBELOAD_PROMPT_BYTES",
        "Length of a prompt");
    add("--shared-prefix-bytes", settings.workload.sharedPrefixBytes,
        "JUJUBELOAD_SHARED_PREFIX_BYTES", "Length of the prefix that prompts share");
    add("--prefixes", settings.workload.prefixes, "JUJUBELOAD_PREFIXES",
        "Number of different prefixes")
        ->check(CLI::PositiveNumber);
    add("--seed", settings.workload.seed, "JUJUBELOAD_SEED", "Seed of prompts and arrivals");
    add("--skip", settings.skip, "JUJUBELOAD_SKIP",
        "Requests to skip at the start of the seeded workload, to continue an earlier run");
}

void declareRun(CLI::App &app, RawSettings &raw)
{
    auto &settings = raw.settings;
    app.add_option("--target", raw.targets, "ADDRESS:PORT; several are used round-robin")
        ->envname("JUJUBELOAD_TARGET")
        ->required();
    app.add_option("--key", settings.key, "The caller's key")->envname("JUJUBELOAD_KEY");
    app.add_option("--model", settings.model, "The requested model")
        ->envname("JUJUBELOAD_MODEL")
        ->required();
    app.add_option("--connections", settings.connections, "Number of concurrent requests")
        ->envname("JUJUBELOAD_CONNECTIONS")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_option("--rate", settings.arrivalRate,
                   "Open loop: mean arrivals per second, instead of --connections")
        ->envname("JUJUBELOAD_RATE")
        ->check(CLI::PositiveNumber);
    auto *requests =
        app.add_option("--requests", settings.requests, "Number of requests (1000 if unset)")
            ->envname("JUJUBELOAD_REQUESTS");
    app.add_option("--seconds", raw.seconds, "Time during which requests are started, in seconds")
        ->envname("JUJUBELOAD_SECONDS")
        ->check(CLI::PositiveNumber)
        ->excludes(requests);
    app.add_flag("--stream,!--no-stream", settings.stream, "Request streamed answers (default)")
        ->envname("JUJUBELOAD_STREAM");
    app.add_option("--threads", settings.threads, "Number of threads of this program")
        ->envname("JUJUBELOAD_THREADS")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_flag("--json", settings.json, "Print JSON")->envname("JUJUBELOAD_JSON");
}

Core::Result<std::optional<Settings>> check(RawSettings raw)
{
    for (const auto &target : raw.targets) {
        const auto endpoint = Http::parseEndpoint(target);
        if (!endpoint)
            return endpoint.error();
        raw.settings.targets.push_back(endpoint.value());
    }
    const auto &workload = raw.settings.workload;
    if (workload.sharedPrefixBytes > workload.promptBytes)
        return Core::Error(Core::ErrorKind::SettingsInvalid,
                           "--shared-prefix-bytes exceeds --prompt-bytes");
    if (raw.seconds)
        raw.settings.time =
            std::chrono::milliseconds(std::llround(*raw.seconds * MillisecondsPerSecond));
    else if (!raw.settings.requests)
        raw.settings.requests = DefaultRequests;
    return std::optional<Settings>(std::move(raw.settings));
}

} // namespace

Core::Result<std::optional<Settings>> parseCommandLine(int argc, const char *const *argv)
{
    CLI::App app("Sends seeded requests, checks that every answer is complete, and reports times");
    app.set_version_flag("--version", std::string("jujubeload ") + JUJUBE_VERSION);
    RawSettings raw;
    declareRun(app, raw);
    declareWork(app, raw);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        if (error.get_exit_code() == 0) {
            app.exit(error);
            return std::optional<Settings>();
        }
        return Core::Error(Core::ErrorKind::SettingsInvalid, error.what());
    }
    return check(std::move(raw));
}

} // namespace Load
