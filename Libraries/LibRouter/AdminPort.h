#pragma once

#include <LibHttp/ServerExchange.h>
#include <LibRouter/Instance.h>

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>

#include <functional>

namespace Router {

/// Handles requests to the operators' port: health, readiness, metrics, status, usage, drain and
/// explain.
class AdminPort
{
public:
    explicit AdminPort(Instance &instance);

    /// Sets the hook that produces the usage account of the environment.
    void setUsageHook(std::function<boost::asio::awaitable<boost::json::object>()> hook);
    /// Sets the hook that adds further fields to the status. It is called on the admin port's
    /// thread.
    void setStatusHook(std::function<void(boost::json::object &)> hook);

    boost::asio::awaitable<void> handle(Http::ServerExchange &exchange);

private:
    boost::json::object status() const;
    /// Returns the terms of the placement's decision for a request {"team","model","prompt"}.
    boost::json::object explain(const std::string &body) const;

    Instance &m_instance;
    std::function<boost::asio::awaitable<boost::json::object>()> m_usageHook;
    std::function<void(boost::json::object &)> m_statusHook;
};

} // namespace Router
