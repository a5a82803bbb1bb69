#pragma once

#include <LibCore/IoThreads.h>
#include <LibHttp/Server.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace StandIns {

/// How a single call fails.
enum class CallFailure { Unavailable, BeyondRate, Reset, NoAnswer, LateAnswer };

/// What goes wrong with the calls of one caller of the store.
struct StoreTrouble
{
    /// The status of every answer, if it is not 0.
    unsigned refusal = 0;
    /// Calls get no answer until this ends; then their connections are closed.
    bool isSilent = false;
    bool isReset = false;
    /// Calls are executed, but their answers are lost.
    bool losesAnswers = false;
    std::chrono::milliseconds delay {0};
    /// The number of next calls that fail; if a topic is named, of calls for that topic.
    unsigned failures = 0;
    CallFailure failure = CallFailure::Unavailable;
    std::string failingTopic;
};

/// A minimal stand-in for the store of the users' platform: logs with one partition each, the
/// latest record of each key, conditional appends, and faults on command.
class StoreStandIn
{
public:
    explicit StoreStandIn(Core::IoThreads &threads);

    /// Ends the calls that are still pending.
    ~StoreStandIn();
    StoreStandIn(const StoreStandIn &) = delete;
    StoreStandIn &operator=(const StoreStandIn &) = delete;

    Http::Endpoint endpoint() const { return m_server->localEndpoint(); }

    /// Opens another port, for one caller, so that troubles can be told apart.
    Http::Endpoint addCaller(const std::string &caller);
    /// Returns the caller that most recently read a topic; empty if none did.
    std::string lastReader(const std::string &topic) const;
    void setTrouble(const std::string &caller, const StoreTrouble &trouble);
    /// Writes a record as operators and workers do. A missing value deletes the key.
    void put(const std::string &topic, const std::string &key,
             const std::optional<std::string> &value);
    /// Writes bytes that need not begin with a whole key. Lists of newest records omit them.
    void putBytes(const std::string &topic, const std::string &bytes);
    /// Returns the number of records of a topic without keys.
    std::size_t count(const std::string &topic) const;
    /// While this is set, every call is answered with the given status.
    void setRefusal(unsigned status);
    /// Removes all records but the latest of each key, as log compaction does.
    void dropHistory(const std::string &topic);
    /// Copies all logs; the copy replaces an earlier one.
    void copyLogs();
    /// Replaces all logs with the copy and begins a new era, as a store that is restored. Calls
    /// that wait lose their connections.
    void restoreLogs();
    std::size_t calls() const;

private:
    struct Record
    {
        std::string key;
        std::string value;
        bool hasValue = true;
        /// Whether the value is the whole record.
        bool isBare = false;
    };
    struct Topic
    {
        std::uint64_t first = 0;
        std::vector<Record> records;
        std::uint64_t end() const { return first + records.size(); }
    };

    boost::asio::awaitable<void> handle(Http::ServerExchange &exchange);
    boost::asio::awaitable<void> handleOf(std::string caller, Http::ServerExchange &exchange);
    /// Sends an answer, which names the store's era except in the first one.
    boost::asio::awaitable<void> respond(Http::ServerExchange &exchange, Http::Response response);
    /// Ends calls that a trouble concerns. Returns whether the call goes on.
    boost::asio::awaitable<bool> passTrouble(std::string caller, Http::ServerExchange &exchange);
    boost::asio::awaitable<void> serve(Http::ServerExchange &exchange, std::string caller);
    /// Returns whether the call goes on, after a while or at once.
    boost::asio::awaitable<bool> failOnce(CallFailure failure, Http::ServerExchange &exchange);
    bool isRefusing() const;
    /// Sends the answer unless it is lost.
    boost::asio::awaitable<void> answer(Http::ServerExchange &exchange, std::string caller,
                                        Http::Response response);
    boost::asio::awaitable<void> read(Http::ServerExchange &exchange, std::string caller,
                                      std::map<std::string, std::string> query);
    StoreTrouble troubleOf(const std::string &caller) const;
    Http::Response newest(const std::string &topic) const;
    /// A record of an append request; records of keyed topics begin with their key.
    static Record recordOf(const std::string &topic, std::string_view bytes);
    Http::Response append(const std::map<std::string, std::string> &query, std::string_view body);

    mutable std::mutex m_mutex;
    std::map<std::string, Topic> m_topics;
    std::map<std::string, Topic> m_copy;
    std::uint64_t m_era = 0;
    unsigned m_refusal = 0;
    std::size_t m_calls = 0;
    std::map<std::string, StoreTrouble> m_troubles;
    std::map<std::string, std::string> m_lastReaders;
    Core::IoThreads &m_threads;
    std::unique_ptr<Http::Server> m_server;
    std::vector<std::unique_ptr<Http::Server>> m_callerServers;
};

} // namespace StandIns
