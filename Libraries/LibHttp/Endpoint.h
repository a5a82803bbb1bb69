#pragma once

#include <LibCore/Result.h>

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace Http {

using Endpoint = boost::asio::ip::tcp::endpoint;

/// Parses "ADDRESS:PORT" with a numeric IPv4 address, or "[ADDRESS]:PORT" with an IPv6 one.
/// Fails with SettingsInvalid.
Core::Result<Endpoint> parseEndpoint(std::string_view text);

/// Formats an endpoint as parseEndpoint() expects it.
std::string formatEndpoint(const Endpoint &endpoint);

} // namespace Http
