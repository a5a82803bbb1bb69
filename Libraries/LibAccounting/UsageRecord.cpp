#include <LibAccounting/UsageRecord.h>
#include <LibAccounting/UsageRecord_generated.h>

namespace Accounting {

namespace {

std::int64_t microsecondsOf(Core::Clock::Wall time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
}

Core::Clock::Wall wallTime(std::int64_t microseconds)
{
    return Core::Clock::Wall(std::chrono::duration_cast<Core::Clock::Wall::duration>(
        std::chrono::microseconds(microseconds)));
}

flatbuffers::Offset<Wire::UsageRecord> write(flatbuffers::FlatBufferBuilder &builder,
                                             const UsageRecord &record)
{
    std::vector<flatbuffers::Offset<Wire::TeamUse>> uses;
    uses.reserve(record.uses.size());
    for (const auto &use : record.uses) {
        uses.push_back(Wire::CreateTeamUse(builder, builder.CreateSharedString(use.team.value()),
                                           use.slots, use.tokens.computed, use.tokens.cached,
                                           use.tokens.generated));
    }
    const auto group = builder.CreateSharedString(record.group.value());
    return Wire::CreateUsageRecord(builder, record.sequence, group, record.generation,
                                   microsecondsOf(record.start),
                                   static_cast<std::uint64_t>(record.length.count()),
                                   record.capacity, builder.CreateVector(uses));
}

UsageRecord read(const Wire::UsageRecord &wire)
{
    UsageRecord record {.sequence = wire.sequence(),
                        .group = Core::UpstreamGroupId(wire.group()->str()),
                        .generation = wire.generation(),
                        .start = wallTime(wire.start_us()),
                        .length = std::chrono::microseconds(wire.length_us()),
                        .capacity = wire.capacity_slot_us(),
                        .uses = {}};
    if (wire.uses() == nullptr)
        return record;
    for (const auto *use : *wire.uses()) {
        record.uses.push_back({Core::TeamId(use->team()->str()),
                               use->slot_us(),
                               {use->computed(), use->cached(), use->generated()}});
    }
    return record;
}

} // namespace

std::string encode(const UsageBatch &batch)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<Wire::UsageRecord>> records;
    records.reserve(batch.records.size());
    for (const auto &record : batch.records)
        records.push_back(write(builder, record));
    const auto instance = builder.CreateString(batch.instance.value());
    Wire::FinishUsageBatchBuffer(builder, Wire::CreateUsageBatch(builder, instance,
                                                                 batch.incarnation, batch.isLast,
                                                                 builder.CreateVector(records)));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

Core::Result<UsageBatch> decodeUsageBatch(std::string_view bytes)
{
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!Wire::VerifyUsageBatchBuffer(verifier))
        return Core::Error(Core::ErrorKind::FrameInvalid,
                           "the bytes are not a valid batch of usage records");
    const auto *wire = Wire::GetUsageBatch(data);
    UsageBatch batch {.instance = Core::InstanceId(wire->instance()->str()),
                      .incarnation = wire->incarnation(),
                      .isLast = wire->is_last(),
                      .records = {}};
    if (wire->records() == nullptr)
        return batch;
    for (const auto *record : *wire->records())
        batch.records.push_back(read(*record));
    return batch;
}

} // namespace Accounting
