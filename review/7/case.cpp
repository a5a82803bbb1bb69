#include "../standins-2/Kit.h"

using namespace Review;

namespace {

constexpr int Gateways = 2;
constexpr int Requests = 10;
// RevokeMs is 5,000.
constexpr auto TimeAfterAck = 7'000ms;

std::string configuration(int version, const std::string &tenants)
{
    return R"({"Version":)" + std::to_string(version)
           + R"(,"Routes":[{"Name":"orders","Host":"a.example","PathPrefix":"/orders/",)"
             R"("Kind":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":300,"Priority":2,)"
             R"("Service":"app","MaxAttempts":1,"Public":false}],)"
             R"("Services":[{"Name":"app","HealthPath":"/healthz","MaxConns":96,"Protocol":"h1",)"
             R"("Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,)"
             R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":)"
           + tenants + "}";
}

/// Sends one order and returns the status of its answer; 0 if there is none.
int order(const Gateway &gateway, const std::string &id, const std::string &key)
{
    const auto connection = connectTo(gateway.callers());
    if (!connection)
        return 0;
    connection->limitReads(6'000ms);
    connection->send("POST /orders/new HTTP/1.1\r\nHost: a.example\r\nX-Jujubesaddle-Attempt-Id: "
                     + id + "\r\nX-Jujubesaddle-Deadline-Ms: 3000\r\nAuthorization: Bearer " + key
                     + "\r\nContent-Length: 5\r\nConnection: close\r\n\r\norder");
    Message result;
    return connection->read(result, true) && result.isComplete ? result.status() : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4)
        return 2;
    const std::string folder = argv[1];
    Record record(argv[2]);
    const bool hasTrouble = std::string(argv[3]) != "0";

    // A worker that runs all that it gets.
    std::mutex mutex;
    std::vector<std::string> runs;
    Server worker([&](Connection &connection, const Message &request) {
        const auto id = request.find("X-Jujubesaddle-Attempt-Id");
        {
            const std::scoped_lock lock(mutex);
            runs.push_back(id);
        }
        record.line("runs", id, "tenant", "'" + request.find("X-Jujubesaddle-Tenant") + "'");
        return connection.send(answer(200, "done",
                                      "X-Jujubesaddle-Attempt-Id: " + id
                                          + "\r\nX-Jujubesaddle-Server-Seal: seal.w-1\r\n"));
    });
    const auto countOf = [&](const std::string &prefix) {
        const std::scoped_lock lock(mutex);
        return std::count_if(runs.begin(), runs.end(),
                             [&](const auto &id) { return id.rfind(prefix, 0) == 0; });
    };

    Store store;
    store.put("keyed.op", "config", configuration(1, R"([{"Name":"school","ApiKeys":["key-1"]}])"));
    std::atomic<bool> hasEnded {false};
    std::thread heartbeats([&] {
        for (int n = 0; !hasEnded; ++n) {
            if (n % 12 == 0)
                store.put("keyed.servers", "w-1",
                          R"({"Service":"app","Address":"127.0.0.1:)"
                              + std::to_string(worker.port())
                              + R"(","Zone":"a","Version":"v1","Slots":6,"State":"ready",)"
                                R"("ColdLeftMs":0,"born":1000000,"Seq":)"
                              + std::to_string(n / 12 + 1) + "}");
            sleepFor(100ms);
        }
    });
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (int n = 1; n <= Gateways; ++n) {
        gateways.push_back(std::make_unique<Gateway>(folder, n, store.port()));
        gateways.back()->start();
    }
    for (const auto &gateway : gateways)
        awaitReady(*gateway);
    const auto send = [&](const std::string &name, const std::string &key) {
        for (std::size_t n = 0; n < Requests; ++n) {
            const auto id = name + "-" + std::to_string(n);
            record.line("sent", id, "with", key);
            record.line("answered", id, order(*gateways[n % gateways.size()], id, key));
        }
    };

    send("before", "key-1");
    send("before-unknown", "key-never-held");
    if (hasTrouble) {
        store.put("keyed.op", "config", configuration(2, "[]"));
        record.line("acknowledged: version 2, without the tenant");
    }
    sleepFor(TimeAfterAck);
    send("after", "key-1");
    send("unknown", "key-never-held");
    hasEnded = true;
    heartbeats.join();
    gateways.clear();

    const auto before = countOf("before-");
    const auto unknownBefore = countOf("before-unknown");
    const auto taken = hasTrouble ? countOf("after-") : 0;
    const auto unknown = countOf("unknown-");
    record.line("ran before with the key", before - unknownBefore, "of", Requests,
                "with a key that no configuration held", unknownBefore);
    record.line("ran after with the key that was taken away", taken, "of", Requests,
                "with a key that no configuration held", unknown);
    if (before - unknownBefore != Requests)
        return 2;
    const bool isBroken = taken + unknown + unknownBefore > 0;
    record.line(isBroken ? "CONFIG and ROUTE are broken" : "CONFIG and ROUTE hold");
    return isBroken ? 1 : 0;
}
