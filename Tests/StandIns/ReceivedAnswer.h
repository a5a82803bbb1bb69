#pragma once

#include <LibCore/Error.h>
#include <LibHttp/Client.h>

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>

namespace StandIns {

/// What a client received of an answer.
struct ReceivedAnswer
{
    Http::Response response;
    /// Why the answer or the rest of it did not arrive; empty if it arrived whole.
    std::optional<Core::Error> failure;

    std::string header(std::string_view name) const;
};

/// Sends a request, and reads its answer until it ends or fails.
boost::asio::awaitable<ReceivedAnswer> receiveAnswer(Http::Client &client, Http::Endpoint server,
                                                     Http::Request request);

} // namespace StandIns
