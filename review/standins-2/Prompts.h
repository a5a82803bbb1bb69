#pragma once

#include "Kit.h"

#include <set>

/// Workers that a part of a prompt crashes, and the requests for them.
namespace Review {

constexpr auto Key = "key-1";
constexpr auto HeartbeatTime = 1'200ms;
constexpr auto CrashTime = 2'000ms;
constexpr auto FirstEventTime = 60ms;
constexpr auto EventTime = 50ms;
constexpr auto HeadTime = 10ms;
constexpr int Events = 8;
// The part of the prompt that crashes the workers that begin to answer it.
constexpr auto DeadlyPart = "dead";

/// How much of its answer a worker that crashes has sent.
enum class Sent {
    Nothing,
    Head,
};

/// What the clients and workers saw.
struct Seen
{
    std::mutex mutex;
    /// The ids of the requests that a worker began to answer.
    std::set<std::string> begun;
    std::vector<double> crashes;
    /// The requests with the deadly part, each time that one reached a worker.
    std::vector<std::pair<double, std::string>> deadlyArrivals;
    /// The sound first attempts, with the time at which they were sent.
    std::vector<std::pair<double, std::string>> sound;
};

/// A worker that crashes when it begins to answer a prompt with the deadly part, and comes back.
class Worker
{
public:
    Worker(int number, Sent beforeCrash, Store &store, Seen &seen, Record &record)
        : m_beforeCrash(beforeCrash)
        , m_name("w-" + std::to_string(number))
        , m_store(store)
        , m_seen(seen)
        , m_record(record)
        , m_server([this](Connection &connection, const Message &request) {
            return serve(connection, request);
        })
    {
        report();
        m_thread = std::thread([this] { run(); });
    }
    ~Worker()
    {
        m_hasEnded = true;
        m_thread.join();
    }
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

private:
    /// Each start is a new boot, with a new id.
    std::string id() const { return m_name + "-" + std::to_string(m_boot); }

    void report()
    {
        ++m_sequence;
        m_store.put(
            "keyed.servers", id(),
            R"({"Service":"llm","Address":"127.0.0.1:)" + std::to_string(m_server.port())
                + R"(","Zone":"a","Version":"v1","Slots":8,"State":"ready","ColdLeftMs":0,)"
                + R"("Stage":"colocated","Models":[{"Name":"m","Version":1,"Adapters":[]}],)"
                + R"("born":)" + std::to_string(1'000'000 + 5'000 * m_boot) + R"(,"Seq":)"
                + std::to_string(m_sequence) + "}");
    }
    void run()
    {
        auto next = Clock::now() + HeartbeatTime;
        while (!m_hasEnded) {
            sleepFor(5ms);
            if (m_isCrashing) {
                crash();
                next = Clock::now() + HeartbeatTime;
            }
            if (Clock::now() >= next) {
                report();
                next += HeartbeatTime;
            }
        }
    }
    void crash()
    {
        m_server.stop();
        const auto before = id();
        sleepFor(CrashTime);
        m_isCrashing = false;
        ++m_boot;
        m_sequence = 0;
        m_server.start();
        report();
        // Its last status report was about three intervals ago.
        m_store.put("keyed.servers", before, "");
    }
    bool serve(Connection &connection, const Message &request)
    {
        const auto attempt = request.find("X-Jujubesaddle-Attempt-Id");
        const auto name = "X-Jujubesaddle-Attempt-Id: " + attempt + "\r\n";
        const auto expected = request.find("X-Jujubesaddle-Expect-Instance");
        if (!expected.empty() && expected != id())
            return connection.send(
                answer(421, "", name + "X-Jujubesaddle-Instance-Id: " + id() + "\r\n"));
        if (request.target() == "/report")
            return connection.send(
                answer(200, R"({"Stage":"colocated","Models":[{"Name":"m","Version":1}],)"
                            R"("Busy":false,"Seq":0,"Waiting":0,"Running":0})"));
        if (attempt.empty())
            return connection.send(answer(400, "", "X-Jujubesaddle-Not-Executed: 1\r\n"));
        const bool isDeadly =
            request.find("X-Jujubesaddle-Prompt-Prefix").find(DeadlyPart) != std::string::npos;
        if (isDeadly) {
            const std::scoped_lock lock(m_seen.mutex);
            m_seen.deadlyArrivals.emplace_back(m_record.now(), attempt);
            m_record.line("reaches", attempt, id());
        }
        sleepFor(FirstEventTime);
        if (connection.isReset() || connection.isClosed())
            return false;
        {
            const std::scoped_lock lock(m_seen.mutex);
            if (m_isCrashing)
                return false;
            m_seen.begun.insert(attempt);
            m_record.line("begins", attempt, id());
        }
        bool isSent = true;
        if (!isDeadly || m_beforeCrash == Sent::Head)
            isSent = connection.send("HTTP/1.1 200 OK\r\n" + name
                                     + "X-Jujubesaddle-Server-Seal: seal." + id()
                                     + "\r\nX-Jujubesaddle-Weight-Versions: 1\r\n"
                                       "Content-Type: text/event-stream\r\n"
                                       "Transfer-Encoding: chunked\r\n\r\n");
        if (isDeadly) {
            sleepFor(HeadTime);
            const std::scoped_lock lock(m_seen.mutex);
            m_isCrashing = true;
            m_seen.crashes.push_back(m_record.now());
            m_record.line("crashes", id(), "by", attempt);
            connection.reset();
            return false;
        }
        const auto last = std::atoi(request.find("Last-Event-Id").c_str());
        for (int n = last + 1; isSent && n <= Events; ++n) {
            isSent = connection.send(
                chunk("id: " + std::to_string(n) + "\ndata: word " + std::to_string(n) + "\n\n"));
            sleepFor(EventTime);
        }
        return isSent && connection.send("0\r\n\r\n");
    }

    Sent m_beforeCrash;
    std::string m_name;
    Store &m_store;
    Seen &m_seen;
    Record &m_record;
    std::atomic<int> m_boot {1};
    std::atomic<int> m_sequence {0};
    std::atomic<bool> m_isCrashing {false};
    std::atomic<bool> m_hasEnded {false};
    Server m_server;
    std::thread m_thread;
};

inline void configure(Store &store)
{
    store.put("keyed.op", "version/m", R"({"Model":"m","Version":1})");
    store.put(
        "keyed.op", "config",
        R"({"Version":1,"Routes":[{"Name":"check","Host":"a.example","PathPrefix":"/check/",)"
        R"("Kind":"streaming","TimeoutMs":5000,"TargetLatencyMs":500,"Priority":0,"Service":"llm",)"
        R"("MaxAttempts":2,"Public":false,"Sticky":true,"Resumable":true,"GapAimMs":400}],)"
        R"("Services":[{"Name":"llm","HealthPath":"/healthz","MaxConns":230,"Engine":{"Slots":8,)"
        R"("KvCapacity":212434,"TokenKvBytes":327680,"LinkMbps":1500000.0,)"
        R"("Models":[{"Name":"m"}]}}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,)"
        R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},)"
        R"("Tenants":[{"Name":"school","ApiKeys":["key-1"]}]})");
}

/// Sends one request and returns the status of its answer; 0 if there is none.
inline int ask(int port, const std::string &id, const std::string &parts, const std::string &body)
{
    const auto connection = connectTo(port);
    if (!connection)
        return 0;
    connection->limitReads(6'000ms);
    connection->send("POST /check/spelling HTTP/1.1\r\nHost: a.example\r\n"
                     "X-Jujubesaddle-Attempt-Id: "
                     + id + "\r\nX-Jujubesaddle-Deadline-Ms: 5000\r\nAuthorization: Bearer " + Key
                     + "\r\nX-Jujubesaddle-Model: m\r\nX-Jujubesaddle-Token-Usage: 1000,8\r\n"
                       "X-Jujubesaddle-Prompt-Prefix: "
                     + parts + "\r\nContent-Length: " + std::to_string(body.size())
                     + "\r\nConnection: close\r\n\r\n" + body);
    Message result;
    return connection->read(result, true) && result.isComplete ? result.status() : 0;
}

} // namespace Review
