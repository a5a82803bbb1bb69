#pragma once

#include <LibHttp/Headers.h>

#include <optional>
#include <string>

namespace Http {

/// Returns why the end of a request is not certain, so that bytes of its body could be taken for
/// another request (RFC 9112, section 6), or nothing if it is. The only supported transfer coding
/// is chunked.
std::optional<std::string> requestFramingFault(const Headers &headers, unsigned version);

/// Returns why the body of a response cannot be read as its server meant it, or nothing: a transfer
/// coding other than chunked would be dropped, and the end of such a body is not certain. The
/// caller has to check the Content-Length. A response with neither ends with its connection.
std::optional<std::string> responseFramingFault(const Headers &headers, unsigned version);

} // namespace Http
