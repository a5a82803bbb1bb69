#pragma once

#include <LibHttp/Headers.h>

#include <optional>
#include <string>

namespace Http {

/// Returns why the end of a request is not certain, so that bytes of its body could be taken for
/// another request (RFC 9112, section 6), or nothing if it is. The only supported transfer coding
/// is chunked.
std::optional<std::string> framingFault(const Headers &headers, unsigned version);

} // namespace Http
