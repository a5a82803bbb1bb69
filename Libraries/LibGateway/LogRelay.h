#pragma once

#include <LibCore/Result.h>
#include <LibGateway/FleetMembers.h>
#include <LibGateway/LogTail.h>
#include <LibHttp/Client.h>
#include <LibHttp/ServerExchange.h>

#include <map>

namespace Gateway {

/// Passes on to siblings what this instance has read of the store's logs, and asks siblings for the
/// same. Ages add up on the way: what a sibling tells is as old as the sibling's own knowledge.
class LogRelay
{
public:
    explicit LogRelay(const Core::Clock &clock);

    LogTail &tail(FleetTopic topic) { return m_tails[topic]; }
    /// Answers a sibling's call; a handler of Http::Server.
    boost::asio::awaitable<void> answer(Http::ServerExchange &exchange);
    /// Asks a sibling for records from an offset on. Throws Error when no answer came, or when the
    /// sibling does not have these records.
    boost::asio::awaitable<FleetPage> query(Http::Endpoint sibling, FleetTopic topic,
                                            std::uint64_t from, std::chrono::milliseconds wait);

    /// A sibling's answer about its knowledge, written at the given time after the call was held
    /// for a while. Public for tests.
    static std::string encode(const FleetPage &page, Core::Clock::Monotonic now,
                              std::chrono::milliseconds heldFor);
    /// Reads what encode() wrote, for a call that was made at the given time.
    static Core::Result<FleetPage> decode(std::string_view bytes, std::uint64_t from,
                                          Core::Clock::Monotonic requestTime);

private:
    const Core::Clock &m_clock;
    Http::Client m_client;
    std::map<FleetTopic, LogTail> m_tails;
};

} // namespace Gateway
