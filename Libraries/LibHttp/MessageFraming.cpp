#include <LibHttp/MessageFraming.h>

#include <algorithm>
#include <string_view>

namespace Http {

namespace {

constexpr unsigned FirstVersionWithTransferEncoding = 11;

std::size_t count(const Headers &headers, std::string_view name)
{
    return static_cast<std::size_t>(
        std::count_if(headers.begin(), headers.end(),
                      [name](const auto &field) { return equalIgnoringCase(field.name, name); }));
}

bool isNumber(std::string_view text)
{
    return !text.empty() && text.find_first_not_of("0123456789") == std::string_view::npos;
}

/// Returns why the Transfer-Encoding, if there is one, is not the supported one.
std::optional<std::string> transferCodingFault(const Headers &headers, unsigned version)
{
    const auto coding = headers.find("Transfer-Encoding");
    if (!coding)
        return std::nullopt;
    if (version < FirstVersionWithTransferEncoding)
        return "HTTP/1.0 has no Transfer-Encoding";
    if (count(headers, "Transfer-Encoding") > 1 || !equalIgnoringCase(*coding, "chunked"))
        return "the Transfer-Encoding is not chunked alone";
    return std::nullopt;
}

} // namespace

std::optional<std::string> requestFramingFault(const Headers &headers, unsigned version)
{
    const auto length = headers.find("Content-Length");
    if (count(headers, "Content-Length") > 1 || (length && !isNumber(*length)))
        return "the Content-Length is not a single number";
    if (count(headers, "Host") > 1)
        return "the request has several Host fields";
    if (length && headers.find("Transfer-Encoding"))
        return "the request has both a Content-Length and a Transfer-Encoding";
    return transferCodingFault(headers, version);
}

std::optional<std::string> responseFramingFault(const Headers &headers, unsigned version)
{
    return transferCodingFault(headers, version);
}

} // namespace Http
