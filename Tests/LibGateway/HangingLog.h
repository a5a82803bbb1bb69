#pragma once

#include <LibGateway/FleetLog.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace GatewayTests {

/// A log whose long polls never return, like those of a store that has lost its list of waiting
/// readers.
class HangingLog final : public Gateway::FleetLog
{
public:
    boost::asio::awaitable<Gateway::FleetPage> newest(Gateway::FleetTopic) override
    {
        co_return Gateway::FleetPage();
    }
    boost::asio::awaitable<Gateway::FleetPage> read(Gateway::FleetTopic, Gateway::LogPosition from,
                                                    std::chrono::milliseconds wait) override
    {
        if (wait > std::chrono::milliseconds::zero()) {
            boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                            std::chrono::hours(1));
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
        Gateway::FleetPage page;
        const auto end = std::min(records.size(), from.offset() + recordsPerPage);
        page.next = end;
        page.isComplete = end >= records.size();
        for (auto n = from.offset(); n < end; ++n)
            page.records.push_back({n, {}, records[n]});
        co_return page;
    }
    boost::asio::awaitable<Gateway::AppendOutcome>
    append(Gateway::FleetTopic, std::string value,
           std::optional<Gateway::LogPosition> expectedEnd) override
    {
        Gateway::AppendOutcome outcome;
        outcome.position = records.size();
        outcome.isAppended = !expectedEnd || *expectedEnd == records.size();
        if (outcome.isAppended)
            records.push_back(std::move(value));
        co_return outcome;
    }

    std::vector<std::string> records;
    std::size_t recordsPerPage = 1'000;
};

} // namespace GatewayTests
