#include <LibConfiguration/ConfigurationRecord.h>
#include <LibConfiguration/ConfigurationRecord_generated.h>

#include <utility>

namespace Configuration {

namespace {

Core::Error invalid(const char *detail)
{
    return Core::Error(Core::ErrorKind::FrameInvalid, detail);
}

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>>
writeBytes(flatbuffers::FlatBufferBuilder &builder, const std::string &bytes)
{
    return builder.CreateVector(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
}

flatbuffers::Offset<void> writeContent(flatbuffers::FlatBufferBuilder &builder,
                                       const Publication &record)
{
    flatbuffers::Offset<Wire::PromotionSource> source;
    if (record.promotedFrom)
        source = Wire::CreatePromotionSource(
            builder, builder.CreateString(record.promotedFrom->environment),
            record.promotedFrom->generation, builder.CreateString(record.promotedFrom->digest));
    const auto id = builder.CreateString(record.publicationId);
    const auto publisher = builder.CreateString(record.publisher);
    const auto digest = builder.CreateString(record.digest);
    const auto middle = writeBytes(builder, record.change.middle);
    return Wire::CreatePublication(builder, record.replaces, id, publisher, digest, source,
                                   record.change.prefixBytes, record.change.suffixBytes, middle)
        .Union();
}

flatbuffers::Offset<void> writeContent(flatbuffers::FlatBufferBuilder &builder,
                                       const Renewal &record)
{
    const auto digest = builder.CreateString(record.digest);
    const auto renewer = builder.CreateString(record.renewer);
    const auto document = writeBytes(builder, record.document);
    return Wire::CreateRenewal(builder, record.generation, digest, record.foldedTo, renewer,
                               document)
        .Union();
}

std::string toString(const flatbuffers::String *text)
{
    return text ? text->str() : std::string();
}

std::string toString(const flatbuffers::Vector<std::uint8_t> &bytes)
{
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

Core::Result<ConfigurationRecord> readPublication(const Wire::Publication &wire)
{
    if (!wire.publication_id() || !wire.digest() || !wire.middle())
        return invalid("a publication lacks a field");
    Publication record {
        .replaces = wire.replaces(),
        .publicationId = toString(wire.publication_id()),
        .publisher = toString(wire.publisher()),
        .digest = toString(wire.digest()),
        .change = {wire.prefix_bytes(), wire.suffix_bytes(), toString(*wire.middle())},
    };
    if (const auto *source = wire.promoted_from())
        record.promotedFrom = {toString(source->environment()), source->generation(),
                               toString(source->digest())};
    return ConfigurationRecord(std::move(record));
}

Core::Result<ConfigurationRecord> readRenewal(const Wire::Renewal &wire)
{
    if (!wire.digest() || !wire.document())
        return invalid("a renewal lacks a field");
    return ConfigurationRecord(Renewal {
        .generation = wire.generation(),
        .digest = toString(wire.digest()),
        .foldedTo = wire.folded_to(),
        .renewer = toString(wire.renewer()),
        .document = toString(*wire.document()),
    });
}

} // namespace

std::string configurationStream(std::string_view environment)
{
    return "configuration." + std::string(environment);
}

std::string encodeRecord(std::string_view environment, const ConfigurationRecord &record)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto name = builder.CreateString(environment.data(), environment.size());
    const auto type = std::holds_alternative<Publication>(record) ? Wire::Content::Publication
                                                                  : Wire::Content::Renewal;
    const auto content =
        std::visit([&](const auto &it) { return writeContent(builder, it); }, record);
    Wire::FinishRecordBuffer(builder, Wire::CreateRecord(builder, name, type, content));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

Core::Result<ConfigurationRecord> decodeRecord(std::string_view environment, std::string_view bytes)
{
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!Wire::VerifyRecordBuffer(verifier))
        return invalid("a configuration record fails verification");
    const auto *record = Wire::GetRecord(data);
    if (toString(record->environment()) != environment)
        return invalid("a configuration record belongs to another environment");
    if (const auto *publication = record->content_as_Publication())
        return readPublication(*publication);
    if (const auto *renewal = record->content_as_Renewal())
        return readRenewal(*renewal);
    return invalid("a configuration record has no known content");
}

} // namespace Configuration
