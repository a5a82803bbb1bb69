#pragma once

#include <LibAccounting/UsageLedger.h>
#include <LibPlatform/LogService.h>
#include <LibRouter/Instance.h>

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>

#include <chrono>

namespace Router {

/// The usage account of an environment, aggregated from the usage records in the platform's log.
/// Not thread-safe.
class UsageAccount
{
public:
    /// Both arguments must outlive the account.
    UsageAccount(Instance &instance, Platform::LogService &log);

    /// Reads the log to its current end and returns the account of all records that the log still
    /// holds, as {"groups","gaps","open"}. Throws Error(PlatformUnavailable).
    boost::asio::awaitable<boost::json::object> report();

private:
    boost::asio::awaitable<void> readToEnd();
    std::vector<Accounting::OwnedShare> shares(const Core::UpstreamGroupId &group,
                                               std::uint64_t generation) const;

    Instance &m_instance;
    Platform::LogService &m_log;
    Accounting::UsageLedger m_ledger;
    Platform::LogOffset m_next = 0;
    bool m_isReading = false;
};

} // namespace Router
