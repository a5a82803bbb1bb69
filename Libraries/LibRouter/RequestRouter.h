#pragma once

#include <LibHttp/ServerExchange.h>
#include <LibRouter/Instance.h>

#include <boost/asio/awaitable.hpp>

namespace Router {

/// Handles requests to the callers' port: authenticates the caller, determines the route and
/// dispatches the request.
class RequestRouter
{
public:
    explicit RequestRouter(Instance &instance);

    boost::asio::awaitable<void> handle(Http::ServerExchange &exchange);

private:
    boost::asio::awaitable<void> route(Http::ServerExchange &exchange);
    boost::asio::awaitable<void> complete(Http::ServerExchange &exchange, bool chat);
    boost::asio::awaitable<void> listModels(Http::ServerExchange &exchange);
    boost::asio::awaitable<void> callService(Http::ServerExchange &exchange);
    void refuseWhenDraining() const;

    Instance &m_instance;
};

} // namespace Router
