#include <LibCore/Hash.h>
#include <LibMembership/SharedItem.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace Membership {

using Peer::Wire::SharedRecord;
using namespace std::chrono_literals;

namespace {

// Indices of the variant's alternatives, which are also the kind values on the wire.
enum Kind : std::uint8_t {
    ConfigurationKind,
    PoisonKind,
    UpstreamKind,
    DemandKind,
    PrefixKind,
    LoadKind,
};

constexpr std::array<std::chrono::milliseconds, 6> Lifetimes {24h, 10min, 10s, 5s, 1min, 3s};

struct KeyMaker
{
    SharedKey operator()(const ConfigurationGeneration &) const
    {
        return {ConfigurationKind, 0, 0, 0};
    }
    SharedKey operator()(const PoisonCrash &item) const
    {
        return {PoisonKind, item.requestDigest, item.crash, 0};
    }
    SharedKey operator()(const UpstreamHealth &item) const
    {
        return {UpstreamKind, item.upstream, item.incarnation, 0};
    }
    SharedKey operator()(const TeamDemand &item) const
    {
        return {DemandKind, item.team, item.group, item.origin};
    }
    SharedKey operator()(const PrefixLocation &item) const
    {
        return {PrefixKind, item.prefix, item.upstream, 0};
    }
    SharedKey operator()(const UpstreamLoad &item) const
    {
        return {LoadKind, item.upstream, 0, item.origin};
    }
};

/// The two fields of an item that are not part of its key.
struct ItemPayload
{
    std::uint32_t first = 0;
    std::uint32_t second = 0;
};

struct PayloadMaker
{
    ItemPayload operator()(const ConfigurationGeneration &item) const
    {
        return {item.generation, 0};
    }
    ItemPayload operator()(const PoisonCrash &) const { return {}; }
    ItemPayload operator()(const UpstreamHealth &item) const
    {
        return {static_cast<std::uint32_t>(item.condition), 0};
    }
    ItemPayload operator()(const TeamDemand &item) const { return {item.inUse, item.waiting}; }
    ItemPayload operator()(const PrefixLocation &item) const
    {
        return {item.requestsPerMinute, item.incarnation};
    }
    ItemPayload operator()(const UpstreamLoad &item) const { return {item.outstanding, 0}; }
};

// A configuration generation, a crash or an upstream's condition takes priority over any request
// rate or load.
constexpr double ConfigurationValue = 1e6;
constexpr double PoisonValue = 1e5;
constexpr double UpstreamValue = 1e5;

struct ValueMaker
{
    double operator()(const ConfigurationGeneration &) const { return ConfigurationValue; }
    double operator()(const PoisonCrash &) const { return PoisonValue; }
    double operator()(const UpstreamHealth &) const { return UpstreamValue; }
    double operator()(const TeamDemand &item) const { return 1.0 + item.inUse + item.waiting; }
    double operator()(const PrefixLocation &item) const { return item.requestsPerMinute; }
    double operator()(const UpstreamLoad &item) const
    {
        return std::sqrt(static_cast<double>(item.outstanding));
    }
};

// A prefix is published again when its observed request rate is at least this many times the known
// one.
constexpr std::uint32_t RequestRateFactor = 2;

/// Returns whether a count changed by more than a quarter and by more than one.
bool changedSignificantly(std::uint32_t before, std::uint32_t after)
{
    const auto distance = std::max(before, after) - std::min(before, after);
    return distance > std::max<std::uint32_t>(1, before / 4);
}

/// Returns whether the observed item is a significant update of a known item with the same key.
struct UpdateComparator
{
    const SharedItem &observed;

    bool operator()(const ConfigurationGeneration &known) const
    {
        return std::get<ConfigurationGeneration>(observed).generation > known.generation;
    }
    bool operator()(const PoisonCrash &) const { return false; }
    bool operator()(const UpstreamHealth &known) const
    {
        return std::get<UpstreamHealth>(observed).condition < known.condition;
    }
    bool operator()(const TeamDemand &known) const
    {
        const auto &now = std::get<TeamDemand>(observed);
        return changedSignificantly(known.inUse, now.inUse)
               || changedSignificantly(known.waiting, now.waiting);
    }
    bool operator()(const PrefixLocation &known) const
    {
        const auto &now = std::get<PrefixLocation>(observed);
        return now.incarnation != known.incarnation
               || now.requestsPerMinute / RequestRateFactor >= known.requestsPerMinute;
    }
    bool operator()(const UpstreamLoad &known) const
    {
        return changedSignificantly(known.outstanding,
                                    std::get<UpstreamLoad>(observed).outstanding);
    }
};

} // namespace

std::chrono::milliseconds lifetime(const SharedItem &item)
{
    return Lifetimes.at(item.index());
}

double defaultValue(const SharedItem &item)
{
    return std::visit(ValueMaker {}, item);
}

bool isSignificantUpdate(const SharedItem &known, const SharedItem &observed)
{
    return std::visit(UpdateComparator {observed}, known);
}

std::size_t SharedKeyHash::operator()(const SharedKey &key) const noexcept
{
    const std::array<std::uint64_t, 4> words {key.kind, key.subject, key.object, key.origin};
    return Core::hash64({reinterpret_cast<const char *>(words.data()), sizeof(words)});
}

SharedKey keyOf(const SharedItem &item)
{
    return std::visit(KeyMaker {}, item);
}

SharedRecord toWire(const SharedItem &item, std::uint32_t version, std::chrono::milliseconds age)
{
    const auto key = keyOf(item);
    const auto payload = std::visit(PayloadMaker {}, item);
    const auto *generation = std::get_if<ConfigurationGeneration>(&item);
    const auto object = generation != nullptr ? generation->digest : key.object;
    const auto ageCount = static_cast<std::uint32_t>(
        std::clamp<std::chrono::milliseconds::rep>(age.count(), 0, UINT32_MAX));
    return SharedRecord(key.subject, object, key.origin, version, payload.first, payload.second,
                        ageCount, static_cast<std::uint8_t>(key.kind));
}

std::optional<SharedItem> itemFromWire(const SharedRecord &record)
{
    switch (record.kind()) {
    case ConfigurationKind:
        return ConfigurationGeneration {record.first(), record.object()};
    case PoisonKind:
        return PoisonCrash {record.subject(), record.object()};
    case UpstreamKind:
        if (record.first() != static_cast<std::uint32_t>(UpstreamCondition::Leaving)
            && record.first() != static_cast<std::uint32_t>(UpstreamCondition::Failing))
            return std::nullopt;
        return UpstreamHealth {record.subject(), record.object(),
                               static_cast<UpstreamCondition>(record.first())};
    case DemandKind:
        return TeamDemand {record.subject(), record.object(), record.origin(), record.first(),
                           record.second()};
    case PrefixKind:
        return PrefixLocation {record.subject(), record.object(), record.second(), record.first()};
    case LoadKind:
        return UpstreamLoad {record.subject(), record.origin(), record.first()};
    default:
        return std::nullopt;
    }
}

} // namespace Membership
