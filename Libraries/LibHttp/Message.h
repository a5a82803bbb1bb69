#pragma once

#include <LibHttp/Headers.h>

#include <string>
#include <utility>

namespace Http {

// Both types have constructors because GCC 12 destroys aggregate temporaries in a co_await
// expression twice.

/// A complete request.
struct Request
{
    Request() = default;
    Request(std::string method, std::string target, Headers headers = {}, std::string body = {})
        : method(std::move(method))
        , target(std::move(target))
        , headers(std::move(headers))
        , body(std::move(body))
    { }

    std::string method = "GET";
    /// Path and query, as sent.
    std::string target = "/";
    Headers headers;
    std::string body;
};

/// A complete response.
struct Response
{
    Response() = default;
    Response(unsigned status, Headers headers, std::string body)
        : status(status)
        , headers(std::move(headers))
        , body(std::move(body))
    { }

    unsigned status = 200;
    Headers headers;
    std::string body;
};

} // namespace Http
