#include <LibCore/Error.h>
#include <LibPlatform/PlatformClient.h>

#include <boost/json.hpp>

namespace Platform {

namespace {
constexpr unsigned StatusOk = 200;
}

PlatformClient::PlatformClient(Http::Endpoint endpoint, std::chrono::milliseconds limit)
    : m_endpoint(std::move(endpoint))
    , m_limit(limit)
{ }

boost::asio::awaitable<boost::json::value> PlatformClient::call(Http::Request request,
                                                                std::chrono::milliseconds wait)
{
    Http::ClientTimeouts timeouts;
    timeouts.connect = m_limit;
    timeouts.head = m_limit + wait;
    timeouts.body = m_limit;
    try {
        // Reusing a connection is safe even for appends, because readers ignore duplicate records.
        const auto response = co_await m_client.fetch(m_endpoint, std::move(request), timeouts);
        if (response.status != StatusOk)
            throw Core::Error(Core::ErrorKind::PlatformUnavailable,
                              "the platform answered " + std::to_string(response.status));
        co_return boost::json::parse(response.body);
    } catch (const Core::Error &error) {
        throw Core::Error(Core::ErrorKind::PlatformUnavailable, error.what());
    } catch (const boost::system::system_error &fault) {
        throw Core::Error(Core::ErrorKind::PlatformUnavailable, fault.what());
    }
}

} // namespace Platform
