#include <LibPlatform/HttpInstanceDirectory.h>

#include <boost/json.hpp>

namespace Platform {

HttpInstanceDirectory::HttpInstanceDirectory(const Http::Endpoint &endpoint,
                                             std::chrono::milliseconds limit)
    : m_client(endpoint, limit)
{ }

boost::asio::awaitable<InstanceList> HttpInstanceDirectory::list()
{
    const auto answer = co_await m_client.call(Http::Request("GET", "/instances"), {});
    co_return parseInstanceList(boost::json::serialize(answer)).value();
}

} // namespace Platform
