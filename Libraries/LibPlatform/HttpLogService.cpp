#include <LibCore/Base64.h>
#include <LibCore/Error.h>
#include <LibPlatform/HttpLogService.h>

#include <boost/json.hpp>

namespace Platform {

namespace {

LogPage parsePage(const boost::json::value &answer)
{
    LogPage page;
    const auto &fields = answer.as_object();
    page.first = fields.at("first").to_number<LogOffset>();
    page.next = fields.at("next").to_number<LogOffset>();
    for (const auto &entry : fields.at("records").as_array()) {
        const auto &record = entry.as_object();
        const std::chrono::milliseconds time(record.at("time_ms").to_number<std::int64_t>());
        page.records.push_back({record.at("offset").to_number<LogOffset>(),
                                std::chrono::system_clock::time_point(time),
                                Core::decodeBase64(record.at("data").as_string()).value()});
    }
    return page;
}

} // namespace

HttpLogService::HttpLogService(const Http::Endpoint &endpoint, std::chrono::milliseconds limit)
    : m_client(endpoint, limit)
{ }

boost::asio::awaitable<LogOffset> HttpLogService::append(std::string stream, std::string data)
{
    Http::Request request("POST", "/log/" + stream + "/append", {}, std::move(data));
    request.headers.add("Content-Type", "application/octet-stream");
    const auto answer = co_await m_client.call(std::move(request), {});
    try {
        co_return answer.as_object().at("offset").to_number<LogOffset>();
    } catch (const std::exception &fault) {
        throw Core::Error(Core::ErrorKind::PlatformUnavailable, fault.what());
    }
}

boost::asio::awaitable<LogPage> HttpLogService::read(std::string stream, LogOffset from,
                                                     std::size_t limit,
                                                     std::chrono::milliseconds wait)
{
    Http::Request request("GET", "/log/" + stream + "/read?from=" + std::to_string(from)
                                     + "&limit=" + std::to_string(limit)
                                     + "&wait_ms=" + std::to_string(wait.count()));
    const auto answer = co_await m_client.call(std::move(request), wait);
    try {
        co_return parsePage(answer);
    } catch (const std::exception &fault) {
        throw Core::Error(Core::ErrorKind::PlatformUnavailable, fault.what());
    }
}

} // namespace Platform
