#pragma once

#include <LibHttp/ServerExchange.h>
#include <LibRouter/CallContext.h>

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Router {

/// The part of a target that names a plain service's path: "/services/NAME/rest?query".
struct ServiceTarget
{
    std::string name;
    /// Path and query for the upstream, from the slash after the name on.
    std::string rest;

    /// Throws Error(UnknownRoute).
    static ServiceTarget parse(std::string_view target);
    std::string_view path() const;
};

/// Passes a call on to a plain service.
class ServiceRelay
{
public:
    ServiceRelay(Instance &instance, Http::ServerExchange &exchange, CallContext context,
                 const Configuration::PlainService &service, ServiceTarget target);

    /// Sends an idempotent call, to another upstream after a failure.
    boost::asio::awaitable<void> runIdempotent();

private:
    UpstreamPtr choose(const std::vector<UpstreamPtr> &tried) const;
    Http::Request upstreamRequest() const;
    boost::asio::awaitable<Http::Response> send(UpstreamPtr upstream, Http::ConnectionUse use);

    Instance &m_instance;
    Http::ServerExchange &m_exchange;
    CallContext m_context;
    const Configuration::PlainService &m_service;
    ServiceTarget m_target;
};

} // namespace Router
