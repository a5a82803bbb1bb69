#pragma once

#include <LibHttp/Client.h>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <chrono>
#include <string>

namespace Platform {

/// Calls the platform's HTTP interface; every failure becomes Error(PlatformUnavailable).
class PlatformClient
{
public:
    /// The limit holds for one call beyond the time that the call asks the platform to wait.
    PlatformClient(Http::Endpoint endpoint, std::chrono::milliseconds limit);

    /// Sends the request and returns the JSON answer of a 200.
    boost::asio::awaitable<boost::json::value> call(Http::Request request,
                                                    std::chrono::milliseconds wait);

private:
    Http::Endpoint m_endpoint;
    std::chrono::milliseconds m_limit;
    Http::Client m_client;
};

} // namespace Platform
