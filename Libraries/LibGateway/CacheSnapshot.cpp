#include <LibCore/EventLog.h>
#include <LibCore/Hash.h>
#include <LibGateway/CacheSnapshot.h>
#include <LibGateway/FleetMessages_generated.h>

#include <algorithm>
#include <string>
#include <vector>

namespace Gateway {

namespace {

// A record of the log holds about 10,000 parts. The limit is divided equally between the engines
// and stores, and the most recently used parts of each are written.
constexpr std::size_t MaxParts = 9'000;

std::uint64_t stateHashOf(const Upstream &engine)
{
    auto state = std::to_string(engine.report().startTime.count());
    for (const auto &[model, version] : engine.report().weights)
        state += '/' + model + '=' + std::to_string(version);
    return Core::hash64(state);
}

flatbuffers::Offset<Wire::HolderBeliefs> encodeHolder(flatbuffers::FlatBufferBuilder &builder,
                                                      std::uint64_t holder, std::uint64_t state,
                                                      const std::vector<PromptPart> &parts)
{
    std::vector<Wire::PartEntry> entries;
    entries.reserve(parts.size());
    for (const auto &part : parts)
        entries.emplace_back(part.prefixHash, part.tokens);
    return Wire::CreateHolderBeliefsDirect(builder, holder, state, &entries);
}

std::vector<PromptPart> partsOf(const Wire::HolderBeliefs &holder)
{
    std::vector<PromptPart> parts;
    if (!holder.parts())
        return parts;
    parts.reserve(holder.parts()->size());
    for (const auto *entry : *holder.parts())
        parts.push_back({entry->chain(), entry->tokens()});
    return parts;
}

} // namespace

std::string encodeCacheSnapshot(const UpstreamFleet &fleet, const KvCacheStores &stores)
{
    const auto partsPerHolder =
        MaxParts / std::max<std::size_t>(1, fleet.all().size() + stores.all().size());
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<Wire::HolderBeliefs>> holders;
    for (const auto &[id, engine] : fleet.all()) {
        const auto parts = engine->prefixCache().newest(partsPerHolder);
        if (!parts.empty())
            holders.push_back(
                encodeHolder(builder, UpstreamFleet::hashOf(id), stateHashOf(*engine), parts));
    }
    for (const auto &[holder, store] : stores.all()) {
        const auto parts = store.prefixCache().newest(partsPerHolder);
        if (!parts.empty() && store.epoch())
            holders.push_back(encodeHolder(builder, holder, *store.epoch(), parts));
    }
    if (holders.empty())
        return {};
    builder.Finish(Wire::CreateBeliefsDirect(builder, &holders));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

std::size_t applyCacheSnapshot(std::string_view bytes, const UpstreamFleet &fleet,
                               KvCacheStores &stores)
{
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!verifier.VerifyBuffer<Wire::Beliefs>(nullptr)) {
        Core::logEvent(Core::EventId::LogRecordInvalid, {{"log", "beliefs"}});
        return 0;
    }
    const auto *snapshot = flatbuffers::GetRoot<Wire::Beliefs>(data);
    if (!snapshot->holders())
        return 0;
    std::size_t applied = 0;
    for (const auto *holder : *snapshot->holders()) {
        const auto parts = partsOf(*holder);
        const auto engine = fleet.findByHash(holder->holder());
        auto *store = stores.find(holder->holder());
        if (engine && stateHashOf(*engine) == holder->state()) {
            for (const auto &part : parts)
                engine->noteCached(std::span(&part, 1));
            applied += parts.size();
        } else if (store && store->epoch() == holder->state()) {
            store->noteStored(parts);
            applied += parts.size();
        }
    }
    return applied;
}

} // namespace Gateway
