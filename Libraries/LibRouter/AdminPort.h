#pragma once

#include <LibHttp/ServerExchange.h>
#include <LibRouter/Instance.h>

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>

#include <functional>

namespace Router {

/// Answers the operators' port: health, readiness, metrics, status, drain and explain.
class AdminPort
{
public:
    explicit AdminPort(Instance &instance);

    /// Sets what gives the account of the environment.
    void setUsageHook(std::function<boost::asio::awaitable<boost::json::object>()> hook);
    /// Sets what adds further fields to the status. Called on the admin port's thread.
    void setStatusHook(std::function<void(boost::json::object &)> hook);

    boost::asio::awaitable<void> handle(Http::ServerExchange &exchange);

private:
    boost::json::object status() const;
    /// The placement's reasons for a request {"team","model","prompt"}.
    boost::json::object explain(const std::string &body) const;

    Instance &m_instance;
    std::function<boost::asio::awaitable<boost::json::object>()> m_usageHook;
    std::function<void(boost::json::object &)> m_statusHook;
};

} // namespace Router
