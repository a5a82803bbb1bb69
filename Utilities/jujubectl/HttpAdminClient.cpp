#include <LibCore/Error.h>

#include <boost/json/parse.hpp>
#include <jujubectl/HttpAdminClient.h>

#include <utility>

namespace Jujubectl {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr unsigned StatusOk = 200;

json::value parseAnswer(const Http::Response &response)
{
    boost::system::error_code ec;
    auto value = json::parse(response.body, ec);
    if (response.status != StatusOk)
        throw Core::Error(Core::ErrorKind::UpstreamFailed,
                          "status " + std::to_string(response.status) + ": " + response.body);
    if (ec)
        throw Core::Error(Core::ErrorKind::UpstreamAnswerMalformed, "the answer is not JSON");
    return value;
}

} // namespace

HttpAdminClient::HttpAdminClient(std::chrono::milliseconds limit)
    : m_timeouts {.connect = limit, .head = limit, .body = limit}
{ }

asio::awaitable<json::value> HttpAdminClient::get(Http::Endpoint admin, std::string path)
{
    Http::Request request("GET", std::move(path));
    co_return co_await call(admin, std::move(request));
}

asio::awaitable<json::value> HttpAdminClient::post(Http::Endpoint admin, std::string path,
                                                   std::string body)
{
    Http::Request request("POST", std::move(path), {}, std::move(body));
    request.headers.add("Content-Type", "application/json");
    co_return co_await call(admin, std::move(request));
}

asio::awaitable<json::value> HttpAdminClient::call(Http::Endpoint admin, Http::Request request)
{
    const auto response = co_await m_client.fetch(admin, std::move(request), m_timeouts);
    co_return parseAnswer(response);
}

} // namespace Jujubectl
