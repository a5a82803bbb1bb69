#pragma once

#include <LibCore/Result.h>

#include <string>
#include <string_view>

namespace Core {

/// The base64 text of the bytes, padded.
std::string encodeBase64(std::string_view bytes);

/// The bytes of a padded base64 text. Fails with MalformedRequest when it is not valid.
Result<std::string> decodeBase64(std::string_view text);

} // namespace Core
