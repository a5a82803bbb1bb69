#include "RawWorkersFixture.h"

#include <catch2/catch.hpp>

#include <map>
#include <mutex>
#include <random>

using PlatformTests::GatewayFixture;
using PlatformTests::rawWorkerEntry;
using PlatformTests::RawWorkersFixture;
using StandIns::RawConnection;

namespace {

constexpr int MaxTries = 40;

/// Which id a rejection bears.
enum class BorneId {
    Own,
    Earlier,
    None,
    Wrong,
};
constexpr std::array AllIds {BorneId::Own, BorneId::Earlier, BorneId::None, BorneId::Wrong};

constexpr std::array Rejections {"503 Service Unavailable\r\nX-Jujubesaddle-Not-Executed: 1",
                                 "429 Too Many Requests\r\nX-Jujubesaddle-Not-Executed: 1",
                                 "421 Misdirected Request"};

std::string idOf(const Http::Request &request)
{
    return std::string(request.headers.find("X-Jujubesaddle-Attempt-Id").value_or(""));
}

std::string wholeAnswer(const std::string &status, const std::string &id, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n"
           + (id.empty() ? "" : "X-Jujubesaddle-Attempt-Id: " + id + "\r\n")
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The workers' side: runs requests and counts the runs of each.
class Workers
{
public:
    void run(RawConnection &connection, const Http::Request &request)
    {
        begin(request);
        finish(connection, request);
    }

    /// Counts a run; called before any byte of it is sent, after which the caller may have its
    /// answer.
    void begin(const Http::Request &request)
    {
        const std::scoped_lock lock(m_mutex);
        ++m_runs[idOf(request)];
    }

    void finish(RawConnection &connection, const Http::Request &request)
    {
        connection.send(wholeAnswer("200 OK\r\nX-Jujubesaddle-Server-Seal: seal", idOf(request),
                                    "ran " + idOf(request)));
        connection.keep();
    }

    void reject(RawConnection &connection, const Http::Request &request, std::string_view status,
                BorneId borne)
    {
        const std::map<BorneId, std::string> ids {{BorneId::Own, idOf(request)},
                                                  {BorneId::Earlier, m_earlier},
                                                  {BorneId::None, ""},
                                                  {BorneId::Wrong, "nobody's"}};
        connection.send(wholeAnswer(std::string(status), ids.at(borne), "busy"));
        connection.keep();
    }

    int runs(const std::string &id)
    {
        const std::scoped_lock lock(m_mutex);
        return m_runs[id];
    }

    void noteEarlier(const std::string &id) { m_earlier = id; }

private:
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    std::string m_earlier = "earlier";
};

/// Whether the status promises that the request has not run and never will.
bool isPromise(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

TEST_CASE("a rejection that may belong to another request does not let a call run twice")
{
    const std::string status = GENERATE(from_range(Rejections));
    const auto borne = GENERATE(from_range(AllIds));
    const bool isKept = GENERATE(false, true);
    // Additional bytes, while the worker runs the request.
    const bool isExtra = GENERATE(false, true);
    // Nothing was sent on a new connection to which additional bytes could belong, and none of them
    // bear the id of a request that is sent later.
    if (isExtra && (!isKept || borne == BorneId::Own))
        return;
    INFO(status << ", id " << static_cast<int>(borne) << ", kept " << isKept << ", extra "
                << isExtra);
    Workers workers;
    std::atomic<bool> isDone = false;
    std::string rejected;
    RawWorkersFixture fixture("app", [&](RawConnection &connection, const auto &request) {
        if (isKept != (connection.served() > 0) || isDone.exchange(true)) {
            workers.run(connection, request);
            return;
        }
        rejected = idOf(request);
        if (isExtra)
            workers.begin(request);
        workers.reject(connection, request, status, borne);
        if (isExtra)
            workers.finish(connection, request);
    });
    for (int n = 0; n < MaxTries && !isDone; ++n) {
        const auto id = "id-" + std::to_string(n);
        const auto answer = fixture.receive(GatewayFixture::request("/calls/a", id));
        if (rejected != id) {
            CHECK(answer.response.body == "ran " + id);
            workers.noteEarlier(id);
            continue;
        }
        const bool isBelieved = borne == BorneId::Own || (borne == BorneId::None && !isKept);
        CHECK(!answer.failure);
        CHECK(answer.response.status == (isBelieved ? 200 : 502));
        CHECK(workers.runs(id) == (isBelieved || isExtra ? 1 : 0));
    }
    CHECK(isDone);
}

TEST_CASE("a rejection of an earlier send of the same call is not believed for the next one")
{
    constexpr int WarmUp = 60;
    constexpr int Expired = 8;
    const bool hasOther = GENERATE(false, true);
    INFO("another worker " << hasOther);
    std::mutex mutex;
    std::string rejected;
    int repeats = 0;
    Workers workers;
    // It started again under other ids at its address, and its earlier entries have not expired.
    StandIns::RawServer restarted([&](RawConnection &connection, const auto &request) {
        const std::scoped_lock lock(mutex);
        const auto rejection = wholeAnswer(
            "421 Misdirected Request\r\nX-Jujubesaddle-Instance-Id: w-2", idOf(request), "");
        if (request.headers.find("X-Jujubesaddle-Expect-Instance")
                .value_or("")
                .starts_with("w-1")) {
            rejected = idOf(request);
            connection.send(rejection);
            connection.keep();
            return;
        }
        workers.begin(request);
        if (idOf(request) == rejected) {
            ++repeats;
            if (connection.served() > 0)
                connection.send(rejection);
        }
        workers.finish(connection, request);
    });
    StandIns::RawServer other(
        [&](RawConnection &connection, const auto &request) { workers.run(connection, request); });
    GatewayFixture fixture;
    const auto list = [&fixture](const std::string &id, const StandIns::RawServer &worker) {
        fixture.store.put("keyed.servers", id, rawWorkerEntry("app", worker));
    };
    list("w-2", restarted);
    if (hasOther)
        list("w-3", other);
    fixture.configure(1);
    fixture.startGateway();
    // The ratio of the retry budget allows repeats afterwards.
    for (int n = 0; n < WarmUp; ++n)
        fixture.send(GatewayFixture::request("/calls/a", "warm-" + std::to_string(n)));
    for (int n = 0; n < Expired; ++n)
        list("w-1-" + std::to_string(n), restarted);
    int sent = 0;
    // A worker that rejected is not chosen for some seconds.
    CHECK(GatewayFixture::eventually([&] {
        const auto id = "id-" + std::to_string(sent++);
        const auto answer = fixture.send(GatewayFixture::request("/calls/a", id));
        const std::scoped_lock lock(mutex);
        INFO(id << ": " << answer.status << ", runs " << workers.runs(id));
        CHECK(workers.runs(id) <= 1);
        CHECK((!isPromise(answer.status) || workers.runs(id) == 0));
        return repeats > 0;
    }));
}

TEST_CASE("with additional rejections on any connection no call runs twice, or after a promise")
{
    constexpr int Count = 150;
    constexpr int ExtraShare = 4;
    const auto seed = GENERATE(1U, 2U, 3U);
    INFO("seed " << seed);
    std::mt19937 random(seed);
    std::mutex mutex;
    Workers workers;
    RawWorkersFixture fixture("app", [&](RawConnection &connection, const auto &request) {
        std::unique_lock lock(mutex);
        const auto kind = random() % ExtraShare;
        const std::string_view status = Rejections.at(random() % 2);
        const auto borne = AllIds.at(random() % AllIds.size());
        lock.unlock();
        if (kind == 0 && (borne == BorneId::Own || connection.served() == 0)) {
            workers.reject(connection, request, status, borne);
            return;
        }
        workers.begin(request);
        if (kind == 0)
            workers.reject(connection, request, status, borne);
        workers.finish(connection, request);
    });
    int served = 0;
    for (int n = 0; n < Count; ++n) {
        const auto id = "id-" + std::to_string(n);
        const auto answer = fixture.receive(GatewayFixture::request("/calls/a", id));
        const auto runs = workers.runs(id);
        INFO(id << ": " << answer.response.status << ", runs " << runs);
        CHECK(runs <= 1);
        if (isPromise(answer.response.status))
            CHECK(runs == 0);
        if (answer.response.status == 200) {
            CHECK(answer.response.body == "ran " + id);
            ++served;
        }
    }
    CHECK(served > Count / 2);
}

TEST_CASE("a status that promises not run is not passed on unless the worker states it")
{
    const std::string status =
        GENERATE("408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable");
    std::string ran;
    RawWorkersFixture fixture("app", [&](RawConnection &connection, const auto &request) {
        ran += idOf(request);
        connection.send(
            wholeAnswer(status + "\r\nX-Jujubesaddle-Server-Seal: seal", idOf(request), "failed"));
        connection.keep();
    });
    const auto answer = fixture.receive(GatewayFixture::request("/calls/a", "id-1"));
    CHECK(answer.response.status == 502);
    CHECK(answer.header("X-Jujubesaddle-Server-Seal").empty());
    CHECK(ran == "id-1");
    // A request that may run again is answered as the worker did.
    const auto repeatable =
        fixture.receive(GatewayFixture::request("/views/a", "id-2", "GET")).response;
    CHECK(repeatable.body == "failed");
    CHECK(status.starts_with(std::to_string(repeatable.status)));
}

TEST_CASE("an answer that names no request is not taken for that of another one on its connection")
{
    std::atomic<int> extras = 0;
    RawWorkersFixture fixture("app", [&](RawConnection &connection, const auto &request) {
        if (connection.served() > 0) {
            ++extras;
            connection.send(wholeAnswer("200 OK\r\nX-Jujubesaddle-Server-Seal: seal", "", "extra"));
        }
        connection.send(wholeAnswer("200 OK\r\nX-Jujubesaddle-Server-Seal: seal", idOf(request),
                                    "for " + idOf(request)));
        connection.keep();
    });
    for (int n = 0; n < MaxTries && extras < 3; ++n) {
        const auto id = "id-" + std::to_string(n);
        const auto before = extras.load();
        const auto answer = fixture.receive(GatewayFixture::request("/calls/a", id));
        CHECK(answer.response.status == (extras > before ? 502 : 200));
        CHECK(answer.response.body.find("extra") == std::string::npos);
    }
    CHECK(extras == 3);
}

TEST_CASE("requests without an id are served, and each takes the answer to itself")
{
    constexpr int Count = 6;
    RawWorkersFixture fixture("app", [&](RawConnection &connection, const auto &request) {
        const std::string seal = "200 OK\r\nX-Jujubesaddle-Server-Seal: seal";
        const std::string own(request.headers.find("X-Own").value_or(""));
        connection.send(wholeAnswer(seal, idOf(request), own));
        connection.send(wholeAnswer(seal, "", "surplus"));
        connection.keep();
    });
    for (int n = 0; n < Count; ++n) {
        auto request = GatewayFixture::request("/calls/a", "");
        request.headers.remove("X-Jujubesaddle-Attempt-Id");
        request.headers.add("X-Own", std::to_string(n));
        const auto answer = fixture.receive(std::move(request));
        CHECK(answer.response.body == std::to_string(n));
    }
}
