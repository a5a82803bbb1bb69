#pragma once

#include <LibHttp/Client.h>

#include <jujubectl/AdminClient.h>

#include <chrono>

namespace Jujubectl {

/// The admin client over HTTP.
class HttpAdminClient final : public AdminClient
{
public:
    /// The time limit applies to each call separately.
    explicit HttpAdminClient(std::chrono::milliseconds limit);

    boost::asio::awaitable<boost::json::value> get(Http::Endpoint admin, std::string path) override;
    boost::asio::awaitable<boost::json::value> post(Http::Endpoint admin, std::string path,
                                                    std::string body) override;

private:
    boost::asio::awaitable<boost::json::value> call(Http::Endpoint admin, Http::Request request);

    Http::ClientTimeouts m_timeouts;
    Http::Client m_client;
};

} // namespace Jujubectl
