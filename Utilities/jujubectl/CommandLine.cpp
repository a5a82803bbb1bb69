#include <CLI/CLI.hpp>
#include <jujubectl/CommandLine.h>
#include <jujubectl/ExitCode.h>

#include <iostream>

namespace Jujubectl {

namespace {

constexpr unsigned DefaultTimeoutMs = 30'000;
constexpr const char *ProductionEnvironment = "production";

/// The settings as given, before validation.
struct RawSettings
{
    Settings settings;
    std::string platform;
    std::string admin;
    unsigned timeoutMs = DefaultTimeoutMs;
};

void declareGlobal(CLI::App &app, RawSettings &raw)
{
    app.set_version_flag("--version", std::string("jujubectl ") + JUJUBE_VERSION);
    app.require_subcommand(1);
    app.fallthrough();
    app.add_option("--platform", raw.platform, "The platform's ADDRESS:PORT")
        ->envname("JUJUBECTL_PLATFORM");
    app.add_option("--admin", raw.admin,
                   "One instance's admin ADDRESS:PORT, instead of the platform's list")
        ->envname("JUJUBECTL_ADMIN");
    app.add_option("--environment", raw.settings.environment, "trial, production, ...")
        ->envname("JUJUBECTL_ENVIRONMENT")
        ->default_val("trial");
    app.add_option("--timeout-ms", raw.timeoutMs, "Timeout of the command in milliseconds")
        ->envname("JUJUBECTL_TIMEOUT_MS")
        ->default_val(DefaultTimeoutMs);
    app.add_flag("--json", raw.settings.json, "Print JSON for scripts")->envname("JUJUBECTL_JSON");
}

CLI::App *declareCommand(CLI::App &parent, RawSettings &raw, const char *name, const char *help,
                         CommandKind kind)
{
    auto *command = parent.add_subcommand(name, help);
    command->callback([&raw, kind] { raw.settings.command = kind; });
    return command;
}

void declarePublisher(CLI::App &command, Settings &settings)
{
    command.add_option("--publisher", settings.publisher, "Who publishes, for the record")
        ->envname("JUJUBECTL_PUBLISHER");
}

void declareConfig(CLI::App &app, RawSettings &raw)
{
    auto &settings = raw.settings;
    auto *config = app.add_subcommand("config", "The configuration document");
    config->require_subcommand(1);
    config->fallthrough();

    auto *check = declareCommand(*config, raw, "check", "Prints every error in a document",
                                 CommandKind::ConfigCheck);
    check->add_option("FILE", settings.file, "The document; - for standard input")->required();

    auto *publish =
        declareCommand(*config, raw, "publish", "Publishes a document to the environment",
                       CommandKind::ConfigPublish);
    publish->add_option("FILE", settings.file, "The document; - for standard input")->required();
    publish
        ->add_option("--replaces", settings.generation,
                     "The generation that was edited; refused when another one is in force")
        ->envname("JUJUBECTL_REPLACES");
    publish
        ->add_flag("--untried", settings.untried,
                   "Publish to production a document that trial has not accepted")
        ->envname("JUJUBECTL_UNTRIED");
    declarePublisher(*publish, settings);

    auto *show = declareCommand(*config, raw, "show", "Shows what the log has accepted",
                                CommandKind::ConfigShow);
    show->add_flag("--document", settings.showDocument, "Print the document's bytes")
        ->envname("JUJUBECTL_DOCUMENT");

    auto *promote = declareCommand(*config, raw, "promote",
                                   "Publishes in one environment the bytes that another accepted",
                                   CommandKind::ConfigPromote);
    promote->add_option("--from", settings.promoteFrom, "The environment that accepted them")
        ->envname("JUJUBECTL_FROM")
        ->default_val("trial");
    promote->add_option("--to", settings.promoteTo, "The environment to publish in")
        ->envname("JUJUBECTL_TO")
        ->default_val(ProductionEnvironment);
    promote
        ->add_option("--digest", settings.digest,
                     "The document's digest; the one in force if omitted")
        ->envname("JUJUBECTL_DIGEST");
    declarePublisher(*promote, settings);

    auto *watch = declareCommand(*config, raw, "watch",
                                 "Waits until a generation is in force on every live instance",
                                 CommandKind::ConfigWatch);
    watch
        ->add_option("--generation", settings.generation,
                     "The generation; the latest accepted one if omitted")
        ->envname("JUJUBECTL_GENERATION");

    auto *restart = declareCommand(*config, raw, "restart",
                                   "Restarts the configuration when the log yields no document",
                                   CommandKind::ConfigRestart);
    restart->add_option("FILE", settings.file, "The document; - for standard input")->required();
    restart
        ->add_option("--generation", settings.generation,
                     "A generation above all that any instance has in force")
        ->envname("JUJUBECTL_GENERATION")
        ->required();
    declarePublisher(*restart, settings);
}

void declareOthers(CLI::App &app, RawSettings &raw)
{
    auto &settings = raw.settings;
    declareCommand(app, raw, "status", "Shows instances and upstreams", CommandKind::Status);
    declareCommand(app, raw, "usage", "Shows which teams' capacity served which teams or was idle",
                   CommandKind::Usage);
    auto *drain = declareCommand(
        app, raw, "drain", "Drains an instance: it accepts no new requests", CommandKind::Drain);
    drain->add_option("INSTANCE", settings.instance, "The instance; not needed with --admin");
    auto *trace = declareCommand(app, raw, "trace", "Shows the log lines about one request",
                                 CommandKind::Trace);
    trace->add_option("ID", settings.request, "The attempt id of the request")->required();
    trace->add_option("LOG", settings.files, "Logs of any instances; - for standard input")
        ->default_val(std::vector<std::string> {"-"});
    auto *explain = declareCommand(app, raw, "explain",
                                   "Shows which upstream a request would be sent to, and why",
                                   CommandKind::Explain);
    explain->add_option("REQUEST-FILE", settings.file, "The request; - for standard input")
        ->required();
    explain->add_option("--instance", settings.instance, "The instance to query; any if omitted")
        ->envname("JUJUBECTL_INSTANCE");
}

std::optional<Http::Endpoint> endpoint(const char *flag, const std::string &text)
{
    if (text.empty())
        return std::nullopt;
    const auto parsed = Http::parseEndpoint(text);
    if (!parsed)
        throw CLI::ValidationError(flag, parsed.assume_error().detail());
    return parsed.assume_value();
}

Settings validated(RawSettings &raw)
{
    auto settings = std::move(raw.settings);
    settings.timeout = std::chrono::milliseconds(raw.timeoutMs);
    settings.platform = endpoint("--platform", raw.platform);
    settings.admin = endpoint("--admin", raw.admin);
    const auto command = settings.command;
    const bool usesLog = command == CommandKind::ConfigPublish || command == CommandKind::ConfigShow
                         || command == CommandKind::ConfigPromote
                         || command == CommandKind::ConfigRestart
                         || command == CommandKind::ConfigWatch;
    if (usesLog && !settings.platform)
        throw CLI::ValidationError("--platform", "is required for this command");
    const bool isOffline = command == CommandKind::ConfigCheck || command == CommandKind::Trace;
    if (!settings.platform && !settings.admin && !isOffline)
        throw CLI::ValidationError("--platform", "is required unless --admin is given");
    if (command == CommandKind::Drain && settings.instance.empty() && !settings.admin)
        throw CLI::ValidationError("INSTANCE", "is required unless --admin is given");
    const bool isProduction = settings.environment == ProductionEnvironment;
    if (command == CommandKind::ConfigPublish && isProduction && !settings.untried)
        throw CLI::ValidationError("--environment",
                                   "use config promote for production, or pass --untried");
    return settings;
}

} // namespace

CommandLine parseCommandLine(int argc, const char *const *argv)
{
    RawSettings raw;
    CLI::App app("Operates jujubesaddle: configuration, status, usage.", "jujubectl");
    declareGlobal(app, raw);
    declareConfig(app, raw);
    declareOthers(app, raw);
    try {
        app.parse(argc, argv);
        return {.settings = validated(raw)};
    } catch (const CLI::ParseError &error) {
        const bool isError = app.exit(error) != 0;
        return {.exitCode = isError ? static_cast<int>(ExitCode::Usage) : 0};
    }
}

} // namespace Jujubectl
