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

/// The place of a generation in the order of publications. 0 stands before the first document.
using Generation = std::uint64_t;

/// Where a promoted document was accepted before.
struct PromotionSource
{
    std::string environment;
    Generation generation = 0;
    std::string digest;
};

/// A document offered in place of the one of a generation.
struct Publication
{
    Generation replaces = 0;
    /// Unique; the same publication appended twice carries the same one.
    std::string publicationId;
    /// Who published, for people.
    std::string publisher;
    /// The SHA-256 of the whole document, in hexadecimal.
    std::string digest;
    std::optional<PromotionSource> promotedFrom;
    /// Makes the document out of the replaced one.
    Splice change;
};

/// A whole copy of the document that was in force before the record at offset foldedTo. It keeps
/// the document readable when retention has dropped the records that led to it.
struct Renewal
{
    Generation generation = 0;
    std::string digest;
    Platform::LogOffset foldedTo = 0;
    std::string renewer;
    std::string document;
};

using ConfigurationRecord = std::variant<Publication, Renewal>;

/// The stream that holds an environment's configuration.
std::string configurationStream(std::string_view environment);

/// The bytes of one log record.
std::string encodeRecord(std::string_view environment, const ConfigurationRecord &record);

/// Reads one log record. Fails with FrameInvalid for bytes that do not verify, lack a field or
/// belong to another environment.
Core::Result<ConfigurationRecord> decodeRecord(std::string_view environment,
                                               std::string_view bytes);

} // namespace Configuration
