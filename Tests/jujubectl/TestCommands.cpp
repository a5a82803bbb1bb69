#include <LibConfiguration/FakeLogService.h>
#include <LibConfiguration/SampleDocuments.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <jujubectl/Commands.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <map>
#include <sstream>

using namespace std::chrono_literals;
using Jujubectl::CommandKind;
using Jujubectl::ExitCode;

namespace {

/// Returns entry instances on consecutive ports of the loopback address.
class FakeDirectory final : public Platform::InstanceDirectory
{
public:
    boost::asio::awaitable<Platform::InstanceList> list() override { co_return entries; }

    void add(const std::string &id, std::uint16_t port)
    {
        Platform::ListedInstance entry;
        entry.id = id;
        entry.role = Platform::InstanceRole::Entry;
        entry.admin = Http::Endpoint(boost::asio::ip::address_v4::loopback(), port);
        entries.instances.push_back(entry);
    }

    Platform::InstanceList entries;
};

/// Prepared answers by port and path; a port without answers is unreachable. Each answer is given
/// once, except for the last, which is repeated.
class FakeAdmin final : public Jujubectl::AdminClient
{
public:
    boost::asio::awaitable<boost::json::value> get(Http::Endpoint admin, std::string path) override
    {
        co_return answer(admin, path);
    }
    boost::asio::awaitable<boost::json::value> post(Http::Endpoint admin, std::string path,
                                                    std::string body) override
    {
        bodies.push_back(body);
        co_return answer(admin, path);
    }

    std::map<std::string, std::vector<std::string>> answers;
    std::vector<std::string> bodies;

private:
    boost::json::value answer(const Http::Endpoint &admin, const std::string &path)
    {
        auto &list = answers[std::to_string(admin.port()) + path];
        if (list.empty())
            throw Core::Error(Core::ErrorKind::UpstreamUnreachable);
        const auto text = list.front();
        if (list.size() > 1)
            list.erase(list.begin());
        return boost::json::parse(text);
    }
};

struct Fixture
{
    Fixture()
    {
        settings.environment = "trial";
        settings.timeout = 200ms;
        settings.promoteFrom = "trial";
        settings.promoteTo = "production";
        settings.publisher = "tester";
    }

    ExitCode run(CommandKind kind)
    {
        settings.command = kind;
        out.str({});
        err.str({});
        Jujubectl::Context context {settings, &service, &directory, admin, clock, random, out, err};
        auto future = boost::asio::co_spawn(io, runCommand(context), boost::asio::use_future);
        io.restart();
        io.run();
        return future.get();
    }
    ExitCode publish(const std::string &document)
    {
        // Test cases run concurrently, as processes that share one directory.
        const auto path = "jujubectl-test-" + std::to_string(::getpid()) + ".toml";
        std::ofstream(path, std::ios::binary) << document;
        settings.file = path;
        const auto code = run(CommandKind::ConfigPublish);
        std::remove(path.c_str());
        return code;
    }
    bool printed(const std::string &text) const
    {
        return (out.str() + err.str()).find(text) != std::string::npos;
    }

    boost::asio::io_context io;
    Core::ManualClock clock;
    Platform::InMemoryLog log {clock, 1h};
    FakeLogService service {log, clock, 7};
    std::mt19937_64 random {7};
    FakeDirectory directory;
    FakeAdmin admin;
    Jujubectl::Settings settings;
    std::ostringstream out;
    std::ostringstream err;
};

} // namespace

TEST_CASE("a request is traced across the logs of instances, with events of its upstreams")
{
    const auto path = "jujubectl-trace-" + std::to_string(::getpid()) + ".log";
    std::ofstream(path)
        << R"(edge-2 {"time":"2026-05-08T03:33:52.250Z","event":205,"name":"request_served","request":"id-1","upstream":"w2"})"
        << "\nnot a line of a log { at all\n"
        << R"(edge-1 {"time":"2026-05-08T03:33:52.010Z","event":206,"name":"attempt_failed","request":"id-1","upstream":"w1","end":"not_run"})"
        << "\n"
        << R"(edge-1 {"time":"2026-05-08T03:33:52.005Z","event":306,"name":"order_sent","upstream":"w1"})"
        << "\n"
        << R"(edge-1 {"time":"2026-05-08T03:33:52.006Z","event":306,"name":"order_sent","upstream":"w9"})"
        << "\n"
        << R"(edge-1 {"time":"2026-05-08T03:33:40.000Z","event":300,"name":"upstream_added","upstream":"w1"})"
        << "\n"
        << R"(edge-1 {"time":"2026-05-08T03:33:52.100Z","event":205,"name":"request_served","request":"id-2","upstream":"w1"})"
        << "\n";
    Fixture fixture;
    fixture.settings.request = "id-1";
    fixture.settings.files = {path};
    CHECK(fixture.run(CommandKind::Trace) == ExitCode::Success);
    const auto text = fixture.out.str();
    const auto order = text.find("52.005Z edge-1 order_sent");
    const auto failed = text.find("52.010Z edge-1 attempt_failed");
    const auto served = text.find("52.250Z edge-2 request_served");
    CHECK(order < failed);
    CHECK(failed < served);
    CHECK(served != std::string::npos);
    CHECK(std::count(text.begin(), text.end(), '\n') == 3);
    fixture.settings.request = "id-3";
    CHECK(fixture.run(CommandKind::Trace) == ExitCode::Failure);
    CHECK(fixture.printed("no line of request \"id-3\" in 6 lines"));
    std::remove(path.c_str());
}

TEST_CASE("a document is published once, and a stale edit is refused")
{
    Fixture fixture;
    CHECK(fixture.publish(sampleDocument(1)) == ExitCode::Success);
    CHECK(fixture.printed("accepted as generation 1"));
    fixture.settings.generation = 0;
    CHECK(fixture.publish(sampleDocument(2)) == ExitCode::LostRace);
    fixture.settings.generation = 1;
    CHECK(fixture.publish(sampleDocument(2)) == ExitCode::Success);
    CHECK(fixture.publish(invalidDocument(3)) == ExitCode::DocumentInvalid);
    CHECK(fixture.printed("no_such_field"));
    CHECK(fixture.run(CommandKind::ConfigShow) == ExitCode::Success);
    CHECK(fixture.printed("tester"));
    fixture.service.isUnavailable = true;
    CHECK(fixture.publish(sampleDocument(4)) == ExitCode::Unavailable);
}

TEST_CASE("an unanswered publication is reported as neither accepted nor refused")
{
    Fixture fixture;
    fixture.service.delayedAppendPercent = 100;
    CHECK(fixture.publish(sampleDocument(1)) == ExitCode::OutcomeUnknown);
}

TEST_CASE("promotion publishes exactly the bytes that trial has accepted")
{
    Fixture fixture;
    CHECK(fixture.run(CommandKind::ConfigPromote) == ExitCode::NotAccepted);
    fixture.publish(sampleDocument(1));
    fixture.publish(sampleDocument(2));
    fixture.settings.digest = Core::sha256Hex(sampleDocument(3));
    CHECK(fixture.run(CommandKind::ConfigPromote) == ExitCode::NotAccepted);
    fixture.settings.digest = Core::sha256Hex(sampleDocument(1));
    CHECK(fixture.run(CommandKind::ConfigPromote) == ExitCode::Success);
    fixture.settings.digest.clear();
    CHECK(fixture.run(CommandKind::ConfigPromote) == ExitCode::Success);
    fixture.settings.environment = "production";
    fixture.settings.showDocument = true;
    CHECK(fixture.run(CommandKind::ConfigShow) == ExitCode::Success);
    CHECK(fixture.out.str() == sampleDocument(2));
    fixture.settings.showDocument = false;
    fixture.run(CommandKind::ConfigShow);
    CHECK(fixture.printed("trial generation 2"));
}

TEST_CASE(
    "a restart is refused while the log leads to a document, and below an instance's generation")
{
    Fixture fixture;
    fixture.publish(sampleDocument(1));
    fixture.settings.file = std::string(JUJUBE_SOURCE_DIRECTORY) + "/Examples/small-site.toml";
    fixture.settings.generation = 5;
    CHECK(fixture.run(CommandKind::ConfigRestart) == ExitCode::LostRace);
    fixture.clock.advance(2h);
    fixture.directory.add("a", 1);
    fixture.admin.answers["1/status"] = {R"({"generation":5})"};
    CHECK(fixture.run(CommandKind::ConfigRestart) == ExitCode::LostRace);
    CHECK(fixture.printed("a has generation 5 in force"));
    fixture.settings.generation = 6;
    CHECK(fixture.run(CommandKind::ConfigRestart) == ExitCode::Success);
    CHECK(fixture.printed("accepted as generation 6"));
}

TEST_CASE("watch waits for every live instance and times out on a silent one")
{
    Fixture fixture;
    fixture.directory.add("a", 1);
    fixture.directory.add("b", 2);
    fixture.directory.add("leaving", 3);
    fixture.directory.entries.instances.back().state = Platform::InstanceState::Leaving;
    fixture.settings.generation = 2;
    fixture.settings.timeout = 10s;
    fixture.admin.answers["1/status"] = {R"({"generation":2})"};
    fixture.admin.answers["2/status"] = {R"({"generation":1})", R"({"generation":2})"};
    CHECK(fixture.run(CommandKind::ConfigWatch) == ExitCode::Success);
    CHECK(fixture.printed("in force on 1 of 2, missing: b"));
    CHECK(fixture.printed("in force on 2 of 2"));
    fixture.admin.answers["2/status"].clear();
    fixture.settings.timeout = 100ms;
    CHECK(fixture.run(CommandKind::ConfigWatch) == ExitCode::TimedOut);
    fixture.directory.entries.instances.clear();
    CHECK(fixture.run(CommandKind::ConfigWatch) == ExitCode::TimedOut);
}

TEST_CASE("status, usage, drain and explain print what instances answer")
{
    Fixture fixture;
    fixture.directory.add("a", 1);
    fixture.directory.add("b", 2);
    fixture.admin.answers["1/status"] = {
        R"({"data_centre":"harju-1","generation":4,"ready":true,"upstreams":[
            {"id":"u1","group":"g","in_flight":3,"suspected":true,"incarnation":9}]})"};
    CHECK(fixture.run(CommandKind::Status) == ExitCode::Success);
    CHECK(fixture.printed("harju-1"));
    CHECK(fixture.printed("suspected"));
    CHECK(fixture.printed("unreachable"));
    fixture.settings.json = true;
    fixture.run(CommandKind::Status);
    CHECK(boost::json::parse(fixture.out.str()).at("instances").as_array().size() == 2);
    fixture.settings.json = false;

    fixture.admin.answers["1/usage"] = {
        R"({"groups":[{"group":"g","served":[{"owner":"x","user":"y","slot_us":5}],
            "idle":[{"owner":"x","slot_us":7}]}]})"};
    CHECK(fixture.run(CommandKind::Usage) == ExitCode::Success);
    CHECK(fixture.printed("g      x      y        5"));

    fixture.settings.instance = "b";
    CHECK(fixture.run(CommandKind::Drain) == ExitCode::Unavailable);
    fixture.admin.answers["2/drain"] = {"{}"};
    CHECK(fixture.run(CommandKind::Drain) == ExitCode::Success);
    fixture.settings.instance = "none";
    CHECK(fixture.run(CommandKind::Drain) == ExitCode::Unavailable);

    fixture.settings.instance.clear();
    fixture.settings.file = std::string(JUJUBE_SOURCE_DIRECTORY) + "/Examples/small-site.toml";
    fixture.admin.answers["1/explain"] = {
        R"({"prompt_tokens":10,"candidates":[{"upstream":"u1","total_s":0.5}]})"};
    CHECK(fixture.run(CommandKind::Explain) == ExitCode::Success);
    CHECK(fixture.printed("prompt_tokens: 10"));
    CHECK(fixture.printed("u1"));
    CHECK(fixture.admin.bodies.back() == sourceFile("Examples/small-site.toml"));
}
