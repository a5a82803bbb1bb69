#include <LibHttp/Endpoint.h>

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <cstdint>

namespace Http {

namespace {

Core::Error badEndpoint(std::string_view text)
{
    return Core::Error(Core::ErrorKind::SettingsInvalid,
                       "not an address and port: '" + std::string(text) + "'");
}

} // namespace

Core::Result<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return badEndpoint(text);
    auto host = text.substr(0, colon);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    // The address would end there for make_address().
    if (host.find('\0') != std::string_view::npos)
        return badEndpoint(text);
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, fault] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (fault != std::errc {} || end != digits.data() + digits.size() || digits.empty())
        return badEndpoint(text);
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(std::string(host), ec);
    if (ec)
        return badEndpoint(text);
    return Endpoint(address, port);
}

std::string formatEndpoint(const Endpoint &endpoint)
{
    const auto host = endpoint.address().to_string();
    const auto port = std::to_string(endpoint.port());
    return endpoint.address().is_v6() ? "[" + host + "]:" + port : host + ":" + port;
}

} // namespace Http
