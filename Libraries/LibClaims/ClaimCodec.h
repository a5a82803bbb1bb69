#pragma once

#include <LibClaims/ClaimRecord.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Claims {

/// The bytes of one append: a FlatBuffers Batch.
std::string encodeBatch(std::span<const ClaimRecord> records);

/// The records of one append. Empty when the bytes do not verify or hold an impossible record: the
/// whole append is then passed over by every reader alike.
std::optional<std::vector<ClaimRecord>> decodeBatch(std::string_view bytes);

} // namespace Claims
