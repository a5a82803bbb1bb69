#pragma once

#include <LibHttp/Endpoint.h>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <string>

namespace Jujubectl {

/// Calls the admin ports of instances. Every call throws Core::Error if the instance does not
/// answer or refuses the call; the detail contains the reason.
class AdminClient
{
public:
    virtual ~AdminClient() = default;
    virtual boost::asio::awaitable<boost::json::value> get(Http::Endpoint admin,
                                                           std::string path) = 0;
    virtual boost::asio::awaitable<boost::json::value> post(Http::Endpoint admin, std::string path,
                                                            std::string body) = 0;
};

} // namespace Jujubectl
