#include "Judge.h"

#include <catch2/catch.hpp>

using namespace Soak;
using namespace std::chrono_literals;

namespace {

/// A history of sound requests, to which a test adds a fault.
struct SampleHistory : History
{
    SampleHistory()
    {
        Configuration configuration;
        configuration.passingKey = "passing-1";
        configurations.push_back(configuration);
        add("1", Kind::Once, 20s);
    }

    Request &add(const std::string &id, Kind kind, Time at)
    {
        auto &request = requests[id];
        request.id = id;
        request.target = "/" + id;
        request.instance = "edge-1";
        request.kind = kind;
        request.sentAt = at;
        request.endedAt = at + 50ms;
        auto &arrival = arrive(request, at + 10ms);
        if (request.isStream()) {
            request.events = 3;
            for (unsigned n = 1; n <= request.events; ++n)
                request.body += eventText(id, n);
        } else {
            request.body = arrival.body = "body";
        }
        request.status = arrival.status = 200;
        request.seal = arrival.seal = "seal-" + id;
        request.isComplete = arrival.isAnswered = true;
        return request;
    }

    Arrival &arrive(const Request &request, Time at)
    {
        auto &arrival = arrivals[request.id].emplace_back();
        arrival.upstream = "app-1";
        arrival.target = request.target;
        arrival.at = at;
        arrival.hasRun = true;
        return arrival;
    }

    void disturb(const std::string &instance, Time from, Time to, bool isPlanned = false)
    {
        Disturbance disturbance;
        disturbance.instance = instance;
        disturbance.from = from;
        disturbance.to = to;
        disturbance.isPlanned = isPlanned;
        disturbances.push_back(disturbance);
    }

    void leave(Time at)
    {
        Departure departure;
        departure.upstream = "app-1";
        departure.from = at;
        departures.push_back(departure);
    }

    /// Returns the broken rules.
    std::string rules() const
    {
        std::string names;
        for (const auto &found : Judge(*this).breaks())
            names += (names.empty() ? "" : " ") + found.rule;
        return names;
    }
};

} // namespace

TEST_CASE("the judge finds nothing in sound requests of any kind")
{
    SampleHistory history;
    history.add("2", Kind::Repeatable, 21s);
    history.add("3", Kind::Stream, 22s);
    history.add("4", Kind::ResumableStream, 23s);
    CHECK(history.rules().empty());
}

TEST_CASE("the judge finds requests that ran twice, but allows it to repeatable ones")
{
    const auto kind = GENERATE(Kind::Once, Kind::Repeatable, Kind::Stream, Kind::ResumableStream);
    SampleHistory history;
    auto &request = history.add("2", kind, 21s);
    auto &arrival = history.arrive(request, 21'020ms);
    CHECK(history.rules() == (request.runsOnce() ? "TWICE" : ""));
    arrival.hasRun = false;
    CHECK(history.rules().empty());
}

TEST_CASE("the judge finds refusals of requests that ran")
{
    const auto status = GENERATE(503u, 429u, 421u, 408u, 502u, 504u);
    SampleHistory history;
    auto &request = history.requests.at("1");
    request.status = status;
    request.seal.clear();
    request.body.clear();
    CHECK(history.rules() == (status == 502 || status == 504 ? "" : "REFUSED"));
    history.arrivals.at("1").front().hasRun = false;
    CHECK(history.rules().empty());
}

TEST_CASE("the judge finds answers that are not the upstream's")
{
    SampleHistory history;
    auto &request = history.requests.at("1");
    SECTION("bytes that are no answer")
    {
        request.malformation = "bad version";
    }
    SECTION("a success without a seal")
    {
        request.seal.clear();
    }
    SECTION("the seal of another request")
    {
        request.seal = "seal-0";
    }
    SECTION("another status")
    {
        request.status = 500;
    }
    SECTION("another body")
    {
        request.body = "bod";
    }
    CHECK(history.rules() == "MIXED");
}

TEST_CASE("the judge finds streams with missing, repeated, foreign or too few events")
{
    SampleHistory history;
    auto &request = history.add("2", Kind::ResumableStream, 21s);
    const auto whole = request.body;
    const auto first = eventText("2", 1);
    SECTION("missing")
    {
        request.body = first + eventText("2", 3);
    }
    SECTION("repeated")
    {
        request.body = first + first;
    }
    SECTION("the text of an error")
    {
        request.body = first + "{\"error\":\"x\"}";
    }
    SECTION("of another request")
    {
        request.body = first + eventText("1", 2);
    }
    SECTION("more than all")
    {
        request.body = whole + eventText("2", 4);
    }
    SECTION("complete before its end")
    {
        request.body = first;
    }
    CHECK(history.rules() == "ORDER");
    request.body = first.substr(0, 5);
    request.isComplete = false;
    request.hasLeft = true;
    CHECK(history.rules().empty());
}

TEST_CASE("the judge finds arrivals at upstreams that left, unless something excuses them")
{
    SampleHistory history;
    history.leave(18'000ms);
    CHECK(history.rules() == "DRAIN");
    SECTION("within the bound")
    {
        history.departures.front().from = 18'010ms;
    }
    SECTION("back again")
    {
        history.departures.front().to = 20s;
    }
    SECTION("the instance was disturbed")
    {
        history.disturb("edge-1", 1s, 17'500ms);
    }
    SECTION("the store was disturbed")
    {
        history.disturb("", 17'200ms, 17'300ms);
    }
    SECTION("the store was disturbed when it accepted")
    {
        history.disturb("", 15s, 15'500ms);
    }
    CHECK(history.rules().empty());
}

TEST_CASE("the judge does not excuse arrivals by other or earlier disturbances")
{
    SampleHistory history;
    history.leave(17'500ms);
    history.disturb("edge-2", 19s, 20s);
    history.disturb("edge-1", 16s, 16'900ms);
    history.disturb("", 14s, 14'400ms);
    CHECK(history.rules() == "DRAIN");
}

TEST_CASE("the judge counts repeats of each service in sliding windows")
{
    SampleHistory history;
    // 101 requests allow 20.2 repeats and the slack of 52.
    for (int n = 0; n < 100; ++n) {
        auto &request = history.add("r" + std::to_string(n), Kind::Repeatable, 10s + n * 50ms);
        if (n < 72)
            history.arrive(request, 16s);
    }
    CHECK(history.rules().empty());
    history.arrive(history.requests.at("r0"), 25'990ms);
    CHECK(history.rules() == "BUDGET");
    history.arrivals.at("r0").back().at = 26'001ms;
    CHECK(history.rules().empty());
}

TEST_CASE("the judge finds requests that run with a revoked key or on a dropped route")
{
    SampleHistory history;
    Configuration configuration;
    configuration.at = 14'900ms;
    configuration.passingKey = "passing-2";
    configuration.hasPassingRoute = false;
    history.configurations.push_back(configuration);
    auto &request = history.requests.at("1");
    SECTION("key")
    {
        request.key = "passing-1";
        history.disturb("edge-1", 19s, 20s);
        CHECK(history.rules() == "CONFIG");
        history.configurations.back().at = 15'100ms;
        CHECK(history.rules().empty());
    }
    SECTION("route")
    {
        request.hasPassingRoute = true;
        CHECK(history.rules() == "CONFIG");
        history.disturb("edge-1", 19s, 19s);
        CHECK(history.rules().empty());
    }
}

TEST_CASE("the judge finds denials of what every configuration allows")
{
    SampleHistory history;
    history.arrivals.clear();
    auto &request = history.requests.at("1");
    request.status = 404;
    request.seal.clear();
    SECTION("on a route that was added")
    {
        request.hasPassingRoute = true;
        CHECK(history.rules() == "CONFIG");
    }
    SECTION("many on lasting routes")
    {
        CHECK(history.rules().empty());
        for (int n = 0; n < 10; ++n) {
            auto &other = history.add("r" + std::to_string(n), Kind::Once, 21s);
            history.arrivals.clear();
            other.status = 401;
            other.seal.clear();
        }
        CHECK(history.rules().starts_with("DENIED DENIED"));
    }
}

TEST_CASE("the judge finds connections that closed after a sound upstream answered")
{
    SampleHistory history;
    auto &request = history.requests.at("1");
    request.isComplete = false;
    request.status = 0;
    request.seal.clear();
    request.body.clear();
    CHECK(history.rules().empty());
    SECTION("in a planned stop")
    {
        history.disturb("edge-1", 19s, 20s, true);
        CHECK(history.rules() == "LOST");
        history.disturb("edge-1", 19s, 20s);
        CHECK(history.rules().empty());
    }
    SECTION("in a planned stop, with work to the end of the grace period")
    {
        history.disturb("edge-1", 17'100ms, 25s, true);
        request.endedAt = 23'800ms;
        history.arrivals.at("1").front().answeredAt = 23'765ms;
        CHECK(history.rules() == "LOST");
        history.arrivals.at("1").front().answeredAt = 23'766ms;
        CHECK(history.rules().empty());
        request.sentAt = 20'101ms;
        CHECK(history.rules() == "LOST");
    }
    SECTION("in a planned stop, when its time was over")
    {
        history.disturb("edge-1", 19s, 20s, true);
        request.deadline = 51ms;
        CHECK(history.rules() == "LOST");
        request.deadline = 50ms;
        CHECK(history.rules().empty());
    }
    SECTION("many at any time")
    {
        for (int n = 0; n < 4; ++n) {
            auto &other = history.add("r" + std::to_string(n), Kind::Once, 21s);
            other.isOnKeptConnection = true;
            other.isComplete = false;
            other.status = 0;
            other.seal.clear();
        }
        CHECK(history.rules() == "LOST LOST LOST LOST");
    }
}

TEST_CASE("the judge finds processes that ended by themselves and requests that nobody sent")
{
    SampleHistory history;
    history.faults.push_back({"edge-1", 5s, "ended with signal 1"});
    CHECK(history.rules() == "FAULT");
    history.faults.clear();
    SECTION("unknown")
    {
        history.requests.clear();
    }
    SECTION("changed")
    {
        history.arrivals.at("1").front().target = "/2";
    }
    CHECK(history.rules() == "UNASKED");
}

TEST_CASE("the judge finds requests sent to an upstream after its notice was passed on")
{
    SampleHistory history;
    history.arrivals.at("1").front().saysLeaving = true;
    history.add("2", Kind::Once, 22'051ms);
    // Nothing but a restart or a freeze of the instance since then excuses it.
    history.disturb("", 19s, 22s);
    history.disturb("edge-1", 16s, 20'040ms);
    history.disturb("edge-2", 21s, 22s);
    CHECK(history.rules() == "DRAIN");
    SECTION("within the bound")
    {
        history.requests.at("2").sentAt = 22'050ms;
    }
    SECTION("not passed on")
    {
        history.requests.at("1").isComplete = false;
        history.requests.at("1").hasLeft = true;
    }
    SECTION("another process of the upstream")
    {
        history.arrivals.at("2").front().incarnation = 1;
    }
    SECTION("through another instance")
    {
        history.requests.at("2").instance = "edge-2";
    }
    SECTION("after a restart")
    {
        history.disturb("edge-1", 21s, 21s);
    }
    CHECK(history.rules().empty());
}

TEST_CASE("the judge finds more than two requests in the time that a rejection named")
{
    SampleHistory history;
    auto &rejection = history.arrivals.at("1").front();
    auto &request = history.requests.at("1");
    rejection.status = request.status = 503;
    rejection.hasRun = false;
    rejection.retryAfter = 3s;
    rejection.answeredAt = 20'100ms;
    request.seal.clear();
    request.body.clear();
    history.add("2", Kind::Once, 20'700ms);
    history.add("3", Kind::Once, 21'000ms);
    history.add("4", Kind::Once, 23'090ms);
    CHECK(history.rules() == "BUDGET");
    SECTION("only two")
    {
        history.arrivals.at("4").front().at = 23'101ms;
    }
    SECTION("within half a second")
    {
        history.arrivals.at("2").front().at = 20'600ms;
    }
    SECTION("no time named")
    {
        rejection.retryAfter = 0s;
    }
    SECTION("after a freeze")
    {
        history.disturb("edge-1", 20'200ms, 20'300ms);
    }
    CHECK(history.rules().empty());
}

TEST_CASE("the judge finds requests without an answer after the time of their route")
{
    SampleHistory history;
    history.requests.at("1").endedAt = 24'501ms;
    CHECK(history.rules() == "CONFIG");
    SECTION("in time")
    {
        history.requests.at("1").endedAt = 24'500ms;
    }
    SECTION("one of two")
    {
        history.add("2", Kind::Once, 20s).endedAt = 24'100ms;
    }
    SECTION("disturbed")
    {
        history.disturb("edge-1", 17s, 17s);
    }
    CHECK(history.rules().empty());
}

TEST_CASE("the judge excuses a stale entry only to an instance that started after the departure")
{
    SampleHistory history;
    history.leave(15'000ms);
    history.departures.front().staleEntryAt = 15'500ms;
    CHECK(history.rules() == "DRAIN");
    history.disturb("edge-1", 16s, 16s);
    CHECK(history.rules().empty());
    history.departures.front().staleEntryAt = Time::max();
    CHECK(history.rules() == "DRAIN");
}

TEST_CASE("the judge finds instances that stay ready after SIGTERM")
{
    SampleHistory history;
    history.stops = {{"edge-1", 1s, true}, {"edge-2", 2s, true}, {"edge-3", 3s, false}};
    CHECK(history.rules() == "DRAIN DRAIN");
    SECTION("one")
    {
        history.stops.front().isReadyLater = false;
    }
    SECTION("a quarter")
    {
        history.stops.resize(8, {"edge-4", 4s, false});
    }
    CHECK(history.rules().empty());
}

TEST_CASE("the requests of instances that passed on a limit are counted, until it ends")
{
    SampleHistory history;
    history.limits.push_back({"app-1", 0, 2, 20s, 40s});
    const auto add = [&](Time at, unsigned count) {
        for (unsigned n = 0; n < count; ++n) {
            const auto id = std::to_string(history.requests.size() + 1);
            history.add(id, Kind::Once, at + n * 100ms);
            history.arrivals[id].front().limitNamedAt = at + n * 100ms + 10ms;
        }
    };
    // 2 a second for 4 s, with the tolerance: 17.
    add(20s, 1);
    SECTION("as many as are allowed")
    {
        add(24s, 17);
        CHECK(history.rules().empty());
    }
    SECTION("one more")
    {
        add(24s, 18);
        CHECK(history.rules() == "LIMIT");
    }
    SECTION("from an instance that got no answer with it")
    {
        history.limits.front().to = Time::max();
        for (unsigned n = 0; n < 24; ++n)
            history.add("other-" + std::to_string(n), Kind::Once, 20s + n * 100ms).instance =
                "edge-2";
        add(23'100ms, 1);
        CHECK(history.rules().empty());
    }
    SECTION("spread over two windows")
    {
        add(24s, 10);
        add(29s, 10);
        CHECK(history.rules().empty());
    }
    SECTION("before it was in force long enough")
    {
        add(20'600ms, 18);
        CHECK(history.rules().empty());
    }
    SECTION("after its end")
    {
        add(41s, 18);
        CHECK(history.rules().empty());
    }
    SECTION("after a restart, which forgets it")
    {
        history.disturb("edge-1", 23s, 23'500ms);
        for (unsigned n = 0; n < 18; ++n)
            history.add("late-" + std::to_string(n), Kind::Once, 25s + n * 100ms);
        CHECK(history.rules().empty());
    }
}
