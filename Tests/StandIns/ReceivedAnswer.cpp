#include "ReceivedAnswer.h"

namespace StandIns {

std::string ReceivedAnswer::header(std::string_view name) const
{
    return std::string(response.headers.find(name).value_or(std::string_view()));
}

boost::asio::awaitable<ReceivedAnswer> receiveAnswer(Http::Client &client, Http::Endpoint server,
                                                     Http::Request request)
{
    ReceivedAnswer received;
    try {
        const Http::ClientTimeouts timeouts;
        auto answer = co_await client.open(std::move(server), std::move(request), timeouts);
        received.response.status = answer->status();
        received.response.headers = answer->headers();
        while (auto chunk = co_await answer->readSome())
            received.response.body += *chunk;
    } catch (const Core::Error &error) {
        received.failure = error;
    }
    co_return received;
}

} // namespace StandIns
