#pragma once

#include <LibAccounting/UsageOutbox.h>
#include <LibPlatform/LogService.h>
#include <LibRouter/Instance.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <string>

namespace Router {

/// Appends this instance's usage records to the platform's log, one batch per interval.
class UsageReporter
{
public:
    /// The instance and the log must outlive the reporter.
    UsageReporter(Instance &instance, Platform::LogService &log,
                  std::chrono::milliseconds interval);

    /// Runs until its context stops.
    boost::asio::awaitable<void> run();
    /// Appends the remaining records as the last batch of this incarnation. For a graceful
    /// shutdown; must run on the context of run().
    boost::asio::awaitable<void> finish();

    /// Returns the name of the log stream with the usage records of an environment.
    static std::string streamName(const std::string &environment);

private:
    boost::asio::awaitable<bool> appendOne(bool isLast);

    Instance &m_instance;
    Platform::LogService &m_log;
    std::chrono::milliseconds m_interval;
    Accounting::UsageOutbox m_outbox;
    bool m_isAppending = false;
    bool m_isFinishing = false;
};

} // namespace Router
