#pragma once

#include <LibGateway/FleetLog.h>

#include <string>
#include <utility>
#include <vector>

namespace GatewayTests {

/// A log whose store can be restored from a copy, as PlatformLog reads it. No call waits.
class RestorableLog final : public Gateway::FleetLog
{
public:
    boost::asio::awaitable<Gateway::FleetPage> newest(Gateway::FleetTopic) override
    {
        co_return Gateway::FleetPage();
    }
    boost::asio::awaitable<Gateway::FleetPage> read(Gateway::FleetTopic, Gateway::LogPosition from,
                                                    std::chrono::milliseconds) override
    {
        Gateway::FleetPage page;
        page.isHistoryTruncated = from.era() != era;
        page.next = page.isHistoryTruncated ? Gateway::LogPosition(era, 0) : end();
        if (!page.isHistoryTruncated) {
            for (auto at = from; at < end(); ++at)
                page.records.push_back({at, {}, records[at.offset()]});
        }
        co_return page;
    }
    boost::asio::awaitable<Gateway::AppendOutcome>
    append(Gateway::FleetTopic, std::string value,
           std::optional<Gateway::LogPosition> expectedEnd) override
    {
        Gateway::AppendOutcome outcome;
        outcome.position = end();
        outcome.isAppended = !expectedEnd || *expectedEnd == end();
        if (outcome.isAppended)
            records.push_back(std::move(value));
        co_return outcome;
    }

    Gateway::LogPosition end() const { return {era, records.size()}; }
    void copy() { m_copy = records; }
    void restore()
    {
        records = m_copy;
        ++era;
    }

    std::uint64_t era = 0;
    std::vector<std::string> records;

private:
    std::vector<std::string> m_copy;
};

} // namespace GatewayTests
