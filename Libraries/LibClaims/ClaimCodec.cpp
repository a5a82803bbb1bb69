#include <LibClaims/ClaimBatch_generated.h>
#include <LibClaims/ClaimCodec.h>

#include <flatbuffers/flatbuffers.h>

namespace Claims {

namespace {

std::int64_t wireTime(IssueTime time)
{
    return time.time_since_epoch().count();
}

flatbuffers::Offset<Wire::Record> encode(flatbuffers::FlatBufferBuilder &builder,
                                         const ClaimRecord &record)
{
    const auto team = builder.CreateSharedString(record.key.team.value());
    const auto key = builder.CreateString(record.key.text);
    const auto instance = builder.CreateSharedString(record.holder.instance.value());
    return Wire::CreateRecord(builder, static_cast<std::uint8_t>(record.kind), team, key,
                              wireTime(record.key.issuedAt), record.digest, record.attempt.origin,
                              record.attempt.sequence, instance, record.holder.incarnation);
}

std::optional<ClaimRecord> decode(const Wire::Record &record)
{
    const auto kind = static_cast<RecordKind>(record.kind());
    if (kind < RecordKind::Claim || kind > RecordKind::Finished)
        return std::nullopt;
    if (record.key()->size() == 0 || record.key()->size() > MaxKeyBytes)
        return std::nullopt;
    const IssueTime issuedAt {std::chrono::milliseconds(record.issued_at_ms())};
    return ClaimRecord {
        kind,
        {Core::TeamId(record.team()->str()), record.key()->str(), issuedAt},
        record.digest(),
        {record.origin(), record.sequence()},
        {Core::InstanceId(record.instance()->str()), record.incarnation()},
    };
}

} // namespace

std::string encodeBatch(std::span<const ClaimRecord> records)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<Wire::Record>> offsets;
    offsets.reserve(records.size());
    for (const auto &it : records)
        offsets.push_back(encode(builder, it));
    Wire::FinishBatchBuffer(builder, Wire::CreateBatch(builder, builder.CreateVector(offsets)));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

std::optional<std::vector<ClaimRecord>> decodeBatch(std::string_view bytes)
{
    // FlatBuffers reads scalars in place and requires an aligned buffer, so the bytes are copied.
    const std::vector<std::uint8_t> buf(bytes.begin(), bytes.end());
    flatbuffers::Verifier verifier(buf.data(), buf.size());
    if (!Wire::VerifyBatchBuffer(verifier))
        return std::nullopt;
    std::vector<ClaimRecord> records;
    for (const auto *it : *Wire::GetBatch(buf.data())->records()) {
        auto record = decode(*it);
        if (!record)
            return std::nullopt;
        records.push_back(std::move(*record));
    }
    return records;
}

} // namespace Claims
