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
    /// The limit applies to one call, in addition to the time that the platform is asked to wait.
    PlatformClient(Http::Endpoint endpoint, std::chrono::milliseconds limit);

    /// Sends the request and returns the JSON body of a response with status 200.
    boost::asio::awaitable<boost::json::value> call(Http::Request request,
                                                    std::chrono::milliseconds wait);

private:
    Http::Endpoint m_endpoint;
    std::chrono::milliseconds m_limit;
    Http::Client m_client;
};

} // namespace Platform
