#include <Processes/Documents.h>
#include <Processes/Fleet.h>
#include <catch2/catch.hpp>

#include <csignal>
#include <future>
#include <mutex>
#include <thread>

using namespace Processes;
using namespace std::chrono_literals;

namespace {

constexpr int Keys = 40;
constexpr int AttemptsPerKey = 4;

std::string issueTime()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

Http::Request order(const std::string &key, const std::string &issuedAt)
{
    Http::Request request("POST", "/services/prints/orders", {}, "{\"copies\":1}");
    request.headers.add("Authorization", "Bearer example-key");
    request.headers.add("Idempotency-Key", key);
    request.headers.add("Idempotency-Issued-At", issuedAt);
    return request;
}

/// The answers that callers received for one idempotency key.
struct KeyOutcome
{
    int served = 0;
    int reportedNotRun = 0;
    int unknown = 0;
    int refused = 0;
    int disconnected = 0;
};

/// Routers in two data centres in front of two workers, and callers that send every key to several
/// routers.
struct OrderFleet : Fleet
{
    OrderFleet()
    {
        startService("print-1", "prints");
        startService("print-2", "prints");
        for (const auto &name : names)
            startDaemon(name, name == "router-3" ? "b" : "a");
        publish(testDocument(), names);
        awaitUpstreams(names, 2);
        awaitSiblings(names, names.size() - 1);
    }

    void attempt(int key, int n)
    {
        const auto name = "order-" + std::to_string(key);
        try {
            const auto router = address(names[static_cast<std::size_t>(key + n) % names.size()]);
            note(key, send(router, order(name, issuedAt)));
        } catch (const Core::Error &) {
            const std::scoped_lock lock(mutex);
            ++outcomes[static_cast<std::size_t>(key)].disconnected;
        }
    }

    void note(int key, const Http::Response &answer)
    {
        const std::scoped_lock lock(mutex);
        auto &row = outcomes[static_cast<std::size_t>(key)];
        if (answer.status == 200)
            ++row.served;
        else
            ++row.refused;
        row.reportedNotRun += answer.body.find(R"("key":"not_run")") != std::string::npos ? 1 : 0;
        row.unknown += answer.body.find(R"("key":"unknown")") != std::string::npos ? 1 : 0;
    }

    Http::Endpoint address(const std::string &router)
    {
        const std::scoped_lock lock(mutex);
        return node(router).address;
    }

    void restart(const std::string &router)
    {
        node(router).process->kill();
        const std::scoped_lock lock(mutex);
        startDaemon(router, "a");
    }

    int runs(int key)
    {
        int sum = 0;
        for (const auto *worker : {"print-1", "print-2"}) {
            const auto counts = json(node(worker).address, "/control/counts").at("runs");
            const auto *count = counts.as_object().if_contains("order-" + std::to_string(key));
            sum += count ? count->to_number<int>() : 0;
        }
        return sum;
    }

    /// Sends every key from several callers concurrently while faults are injected.
    void sendAllDuring(const std::function<void()> &faults)
    {
        std::vector<std::future<void>> callers;
        callers.reserve(Keys);
        for (int key = 0; key < Keys; ++key) {
            callers.push_back(std::async(std::launch::async, [this, key] {
                std::this_thread::sleep_for(20ms * key);
                for (int n = 0; n < AttemptsPerKey; ++n)
                    attempt(key, n);
            }));
        }
        faults();
        for (auto &caller : callers)
            caller.get();
    }

    void checkEveryAnswer()
    {
        int served = 0;
        for (int key = 0; key < Keys; ++key) {
            const auto &row = outcomes[static_cast<std::size_t>(key)];
            INFO("key " << key << " served " << row.served << " refused " << row.refused
                        << " disconnected " << row.disconnected << " unknown " << row.unknown);
            const auto count = runs(key);
            CHECK(count <= 1);
            CHECK((row.served == 0 || count == 1));
            CHECK((row.reportedNotRun == 0 || count == 0));
            served += row.served > 0 ? 1 : 0;
        }
        WARN("keys served: " << served << " of " << Keys);
    }

    const std::vector<std::string> names {"router-1", "router-2", "router-3"};
    const std::string issuedAt = issueTime();
    std::mutex mutex;
    std::vector<KeyOutcome> outcomes {Keys};
};

} // namespace

TEST_CASE("orders run at most once while a router is killed and another one frozen")
{
    OrderFleet fleet;
    fleet.sendAllDuring([&] {
        std::this_thread::sleep_for(150ms);
        fleet.restart("router-1");
        fleet.node("router-2").process->signal(SIGSTOP);
        std::this_thread::sleep_for(3s);
        fleet.node("router-2").process->signal(SIGCONT);
    });
    fleet.checkEveryAnswer();
}

TEST_CASE("orders run at most once while the log loses answers and then fails")
{
    OrderFleet fleet;
    fleet.sendAllDuring([&] {
        const auto fault = [&](const char *what) {
            fleet.json(fleet.platform().address, "/control/faults", what);
        };
        fault(R"({"lose_append_answers":6})");
        std::this_thread::sleep_for(200ms);
        fault(R"({"log_outage":true})");
        std::this_thread::sleep_for(500ms);
        fault(R"({"log_outage":false,"append_delay_ms":100})");
    });
    fleet.checkEveryAnswer();
}

TEST_CASE("an order whose answer is lost is never resent or reported as not run")
{
    OrderFleet fleet;
    fleet.json(fleet.node("print-1").address, "/control/faults", R"({"lose_answers":100})");
    fleet.json(fleet.node("print-2").address, "/control/faults", R"({"lose_answers":100})");
    fleet.sendAllDuring([] {});
    fleet.checkEveryAnswer();
    for (int key = 0; key < Keys; ++key) {
        CHECK(fleet.runs(key) == 1);
        CHECK(fleet.outcomes[static_cast<std::size_t>(key)].reportedNotRun == 0);
    }
}
