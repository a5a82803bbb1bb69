#include <LibConfiguration/Publisher.h>
#include <LibCore/Clock.h>
#include <LibHttp/EventStreamParser.h>
#include <LibPlatform/HttpLogService.h>

#include <Processes/Fleet.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include <fstream>
#include <iterator>
#include <random>
#include <stdexcept>
#include <thread>

namespace Processes {

namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds PollPeriod {10};
constexpr std::chrono::seconds AwaitLimit {60};
constexpr std::chrono::milliseconds PlatformTimeout {2'000};
constexpr const char *PeerKeyVariable = "JUJUBE_PEER_KEY";

} // namespace

Fleet::Fleet(const std::vector<std::string> &platformArguments)
{
    ::setenv(PeerKeyVariable, "a key for tests only", 1);
    m_platform.process = std::make_unique<Process>("standin-platform", platformArguments);
    m_platform.address = m_platform.process->awaitEndpoint("listening on");
}

Node &Fleet::add(const std::string &name, Node node)
{
    auto &kept = m_nodes[name];
    kept = std::make_unique<Node>(std::move(node));
    return *kept;
}

Node &Fleet::startEngine(const std::string &name, const std::string &group,
                         const std::vector<std::string> &arguments)
{
    Node node;
    node.process = std::make_unique<Process>("standin-engine", arguments);
    node.address = node.process->awaitEndpoint("listening on");
    list(name, group, node.address, "live");
    return add(name, std::move(node));
}

Node &Fleet::startService(const std::string &name, const std::string &group)
{
    Node node;
    node.process = std::make_unique<Process>("standin-service", std::vector<std::string> {});
    node.address = node.process->awaitEndpoint("listening on");
    list(name, group, node.address, "live");
    return add(name, std::move(node));
}

Node &Fleet::startDaemon(const std::string &name, const std::string &dataCentre,
                         const std::vector<std::string> &arguments)
{
    std::vector<std::string> words {
        "--listen",         "127.0.0.1:0",
        "--admin",          "127.0.0.1:0",
        "--instance",       name,
        "--data-centre",    dataCentre,
        "--platform",       Http::formatEndpoint(m_platform.address),
        "--peer",           "127.0.0.1:0",
        "--threads",        "2",
        "--drain-grace-ms", "200",
    };
    words.insert(words.end(), arguments.begin(), arguments.end());
    Node node;
    node.process = std::make_unique<Process>("jujubesaddled", words);
    node.peer = node.process->awaitEndpoint("\"port\":\"peer\"");
    node.address = node.process->awaitEndpoint("\"port\":\"callers\"");
    node.admin = node.process->awaitEndpoint("\"port\":\"admin\"");
    json::object entry;
    entry["id"] = name;
    entry["role"] = "entry";
    entry["data_centre"] = dataCentre;
    entry["address"] = Http::formatEndpoint(node.peer);
    entry["admin"] = Http::formatEndpoint(node.admin);
    entry["state"] = "live";
    json(m_platform.address, "/control/instances", json::serialize(entry));
    return add(name, std::move(node));
}

void Fleet::list(const std::string &name, const std::string &group, const Http::Endpoint &address,
                 const std::string &state)
{
    json::object entry;
    entry["id"] = name;
    entry["role"] = "upstream";
    entry["group"] = group;
    entry["data_centre"] = "a";
    entry["address"] = Http::formatEndpoint(address);
    entry["state"] = state;
    entry["incarnation"] = ++m_incarnations;
    json(m_platform.address, "/control/instances", json::serialize(entry));
}

void Fleet::unlist(const std::string &name)
{
    json::object entry;
    entry["id"] = name;
    entry["remove"] = true;
    json(m_platform.address, "/control/instances", json::serialize(entry));
}

void Fleet::publish(const std::string &document, const std::vector<std::string> &daemons)
{
    const Core::SystemClock clock;
    std::mt19937_64 random(1);
    Platform::HttpLogService log(m_platform.address, PlatformTimeout);
    Configuration::Publisher publisher(log, clock, random, {});
    Configuration::PublishRequest request;
    request.environment = "production";
    request.bytes = document;
    request.publisher = "test";
    const auto outcome =
        boost::asio::co_spawn(m_threads.next(), publisher.publish(request), boost::asio::use_future)
            .get();
    for (const auto &name : daemons) {
        await(name + " in force", [&] {
            const auto status = json(node(name).admin, "/status");
            return status.at("generation").to_number<std::uint64_t>() >= outcome.generation;
        });
    }
}

void Fleet::awaitUpstreams(const std::vector<std::string> &daemons, std::size_t count)
{
    for (const auto &name : daemons) {
        await(name + " knows its upstreams", [&] {
            return json(node(name).admin, "/status").at("upstreams").as_array().size() == count;
        });
    }
}

void Fleet::awaitSiblings(const std::vector<std::string> &daemons, std::size_t count)
{
    for (const auto &name : daemons) {
        await(name + " knows its siblings", [&] {
            return json(node(name).admin, "/status").at("siblings").as_array().size() == count;
        });
    }
}

Http::Response Fleet::send(const Http::Endpoint &endpoint, Http::Request request)
{
    Http::ClientTimeouts timeouts;
    return boost::asio::co_spawn(m_threads.next(),
                                 m_client.fetch(endpoint, std::move(request), timeouts),
                                 boost::asio::use_future)
        .get();
}

json::value Fleet::json(const Http::Endpoint &endpoint, const std::string &target,
                        const std::string &body)
{
    Http::Request request(body.empty() ? "GET" : "POST", target, {}, body);
    return json::parse(send(endpoint, std::move(request)).body);
}

void Fleet::await(const std::string &what, const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + AwaitLimit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            throw std::runtime_error("never happened: " + what);
        std::this_thread::sleep_for(PollPeriod);
    }
}

std::string readExample(const std::string &name)
{
    std::ifstream file(std::string(JUJUBE_EXAMPLES) + '/' + name);
    return {(std::istreambuf_iterator<char>(file)), {}};
}

Http::Request completionRequest(const std::string &key, const std::string &model,
                                const std::string &prompt, std::size_t maxTokens, bool stream)
{
    json::object body;
    body["model"] = model;
    body["prompt"] = prompt;
    body["max_tokens"] = maxTokens;
    body["stream"] = stream;
    Http::Request request("POST", "/v1/completions", {}, json::serialize(body));
    request.headers.add("Authorization", "Bearer " + key);
    return request;
}

std::string streamedText(const std::string &body)
{
    Http::EventStreamParser parser;
    parser.feed(body);
    std::string text;
    bool ended = false;
    while (auto event = parser.next()) {
        ended = event->data == "[DONE]";
        if (ended || !event->kind.empty())
            continue;
        const auto chunk = json::parse(event->data);
        text += chunk.at("choices").as_array().at(0).at("text").as_string();
    }
    return ended ? text : std::string();
}

} // namespace Processes
