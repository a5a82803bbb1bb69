#include <LibHttp/Endpoint.h>
#include <LibHttp/Headers.h>

#include <catch2/catch.hpp>

TEST_CASE("endpoints are numeric addresses with a port")
{
    CHECK(Http::formatEndpoint(Http::parseEndpoint("127.0.0.1:80").value()) == "127.0.0.1:80");
    CHECK(Http::formatEndpoint(Http::parseEndpoint("[::1]:80").value()) == "[::1]:80");
    for (const auto *text :
         {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", "host:80", "1.2.3.4:70000"})
        CHECK_FALSE(Http::parseEndpoint(text).has_value());
}

TEST_CASE("header names are case-insensitive")
{
    Http::Headers headers {{"Content-Type", "a"}};
    headers.add("content-type", "b");
    CHECK(headers.find("CONTENT-TYPE") == "a");
    headers.remove("content-Type");
    CHECK_FALSE(headers.find("Content-Type"));
}
