#pragma once

#include <LibConfiguration/ConfigurationRecord.h>
#include <LibConfiguration/Document.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace Configuration {

/// One accepted document and its generation.
struct ConfigurationVersion
{
    Generation generation = 0;
    /// The SHA-256 of the bytes, in hexadecimal.
    std::string digest;
    std::string bytes;
    /// Null for generation 0 only.
    std::shared_ptr<const Document> document;
    /// Empty when the version comes from a renewal or a sibling.
    std::string publisher;
    std::optional<PromotionSource> promotedFrom;
    /// When the log stored the publication or renewal, by the log's clock.
    std::chrono::system_clock::time_point recordedAt;
};

using ConfigurationVersionPointer = std::shared_ptr<const ConfigurationVersion>;

} // namespace Configuration
