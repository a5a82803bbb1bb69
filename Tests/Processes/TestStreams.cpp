#include <Processes/Documents.h>
#include <Processes/Fleet.h>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <csignal>
#include <future>

using namespace Processes;

namespace {

constexpr std::size_t Streams = 12;
constexpr std::size_t Tokens = 60;

/// A router in front of engines that take about half a second per answer.
struct StreamFleet : Fleet
{
    explicit StreamFleet(std::size_t engines, const std::string &decodeTime = "8000")
    {
        std::vector<std::string> names;
        for (std::size_t n = 1; n <= engines; ++n)
            startEngine("engine-" + std::to_string(n), "engines",
                        {"--decode-us", decodeTime, "--slots", "16"});
        startDaemon("router", "a");
        publish(testDocument(), {"router"});
        awaitUpstreams({"router"}, engines);
    }

    /// Returns an engine's answer to the prompt when no fault is injected.
    std::string expected(const std::string &prompt)
    {
        auto request = completionRequest("", "model", prompt, Tokens, false);
        return boost::json::parse(send(node("engine-2").address, request).body)
            .at("choices")
            .at(0)
            .at("text")
            .as_string()
            .c_str();
    }

    std::vector<std::future<std::string>> startStreams()
    {
        std::vector<std::future<std::string>> bodies;
        for (std::size_t n = 0; n < Streams; ++n) {
            bodies.push_back(std::async(std::launch::async, [this, n] {
                const auto prompt = "spread " + std::to_string(n);
                return send(node("router").address,
                            completionRequest("example-key", "model", prompt, Tokens, true))
                    .body;
            }));
        }
        return bodies;
    }

    std::size_t running(const std::string &engine)
    {
        const auto report = json(node(engine).address, "/load");
        return report.at("running").to_number<std::size_t>();
    }

    void awaitRunning(const std::string &engine)
    {
        await(engine + " runs streams", [&] { return running(engine) > 0; });
    }

    /// Waits until every stream of the router is in progress at an engine.
    void awaitAllRunning()
    {
        await("all streams run", [this] {
            std::size_t sum = 0;
            const auto status = json(node("router").admin, "/status");
            for (const auto &upstream : status.at("upstreams").as_array())
                sum += upstream.at("in_flight").to_number<std::size_t>();
            return sum == Streams;
        });
    }

    /// Waits until the engine has sent enough tokens that one of its streams is in mid-answer.
    void awaitMidStream(const std::string &engine)
    {
        awaitAllRunning();
        await(engine + " is in mid-stream", [&] {
            const auto report = json(node(engine).address, "/load");
            return report.at("tokens").to_number<std::size_t>() >= 5 * Streams;
        });
    }

    void checkAllComplete(std::vector<std::future<std::string>> &bodies)
    {
        std::vector<std::string> answers;
        answers.reserve(Streams);
        for (auto &body : bodies)
            answers.push_back(body.get());
        // The streams have ended, so the expected answer may be generated at full speed.
        json(node("engine-2").address, "/control", R"({"decode_us":100})");
        for (std::size_t n = 0; n < Streams; ++n) {
            const auto &body = answers[n];
            INFO(body);
            CHECK(streamedText(body) == expected("spread " + std::to_string(n)));
        }
    }

    std::uint64_t resumed()
    {
        const auto text = send(node("router").admin, Http::Request("GET", "/metrics")).body;
        const std::string name = "jujube_streams_resumed_total{team=\"site\",class=\"urgent\"} ";
        const auto at = text.find(name);
        return at == std::string::npos ? 0 : std::stoull(text.substr(at + name.size()));
    }
};

} // namespace

TEST_CASE("streams of an engine that crashes continue on another without a gap or a repeat")
{
    StreamFleet fleet(2, "30000");
    auto bodies = fleet.startStreams();
    fleet.awaitMidStream("engine-1");
    fleet.json(fleet.node("engine-1").address, "/control", R"({"crash":true})");
    fleet.checkAllComplete(bodies);
    CHECK(fleet.resumed() > 0);
}

TEST_CASE("streams of an engine that freezes continue on another without a gap or a repeat")
{
    StreamFleet fleet(2, "30000");
    auto bodies = fleet.startStreams();
    fleet.awaitMidStream("engine-1");
    fleet.node("engine-1").process->signal(SIGSTOP);
    fleet.checkAllComplete(bodies);
    CHECK(fleet.resumed() > 0);
}

TEST_CASE("a token that answers another request never reaches the caller")
{
    StreamFleet fleet(2);
    fleet.json(fleet.node("engine-1").address, "/control", R"({"cross_answers":true})");
    auto bodies = fleet.startStreams();
    fleet.checkAllComplete(bodies);
}

TEST_CASE("a stream that cannot be continued ends with an explicit error event")
{
    StreamFleet fleet(1);
    fleet.json(fleet.node("engine-1").address, "/control", R"({"cut_after_tokens":5})");
    const auto answer =
        fleet.send(fleet.node("router").address,
                   completionRequest("example-key", "model", "spread", Tokens, true));
    CHECK(answer.body.find("event: error") != std::string::npos);
    CHECK(answer.body.find("stream_interrupted") != std::string::npos);
    CHECK(answer.body.find("[DONE]") == std::string::npos);
}

TEST_CASE("the request of a caller that disconnects is cancelled at the engine")
{
    StreamFleet fleet(1);
    {
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket socket(context);
        socket.connect(fleet.node("router").address);
        const std::string body =
            R"({"model":"model","prompt":"p","max_tokens":4000,"stream":true})";
        const std::string request =
            "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer example-key\r\n"
            "Content-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
        boost::asio::write(socket, boost::asio::buffer(request));
        fleet.awaitRunning("engine-1");
    }
    Fleet::await("the engine is free again", [&] { return fleet.running("engine-1") == 0; });
    const auto report = fleet.json(fleet.node("engine-1").address, "/load");
    CHECK(report.at("cancelled").to_number<int>() == 1);
}

TEST_CASE("a shutdown under load interrupts no request, and refusals state that nothing ran")
{
    // Slow enough that every stream has begun before the first one ends: a request that arrives
    // after the signal is refused by design.
    StreamFleet fleet(2, "60000");
    auto bodies = fleet.startStreams();
    fleet.awaitAllRunning();
    fleet.node("router").process->signal(SIGTERM);
    Fleet::await("new requests are refused", [&] {
        const auto answer = fleet.send(fleet.node("router").address,
                                       completionRequest("example-key", "model", "late", 1, false));
        return answer.status == 503 && answer.body.find(R"("kind":"draining")") != std::string::npos
               && answer.body.find(R"("attempt":"not_run")") != std::string::npos;
    });
    fleet.checkAllComplete(bodies);
    const auto line = fleet.node("router").process->awaitLine("process_stopped");
    CHECK(line.find("\"cut_requests\":\"0\"") != std::string::npos);
    CHECK(fleet.node("router").process->wait() == 0);
}

TEST_CASE("a leaving upstream gets no new work, even if the instance list is stale")
{
    StreamFleet fleet(2);
    fleet.json(fleet.platform().address, "/control/faults", R"({"list_frozen":true})");
    fleet.json(fleet.node("engine-1").address, "/control", R"({"draining":true})");
    const auto served = [&] {
        return fleet.json(fleet.node("engine-1").address, "/load").at("served").to_number<int>();
    };
    const auto before = served();
    for (std::size_t n = 0; n < Streams; ++n) {
        const auto answer = fleet.send(
            fleet.node("router").address,
            completionRequest("example-key", "model", "spread " + std::to_string(n), 2, false));
        CHECK(answer.status == 200);
    }
    CHECK(served() == before);
}

TEST_CASE("an engine that generates long answers is not mistaken for a stalled one")
{
    StreamFleet fleet(1, "30000");
    Fleet::await("the router has heard from the engine itself", [&] {
        const auto status = fleet.json(fleet.node("router").admin, "/status");
        return status.at("upstreams").at(0).at("incarnation")
               == fleet.json(fleet.node("engine-1").address, "/load").at("incarnation");
    });
    auto bodies = fleet.startStreams();
    Fleet::await("the streams are well past their first tokens", [&] {
        const auto report = fleet.json(fleet.node("engine-1").address, "/load");
        return report.at("tokens").to_number<std::size_t>() >= 50 * Streams;
    });
    const auto reasons = fleet.json(fleet.node("router").admin, "/explain",
                                    R"({"team":"site","model":"model","prompt":"p"})");
    INFO(boost::json::serialize(reasons));
    const auto &terms = reasons.at("candidates").as_array().at(0);
    CHECK(terms.at("stall_s").to_number<double>() == 0);
    for (auto &body : bodies)
        body.get();
}

TEST_CASE(
    "a request that may have run at one engine is not called unrun when the next is unreachable")
{
    Fleet fleet;
    fleet.startEngine("engine-1", "engines", {"--poison-marker", "P"});
    fleet.list("engine-2", "engines", Http::parseEndpoint("127.0.0.1:1").value(), "live");
    fleet.startDaemon("router", "a");
    fleet.publish(testDocument(), {"router"});
    fleet.awaitUpstreams({"router"}, 2);
    const auto received = [&] {
        return fleet.json(fleet.node("engine-1").address, "/load").at("crashes").to_number<int>();
    };
    std::size_t unknown = 0;
    for (std::size_t n = 0; n < Streams; ++n) {
        const auto before = received();
        const auto answer = fleet.send(
            fleet.node("router").address,
            completionRequest("example-key", "model", "P" + std::to_string(n), 1, false));
        INFO(answer.body);
        CHECK(answer.status >= 500);
        const bool saysNotRun = answer.body.find(R"("attempt":"not_run")") != std::string::npos;
        CHECK(saysNotRun == (received() == before));
        unknown += answer.body.find(R"("attempt":"unknown")") != std::string::npos ? 1 : 0;
    }
    CHECK(unknown > 0);
}
