#include "../standins/Site.h"

// A requester sends one request on a channel. Its Transfer-Encoding is one that HTTP/1.1 does not
// know, and its body is text that looks like another request.

namespace {

using namespace Review;

constexpr Milliseconds Patience {3'000};

/// A worker that notes the requests that it runs, with their bodies.
class Worker
{
public:
    Worker(std::string id, Record &record)
        : m_id(std::move(id))
        , m_record(record)
        , m_server([this](int fd, const Message &request) { return answer(fd, request); })
    { }
    const std::string &id() const { return m_id; }
    std::string entry() const
    {
        return boost::json::serialize(
            boost::json::object {{"Service", "trukitellimus"},
                                 {"Address", "127.0.0.1:" + std::to_string(m_server.port())},
                                 {"Zone", "harju-a"},
                                 {"Version", "v1"},
                                 {"Slots", 6},
                                 {"State", "ready"},
                                 {"ColdLeftMs", 0},
                                 {"born", 1'700'000'000'000},
                                 {"Seq", 1}});
    }
    /// Returns the bodies of the requests that were run, by id.
    std::map<std::string, std::string> runs() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_runs;
    }

private:
    bool answer(int fd, const Message &request)
    {
        const auto id = request.header("x-jujubesaddle-attempt-id");
        {
            const std::scoped_lock lock(m_mutex);
            m_runs[id] = request.body;
        }
        m_record.line(m_id + " runs " + id + ": " + request.method + " " + request.target
                      + " with a body of " + std::to_string(request.body.size()) + " bytes");
        Message response;
        response.headers = sealedHeaders(request, m_id);
        response.body = "answer to " + id;
        return sendAll(fd, responseBytes(response));
    }

    std::string m_id;
    Record &m_record;
    mutable std::mutex m_mutex;
    std::map<std::string, std::string> m_runs;
    HttpServer m_server;
};

std::string configuration()
{
    return R"({"Version":1,
 "Routes":[{"Name":"proof-view","Host":"jepu9.example","PathPrefix":"/views/","Public":false,
            "Service":"trukitellimus","Kind":"idempotent","TimeoutMs":2000,"MaxAttempts":2,
            "TargetLatencyMs":300,"Priority":2},
           {"Name":"proof-approve","Host":"jepu9.example","PathPrefix":"/approvals/",
            "Public":false,"Service":"trukitellimus","Kind":"non_idempotent","TimeoutMs":2000,
            "MaxAttempts":1,"TargetLatencyMs":300,"Priority":2}],
 "Services":[{"Name":"trukitellimus","HealthPath":"/healthz","MaxConns":110}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
           "IdleTimeoutMs":15000},
 "Tenants":[{"Name":"sese880","ApiKeys":["key1"]}]})";
}

std::string head(const std::string &line, const std::string &id)
{
    return line + " HTTP/1.1\r\nHost: jepu9.example\r\nX-Jujubesaddle-Attempt-Id: " + id
           + "\r\nX-Jujubesaddle-Deadline-Ms: 4000\r\nAuthorization: Bearer key1\r\n";
}

int run(const std::filesystem::path &folder, Record &record)
{
    static Store store;
    store.put("keyed.op", "config", configuration());
    static Worker worker("i-1", record);
    store.put("keyed.servers", worker.id(), worker.entry());
    GatewayOptions options;
    options.storePort = store.port();
    Gateway gateway(options, folder);
    gateway.start();
    if (!gateway.awaitReady(Milliseconds(10'000)))
        return 2;
    // What is inside has a length, so that it would be a whole request on its own.
    const std::string approval = "approve everything";
    const auto body = head("POST /approvals/2f", "inner") + "Content-Length: "
                      + std::to_string(approval.size()) + "\r\n\r\n" + approval;
    // Without the disruption the same body is sent in chunks, as HTTP/1.1 knows them.
    std::string size(16, '\0');
    size.resize(
        static_cast<std::size_t>(std::snprintf(size.data(), size.size(), "%zx", body.size())));
    const auto bytes = head("POST /views/2f", "outer")
                       + (hasTrouble() ? "Transfer-Encoding: xchunked\r\n\r\n" + body
                                       : "Transfer-Encoding: chunked\r\n\r\n" + size + "\r\n" + body
                                             + "\r\n0\r\n\r\n");
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(gateway.front());
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || !sendAll(fd, bytes))
        return 2;
    record.line("one request is sent, outer, whose body of " + std::to_string(body.size())
                + " bytes contains the text of another one, inner");
    MessageReader reader(fd);
    int successes = 0;
    const auto until = Clock::now() + Patience;
    while (const auto response = reader.read(true, until)) {
        record.line("an answer: " + std::to_string(response->status) + ", for \""
                    + response->header("x-jujubesaddle-attempt-id") + "\", " + response->body);
        successes += response->status == 200 ? 1 : 0;
    }
    ::close(fd);
    const auto runs = worker.runs();
    const bool isSmuggled = runs.contains("inner");
    const bool isChanged = runs.contains("outer") && runs.at("outer") != body;
    record.line(std::string("the inner text was ") + (isSmuggled ? "" : "not ")
                + "run as a request; the outer request was "
                + (isChanged ? "run with another body" : "not run with another body") + "; "
                + std::to_string(successes) + " successes for one request");
    if (!hasTrouble() && !runs.contains("outer"))
        return 2;
    return isSmuggled || isChanged || successes > 1 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    return Review::caseMain(argc, argv, run);
}
