#pragma once

#include <LibClaims/ClaimRecord.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Claims {

/// Serializes the records of one append as a FlatBuffers Batch.
std::string encodeBatch(std::span<const ClaimRecord> records);

/// Deserializes the records of one append. Returns nullopt if the bytes fail verification or
/// contain an invalid record; every reader then skips the whole append, so that all readers agree.
std::optional<std::vector<ClaimRecord>> decodeBatch(std::string_view bytes);

} // namespace Claims
