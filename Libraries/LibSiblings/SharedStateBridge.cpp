#include <LibCore/EventLog.h>
#include <LibCore/Hash.h>
#include <LibSiblings/SharedStateBridge.h>

#include <algorithm>
#include <array>
#include <limits>

namespace Siblings {

namespace {

constexpr std::size_t MaxPublishedSuspects = 64;
constexpr std::size_t MaxPublishedPrefixes = 128;
constexpr std::size_t MaxPendingPrefixLocations = 8192;

/// Higher request rates are shared as this value.
constexpr float MaxRequestsPerMinute =
    static_cast<float>(std::numeric_limits<std::uint16_t>::max());

} // namespace

SharedStateBridge::SharedStateBridge(Router::Instance &instance,
                                     NewerConfigurationHook newerConfiguration)
    : m_instance(instance)
    , m_newerConfiguration(std::move(newerConfiguration))
    , m_state(instance.clock(), {},
              [this](const Membership::SharedItem &item, std::chrono::milliseconds age) {
                  receive(item, age);
              })
{ }

void SharedStateBridge::publish()
{
    m_state.expire();
    retryPendingImports();
    const auto configuration = m_instance.configuration();
    if (configuration.generation > 0) {
        Membership::ConfigurationGeneration generation;
        generation.generation = static_cast<std::uint32_t>(configuration.generation);
        m_state.publish(generation);
    }
    for (const auto &record : m_instance.suspects().records(MaxPublishedSuspects)) {
        for (const auto &note : record.crashes)
            m_state.publish(Membership::PoisonCrash {record.digest, note.crash});
    }
    publishUpstreams();
    publishPrefixes();
}

void SharedStateBridge::publishUpstreams()
{
    for (const auto &upstream : m_instance.directory().all()) {
        if (!upstream->isLeaving())
            continue;
        Membership::UpstreamHealth health;
        health.upstream = Core::hash64(upstream->id().value());
        health.incarnation = upstream->incarnation();
        health.condition = Membership::UpstreamCondition::Leaving;
        m_state.publish(health);
    }
}

void SharedStateBridge::publishPrefixes()
{
    for (const auto &prefix : m_instance.placement().exportFrequentPrefixes(MaxPublishedPrefixes)) {
        for (const auto &holder : prefix.holders) {
            Membership::PrefixLocation location;
            location.prefix = prefix.block;
            location.upstream = Core::hash64(holder.upstream.value());
            location.incarnation = static_cast<std::uint32_t>(holder.incarnation);
            location.requestsPerMinute =
                static_cast<std::uint32_t>(std::min(prefix.decayedRequests, MaxRequestsPerMinute));
            m_state.publish(location);
        }
    }
}

Membership::SnapshotContext SharedStateBridge::snapshotContext() const
{
    Membership::SnapshotContext snapshotContext;
    snapshotContext.environment = m_instance.settings().environment;
    const auto configuration = m_instance.configuration();
    snapshotContext.generation = configuration.generation;
    if (!configuration.document)
        return snapshotContext;
    for (const auto &model : configuration.document->models())
        snapshotContext.weights[Core::hash64(model.id.value())] =
            Core::hash64(model.weightsVersion);
    return snapshotContext;
}

void SharedStateBridge::receive(const Membership::SharedItem &item, std::chrono::milliseconds age)
{
    if (const auto *generation = std::get_if<Membership::ConfigurationGeneration>(&item))
        apply(*generation);
    else if (const auto *crash = std::get_if<Membership::PoisonCrash>(&item))
        apply(*crash, age);
    else if (const auto *upstream = std::get_if<Membership::UpstreamHealth>(&item))
        apply(*upstream);
    else if (const auto *location = std::get_if<Membership::PrefixLocation>(&item))
        apply(*location, age);
}

void SharedStateBridge::apply(const Membership::ConfigurationGeneration &generation)
{
    if (generation.generation > m_instance.configuration().generation && m_newerConfiguration)
        m_newerConfiguration(generation.generation);
}

void SharedStateBridge::apply(const Membership::PoisonCrash &crash, std::chrono::milliseconds age)
{
    Admission::SuspectRecord record;
    record.digest = crash.requestDigest;
    record.crashes.push_back({crash.crash, m_instance.clock().wallNow() - age});
    const std::array records {std::move(record)};
    m_instance.suspects().merge(records);
}

void SharedStateBridge::apply(const Membership::UpstreamHealth &health)
{
    if (health.condition != Membership::UpstreamCondition::Leaving)
        return;
    const auto upstream = findUpstream(health.upstream);
    if (!upstream || upstream->incarnation() != health.incarnation || !upstream->noteLeaving())
        return;
    Core::logEvent(Core::EventId::UpstreamLeaving,
                   {{"upstream", upstream->id().value()}, {"source", "sibling"}});
}

void SharedStateBridge::apply(const Membership::PrefixLocation &location,
                              std::chrono::milliseconds age)
{
    // A starting instance receives prefix locations from siblings before it knows the incarnations
    // of the upstreams.
    if (!importLocation(location, age)
        && m_pendingPrefixLocations.size() < MaxPendingPrefixLocations)
        m_pendingPrefixLocations.push_back({location, m_instance.clock().now() - age});
}

bool SharedStateBridge::importLocation(const Membership::PrefixLocation &location,
                                       std::chrono::milliseconds age)
{
    const auto upstream = findUpstream(location.upstream);
    if (!upstream || static_cast<std::uint32_t>(upstream->incarnation()) != location.incarnation)
        return false;
    Placement::FrequentPrefix prefix;
    prefix.block = location.prefix;
    prefix.decayedRequests = static_cast<float>(location.requestsPerMinute);
    prefix.holders.push_back({upstream->id(), upstream->incarnation(), age});
    const std::array prefixes {std::move(prefix)};
    m_instance.placement().importFrequentPrefixes(prefixes);
    return true;
}

void SharedStateBridge::retryPendingImports()
{
    const auto now = m_instance.clock().now();
    std::erase_if(m_pendingPrefixLocations, [this, now](const PendingPrefixLocation &pending) {
        const auto age =
            std::chrono::duration_cast<std::chrono::milliseconds>(now - pending.observed);
        return age > Membership::lifetime(pending.location)
               || importLocation(pending.location, age);
    });
}

Router::UpstreamPtr SharedStateBridge::findUpstream(std::uint64_t idHash) const
{
    for (const auto &upstream : m_instance.directory().all()) {
        if (Core::hash64(upstream->id().value()) == idHash)
            return upstream;
    }
    return nullptr;
}

} // namespace Siblings
