#pragma once

#include <LibCore/Result.h>
#include <LibGateway/FleetMembers.h>
#include <LibGateway/LogTail.h>
#include <LibHttp/Client.h>
#include <LibHttp/ServerExchange.h>

#include <map>

namespace Gateway {

/// Serves siblings the records that this instance has read from the store's logs, and queries
/// siblings for theirs. Ages add up: data received from a sibling is at least as old as it is at
/// that sibling.
class LogRelay
{
public:
    explicit LogRelay(const Core::Clock &clock);

    LogTail &tail(FleetTopic topic) { return m_tails[topic]; }
    /// Answers a query of a sibling; a handler of Http::Server.
    boost::asio::awaitable<void> answer(Http::ServerExchange &exchange);
    /// Queries a sibling for records from a position on. Throws Error when there is no answer, or
    /// when the sibling does not have these records.
    boost::asio::awaitable<FleetPage> query(Http::Endpoint sibling, FleetTopic topic,
                                            LogPosition from, std::chrono::milliseconds wait);
    /// Queries a sibling for the newest record of each key. Throws Error likewise.
    boost::asio::awaitable<FleetPage> queryNewest(Http::Endpoint sibling, FleetTopic topic);

    /// Encodes the answer to a sibling's query, written at the given time after the call was held
    /// for a while. Public for tests.
    static std::string encode(const FleetPage &page, Core::Clock::Monotonic now,
                              std::chrono::milliseconds heldFor);
    /// Decodes an answer of encode() to a query that was sent at the given time.
    static Core::Result<FleetPage> decode(std::string_view bytes, LogPosition from,
                                          Core::Clock::Monotonic requestTime);

private:
    const Core::Clock &m_clock;
    Http::Client m_client;
    std::map<FleetTopic, LogTail> m_tails;
};

} // namespace Gateway
