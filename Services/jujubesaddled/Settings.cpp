#include <LibClaims/ClaimKey.h>

#include <CLI/CLI.hpp>
#include <jujubesaddled/Settings.h>

#include <charconv>
#include <fstream>
#include <functional>
#include <iterator>
#include <thread>

namespace Daemon {

namespace {

constexpr int ExitBadSettings = 2;
constexpr std::size_t MaxThreads = 256;
constexpr std::size_t MinPeerKeyBytes = 16;

/// The settings as given, before validation.
struct RawSettings
{
    std::string listen = "127.0.0.1:8080";
    std::string admin = "127.0.0.1:8081";
    std::string peer;
    std::string instance = "instance-1";
    std::string dataCentre = "local";
    std::string environment = "production";
    std::string platform = "embedded";
    std::string configurationFile;
    std::vector<std::string> upstreams;
    std::string peerKeyFile;
    std::string threads;
    std::string drainGraceMs = "1000";
    std::string drainLimitMs = "120000";
    std::string keyWindowS = "3600";
    std::string logRetentionS = "7200";
    std::string clockSkewMs = "5000";
    std::string usageIntervalMs = "10000";
    std::string logFormat = "json";
    std::string logLevel = "info";
    bool check = false;
    bool printSettings = false;
};

void declareOptions(CLI::App &app, RawSettings &raw)
{
    const auto add = [&app](const char *flag, auto &value, const char *variable, const char *help) {
        app.add_option(flag, value, help)->envname(variable)->capture_default_str();
    };
    add("--listen", raw.listen, "JUJUBE_LISTEN", "Callers' port, ADDRESS:PORT");
    add("--admin", raw.admin, "JUJUBE_ADMIN", "Operators' port, ADDRESS:PORT");
    add("--peer", raw.peer, "JUJUBE_PEER", "Siblings' port, ADDRESS:PORT; empty for none");
    add("--instance", raw.instance, "JUJUBE_INSTANCE", "This instance's name");
    add("--data-centre", raw.dataCentre, "JUJUBE_DATA_CENTRE", "The data centre of this instance");
    add("--environment", raw.environment, "JUJUBE_ENVIRONMENT", "trial, production, ...");
    add("--platform", raw.platform, "JUJUBE_PLATFORM", "ADDRESS:PORT, or embedded");
    add("--config", raw.configurationFile, "JUJUBE_CONFIG",
        "Configuration document, with the embedded platform");
    add("--upstream", raw.upstreams, "JUJUBE_UPSTREAM",
        "GROUP=ADDRESS:PORT, with the embedded platform; may be repeated");
    add("--peer-key-file", raw.peerKeyFile, "JUJUBE_PEER_KEY_FILE",
        "File with the key that siblings share; or give it in JUJUBE_PEER_KEY");
    add("--threads", raw.threads, "JUJUBE_THREADS", "Threads for requests; empty for one a core");
    add("--drain-grace-ms", raw.drainGraceMs, "JUJUBE_DRAIN_GRACE_MS",
        "How long a shutdown rejects new requests before it closes the port");
    add("--drain-limit-ms", raw.drainLimitMs, "JUJUBE_DRAIN_LIMIT_MS",
        "How long a shutdown waits for running requests");
    add("--key-window-s", raw.keyWindowS, "JUJUBE_KEY_WINDOW_S",
        "Longest time an idempotency key is acceptable after its issue; the same on all instances");
    add("--log-retention-s", raw.logRetentionS, "JUJUBE_LOG_RETENTION_S",
        "How long the platform's log keeps a record");
    add("--clock-skew-ms", raw.clockSkewMs, "JUJUBE_CLOCK_SKEW_MS",
        "How far clocks of callers, instances and the log may differ");
    add("--usage-interval-ms", raw.usageIntervalMs, "JUJUBE_USAGE_INTERVAL_MS",
        "Time between two usage records; what a crash can lose");
    add("--log-format", raw.logFormat, "JUJUBE_LOG_FORMAT", "json or text");
    add("--log-level", raw.logLevel, "JUJUBE_LOG_LEVEL", "debug, info, warning or error");
    app.add_flag("--check", raw.check, "Check the settings and exit");
    app.add_flag("--print-settings", raw.printSettings, "Print the settings in force and exit");
    app.set_version_flag("--version", std::string("jujubesaddled ") + JUJUBE_VERSION);
}

/// Converts text to typed settings and collects faults.
class Checker
{
public:
    explicit Checker(std::vector<SettingFault> &faults)
        : m_faults(faults)
    { }

    void fault(const char *flag, const std::string &message)
    {
        m_faults.push_back({flag, message});
    }

    Http::Endpoint endpoint(const char *flag, const std::string &text)
    {
        auto parsed = Http::parseEndpoint(text);
        if (parsed.has_value())
            return parsed.value();
        fault(flag, parsed.error().detail());
        return {};
    }

    std::size_t number(const char *flag, const std::string &text, std::size_t lowest,
                       std::size_t highest)
    {
        std::size_t value = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (ec != std::errc {} || end != text.data() + text.size() || value < lowest
            || value > highest)
            fault(flag, "not a whole number from " + std::to_string(lowest) + " to "
                            + std::to_string(highest) + ": '" + text + "'");
        return value;
    }

    void name(const char *flag, const std::string &text)
    {
        constexpr std::string_view Allowed =
            "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_";
        if (text.empty() || text.find_first_not_of(Allowed) != std::string::npos)
            fault(flag, "not a name of letters, digits, '-' and '_': '" + text + "'");
    }

private:
    std::vector<SettingFault> &m_faults;
};

std::string readPeerKey(const RawSettings &raw, Checker &checker)
{
    if (raw.peerKeyFile.empty()) {
        const char *variable = std::getenv("JUJUBE_PEER_KEY");
        return variable ? variable : "";
    }
    std::ifstream file(raw.peerKeyFile);
    if (!file)
        checker.fault("--peer-key-file", "cannot be read: '" + raw.peerKeyFile + "'");
    std::string key((std::istreambuf_iterator<char>(file)), {});
    while (!key.empty() && (key.back() == '\n' || key.back() == '\r'))
        key.pop_back();
    return key;
}

void checkLogging(const RawSettings &raw, Settings &settings, Checker &checker)
{
    if (raw.logFormat == "text")
        settings.logFormat = Core::LogFormat::Text;
    else if (raw.logFormat != "json")
        checker.fault("--log-format", "neither json nor text: '" + raw.logFormat + "'");
    if (raw.logLevel == "debug")
        settings.logLevel = Core::EventLevel::Debug;
    else if (raw.logLevel == "warning")
        settings.logLevel = Core::EventLevel::Warning;
    else if (raw.logLevel == "error")
        settings.logLevel = Core::EventLevel::Error;
    else if (raw.logLevel != "info")
        checker.fault("--log-level", "not a level: '" + raw.logLevel + "'");
}

void checkTimes(const RawSettings &raw, Settings &settings, Checker &checker)
{
    constexpr std::size_t MaxSeconds = 366UL * 24 * 3600;
    constexpr std::size_t MaxMilliseconds = 3'600'000;
    settings.keyWindow =
        std::chrono::seconds(checker.number("--key-window-s", raw.keyWindowS, 1, MaxSeconds));
    settings.logRetention =
        std::chrono::seconds(checker.number("--log-retention-s", raw.logRetentionS, 1, MaxSeconds));
    settings.clockSkew = std::chrono::milliseconds(
        checker.number("--clock-skew-ms", raw.clockSkewMs, 0, MaxMilliseconds));
    const auto window = Claims::KeyWindow::create(settings.keyWindow, settings.clockSkew,
                                                  settings.logRetention, ClaimMargin);
    if (!window.has_value())
        checker.fault("--key-window-s", window.error().detail());
    settings.usageInterval = std::chrono::milliseconds(
        checker.number("--usage-interval-ms", raw.usageIntervalMs, 10, MaxMilliseconds));
}

void checkUpstreams(const RawSettings &raw, Settings &settings, Checker &checker)
{
    for (const auto &text : raw.upstreams) {
        const auto equals = text.find('=');
        if (equals == std::string::npos || equals == 0) {
            checker.fault("--upstream", "not GROUP=ADDRESS:PORT: '" + text + "'");
            continue;
        }
        settings.upstreams.push_back({Core::UpstreamGroupId(text.substr(0, equals)),
                                      checker.endpoint("--upstream", text.substr(equals + 1))});
    }
}

void checkPlatform(const RawSettings &raw, Settings &settings, Checker &checker)
{
    const bool embedded = raw.platform == "embedded";
    if (!embedded)
        settings.platform = checker.endpoint("--platform", raw.platform);
    if (embedded && raw.configurationFile.empty())
        checker.fault("--config", "the embedded platform needs a configuration document");
    if (!embedded && !raw.configurationFile.empty())
        checker.fault("--config", "only for the embedded platform; publish the document instead");
    if (!embedded && !raw.upstreams.empty())
        checker.fault("--upstream", "only for the embedded platform; the platform lists them");
    settings.configurationFile = raw.configurationFile;
}

void checkPeer(const RawSettings &raw, Settings &settings, Checker &checker)
{
    settings.peerKey = readPeerKey(raw, checker);
    if (raw.peer.empty())
        return;
    settings.peer = checker.endpoint("--peer", raw.peer);
    if (settings.peerKey.size() < MinPeerKeyBytes)
        checker.fault("--peer-key-file", "--peer needs a key of at least "
                                             + std::to_string(MinPeerKeyBytes) + " bytes");
}

void check(const RawSettings &raw, CommandLine &line)
{
    auto &settings = line.settings;
    Checker checker(line.faults);
    settings.listen = checker.endpoint("--listen", raw.listen);
    settings.admin = checker.endpoint("--admin", raw.admin);
    checker.name("--instance", raw.instance);
    checker.name("--data-centre", raw.dataCentre);
    checker.name("--environment", raw.environment);
    settings.instance = Core::InstanceId(raw.instance);
    settings.dataCentre = Core::DataCentreId(raw.dataCentre);
    settings.environment = raw.environment;
    settings.threads = raw.threads.empty()
                           ? std::max(1U, std::thread::hardware_concurrency())
                           : checker.number("--threads", raw.threads, 1, MaxThreads);
    constexpr std::size_t MaxDrainMilliseconds = 3'600'000;
    settings.drainGrace = std::chrono::milliseconds(
        checker.number("--drain-grace-ms", raw.drainGraceMs, 0, MaxDrainMilliseconds));
    settings.drainLimit = std::chrono::milliseconds(
        checker.number("--drain-limit-ms", raw.drainLimitMs, 0, MaxDrainMilliseconds));
    checkTimes(raw, settings, checker);
    checkPlatform(raw, settings, checker);
    checkUpstreams(raw, settings, checker);
    checkPeer(raw, settings, checker);
    checkLogging(raw, settings, checker);
}

std::string print(const RawSettings &raw, const Settings &settings)
{
    std::string text;
    const auto line = [&text](std::string_view name, const std::string &value) {
        text += name;
        text += '=';
        text += value;
        text += '\n';
    };
    line("listen", raw.listen);
    line("admin", raw.admin);
    line("peer", raw.peer);
    line("instance", raw.instance);
    line("data-centre", raw.dataCentre);
    line("environment", raw.environment);
    line("platform", raw.platform);
    line("config", raw.configurationFile);
    for (const auto &upstream : raw.upstreams)
        line("upstream", upstream);
    line("peer-key", settings.peerKey.empty() ? "none" : "given");
    line("threads", std::to_string(settings.threads));
    line("drain-grace-ms", raw.drainGraceMs);
    line("drain-limit-ms", raw.drainLimitMs);
    line("key-window-s", raw.keyWindowS);
    line("log-retention-s", raw.logRetentionS);
    line("clock-skew-ms", raw.clockSkewMs);
    line("usage-interval-ms", raw.usageIntervalMs);
    line("log-format", raw.logFormat);
    line("log-level", raw.logLevel);
    return text;
}

} // namespace

CommandLine readCommandLine(int argc, const char *const *argv)
{
    CommandLine line;
    RawSettings raw;
    CLI::App app("Routes callers' requests to model engines and plain services");
    declareOptions(app, raw);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &fault) {
        line.action = Action::Exit;
        line.exitCode = app.exit(fault) == 0 ? 0 : ExitBadSettings;
        return line;
    }
    check(raw, line);
    line.printed = print(raw, line.settings);
    if (raw.check)
        line.action = Action::Check;
    if (raw.printSettings)
        line.action = Action::PrintSettings;
    if (!line.faults.empty())
        line.exitCode = ExitBadSettings;
    return line;
}

} // namespace Daemon
