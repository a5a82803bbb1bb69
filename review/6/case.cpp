#include "../standins-2/Kit.h"

#include <iostream>
#include <set>

using namespace Review;

namespace {

constexpr auto Key = "key-1";
constexpr int Gateways = 3;
constexpr int Workers = 4;
constexpr int Clients = 12;
constexpr auto HeartbeatTime = 1'200ms;
constexpr auto CrashTime = 2'000ms;
constexpr auto FirstEventTime = 150ms;
constexpr auto EventTime = 50ms;
constexpr auto HeadTime = 10ms;
constexpr int Events = 8;
// The part of the prompt that crashes the workers that begin to answer it.
constexpr auto DeadlyPart = "dead";
constexpr double BaselineBegin = 3;
constexpr double TroubleBegin = 11;
constexpr double End = 45;
constexpr double StableWindow = 3;
constexpr std::size_t CountedCrashes = 5;

/// What the clients and workers saw.
struct Seen
{
    std::mutex mutex;
    /// The ids of the requests that a worker began to answer.
    std::set<std::string> begun;
    std::vector<double> crashes;
    /// The sound first attempts, with the time at which they were sent.
    std::vector<std::pair<double, std::string>> sound;
};

/// A worker that crashes when it begins to answer a prompt with the deadly part, and comes back.
class Worker
{
public:
    Worker(int number, Store &store, Seen &seen, Record &record)
        : m_name("w-" + std::to_string(number))
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
        bool isSent = connection.send("HTTP/1.1 200 OK\r\n" + name
                                      + "X-Jujubesaddle-Server-Seal: seal." + id()
                                      + "\r\nX-Jujubesaddle-Weight-Versions: 1\r\n"
                                        "Content-Type: text/event-stream\r\n"
                                        "Transfer-Encoding: chunked\r\n\r\n");
        if (request.find("X-Jujubesaddle-Prompt-Prefix").find(DeadlyPart) != std::string::npos) {
            // The head of the answer has left when the worker crashes.
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

void configure(Store &store)
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
int ask(int port, const std::string &id, const std::string &parts, const std::string &body)
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

/// Sends sound requests until the end. Two of three ask a question that was asked before.
void runClient(int number, const std::vector<std::unique_ptr<Gateway>> &gateways, Seen &seen,
               Record &record)
{
    for (int n = 0; record.now() < End; ++n) {
        const auto id = "s" + std::to_string(number) + "-" + std::to_string(n);
        const bool isUnique = n % 3 == 2;
        const auto question = isUnique ? "name " + id : std::string("names of spread one");
        const auto parts = "5a0001:600,5a0002:200," + (isUnique ? id : std::string("5a0003"));
        {
            const std::scoped_lock lock(seen.mutex);
            seen.sound.emplace_back(record.now(), id);
        }
        record.line("sent", id, isUnique ? "own" : "repeated");
        const auto status =
            ask(gateways[static_cast<std::size_t>(number + n) % gateways.size()]->callers(), id,
                parts + ":200", "check the spelling: " + question);
        record.line("answered", id, status);
        sleepFor(150ms);
    }
}

/// Sends requests with the deadly part, no two alike.
void runDeadlyClient(const std::vector<std::unique_ptr<Gateway>> &gateways, Record &record)
{
    while (record.now() < TroubleBegin)
        sleepFor(10ms);
    for (std::size_t n = 0; record.now() < End; ++n) {
        const auto id = "d" + std::to_string(n);
        record.line("sent", id, "deadly");
        const auto status = ask(gateways[n % gateways.size()]->callers(), id,
                                "5a0001:600," + std::string(DeadlyPart) + ":200," + id + ":200",
                                "check the spelling: draft " + id);
        record.line("answered", id, status);
        sleepFor(600ms);
    }
}

/// The share of the sound first attempts sent in a time that a worker began to answer.
struct Share
{
    std::size_t sent = 0;
    std::size_t begun = 0;
    double share() const { return static_cast<double>(begun) / static_cast<double>(sent); }
};

Share shareOf(const Seen &seen, double from, double to)
{
    Share result;
    for (const auto &[time, id] : seen.sound) {
        if (time < from || time >= to)
            continue;
        ++result.sent;
        result.begun += seen.begun.count(id);
    }
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4)
        return 2;
    const std::string folder = argv[1];
    Record record(argv[2]);
    const bool hasTrouble = std::string(argv[3]) != "0";
    Seen seen;
    Store store;
    configure(store);
    std::vector<std::unique_ptr<Worker>> workers;
    for (int n = 1; n <= Workers; ++n)
        workers.push_back(std::make_unique<Worker>(n, store, seen, record));
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (int n = 1; n <= Gateways; ++n) {
        gateways.push_back(std::make_unique<Gateway>(folder, n, store.port()));
        gateways.back()->start();
    }
    for (const auto &gateway : gateways)
        awaitReady(*gateway);
    const auto offset = record.now();
    record.line("all gateways are ready");
    if (offset > BaselineBegin)
        return 2;
    std::vector<std::thread> clients;
    clients.reserve(Clients + 1);
    for (int n = 0; n < Clients; ++n)
        clients.emplace_back([&, n] { runClient(n, gateways, seen, record); });
    if (hasTrouble)
        clients.emplace_back([&] { runDeadlyClient(gateways, record); });
    for (auto &client : clients)
        client.join();
    gateways.clear();
    workers.clear();
    const auto counted = std::min(seen.crashes.size(), CountedCrashes);
    const double last = counted > 0 ? seen.crashes[counted - 1] : TroubleBegin;
    const auto before = shareOf(seen, BaselineBegin, TroubleBegin);
    const auto after = shareOf(seen, last + 2 * StableWindow, End - 1);
    record.line("crashes", seen.crashes.size(), "the last counted one at", last);
    record.line("before: sent", before.sent, "begun", before.begun);
    record.line("after: sent", after.sent, "begun", after.begun);
    if (before.sent < 20 || after.sent < 20)
        return 2;
    const bool isBroken = after.share() < before.share() / 2;
    record.line(isBroken ? "LOST is broken" : "LOST holds");
    return isBroken ? 1 : 0;
}
