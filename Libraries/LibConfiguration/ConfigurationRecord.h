#pragma once

#include <LibConfiguration/Splice.h>
#include <LibCore/Result.h>
#include <LibPlatform/LogRecord.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Configuration {

/// The sequence number of an accepted document. 0 means that there is no document yet.
using Generation = std::uint64_t;

/// The environment and version that a promoted document comes from.
struct PromotionSource
{
    std::string environment;
    Generation generation = 0;
    std::string digest;
};

/// A document that is published to replace that of a generation.
struct Publication
{
    Generation replaces = 0;
    /// Unique per publication; a publication that is appended twice has the same id in both
    /// records.
    std::string publicationId;
    /// The name of the publisher, for display.
    std::string publisher;
    /// The SHA-256 of the whole document, in hexadecimal.
    std::string digest;
    std::optional<PromotionSource> promotedFrom;
    /// The change that produces the document from the replaced one.
    Splice change;
};

/// A complete copy of the document that was active before the record at offset foldedTo. It keeps
/// the document available after retention has dropped the records that produced it.
struct Renewal
{
    Generation generation = 0;
    std::string digest;
    Platform::LogOffset foldedTo = 0;
    std::string renewer;
    std::string document;
};

using ConfigurationRecord = std::variant<Publication, Renewal>;

/// Returns the name of the stream with an environment's configuration.
std::string configurationStream(std::string_view environment);

/// Encodes one log record.
std::string encodeRecord(std::string_view environment, const ConfigurationRecord &record);

/// Decodes one log record. Fails with FrameInvalid when the bytes fail verification, lack a field
/// or belong to another environment.
Core::Result<ConfigurationRecord> decodeRecord(std::string_view environment,
                                               std::string_view bytes);

} // namespace Configuration
