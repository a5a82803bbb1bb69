#pragma once

#include <LibCore/Result.h>

#include <string>
#include <string_view>

namespace Core {

/// Encodes the bytes as padded base64.
std::string encodeBase64(std::string_view bytes);

/// Decodes padded base64. Fails with MalformedRequest when the text is not valid.
Result<std::string> decodeBase64(std::string_view text);

} // namespace Core
