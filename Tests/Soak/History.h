#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Soak {

/// Time since the start of a run.
using Time = std::chrono::milliseconds;

enum class Kind { Once, Repeatable, Stream, ResumableStream };

/// A request as its client saw it.
struct Request
{
    std::string id;
    std::string target;
    std::string instance;
    Kind kind = Kind::Once;
    std::string key;
    /// Whether its route comes and goes with the configuration.
    bool hasPassingRoute = false;
    /// Whether its connection had served a request before.
    bool isOnKeptConnection = false;
    unsigned events = 0;
    Time sentAt {0};
    Time endedAt {0};
    /// The time that the client allowed for it.
    Time deadline = Time::max() / 2;
    /// The client left before the end.
    bool hasLeft = false;
    /// 0 without an answer.
    unsigned status = 0;
    std::string seal;
    std::string body;
    bool isComplete = false;
    /// What was wrong with the bytes that were received.
    std::string malformation;

    Time timeout() const { return isStream() ? Time(12'000) : Time(4'000); }
    bool isStream() const { return kind == Kind::Stream || kind == Kind::ResumableStream; }
    bool runsOnce() const { return kind == Kind::Once || kind == Kind::Stream; }
    std::string service() const { return isStream() ? "llm" : "app"; }
};

/// A request as an upstream saw it.
struct Arrival
{
    std::string upstream;
    /// Distinguishes the processes of one upstream.
    unsigned incarnation = 0;
    std::string target;
    Time at {0};
    /// It was meant for another upstream, and got 421.
    bool isMisdirected = false;
    bool hasRun = false;
    /// The status and body of the answer; 0 if there was none.
    unsigned status = 0;
    std::string seal;
    std::string body;
    /// Whether the answer was sent in full.
    bool isAnswered = false;
    Time answeredAt {0};
    /// The answer said that the upstream leaves.
    bool saysLeaving = false;
    /// The time for which a 503 asked the instance to send nothing; 0 if it named none.
    Time retryAfter {0};
    /// When an answer that names a limit began; the greatest time if none did.
    Time limitNamedAt = Time::max();
};

/// A time in which the answers of an upstream named a limit on its requests.
struct Limit
{
    std::string upstream;
    unsigned incarnation = 0;
    double requestsPerSecond = 0;
    /// When the first answer with it began; the greatest time before that.
    Time from = Time::max();
    Time to = Time::max();
};

/// A time in which an upstream's entry said that it leaves, or was missing.
struct Departure
{
    std::string upstream;
    Time from {0};
    Time to = Time::max();
    bool isRemoval = false;
    /// When the store accepted an older entry, as if the upstream had not left. Whoever starts
    /// after that cannot know better.
    Time staleEntryAt = Time::max();
};

/// A time in which the test disturbed an instance, or the store if the name is empty.
struct Disturbance
{
    std::string instance;
    Time from {0};
    Time to = Time::max();
    /// A stop or a change of settings, not a failure.
    bool isPlanned = false;
    /// The test itself was late, and with it all that it recorded.
    bool isOfTest = false;
};

/// A process that ended or failed to start without being asked to.
struct ProcessFault
{
    std::string instance;
    Time at {0};
    std::string what;
};

/// A SIGTERM to an instance that was ready.
struct Stop
{
    std::string instance;
    Time at {0};
    /// Whether it still counted as ready four seconds later.
    bool isReadyLater = false;
};

/// A configuration that the store accepted.
struct Configuration
{
    Time at {0};
    bool hasPassingRoute = true;
    /// The key that callers use besides the lasting one.
    std::string passingKey;
};

/// Everything that clients, upstreams, the store and the process table saw.
struct History
{
    std::map<std::string, Request> requests;
    std::map<std::string, std::deque<Arrival>> arrivals;
    std::vector<Departure> departures;
    std::vector<Disturbance> disturbances;
    std::vector<ProcessFault> faults;
    std::vector<Stop> stops;
    std::vector<Limit> limits;
    std::vector<Configuration> configurations;
};

/// Returns an event of the stream that answers a request.
inline std::string eventText(const std::string &id, unsigned number)
{
    const auto text = std::to_string(number);
    return "id: " + text + "\ndata: " + id + "/" + text + "\n\n";
}

} // namespace Soak
