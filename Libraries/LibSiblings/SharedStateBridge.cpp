#include <LibCore/EventLog.h>
#include <LibCore/Hash.h>
#include <LibSiblings/SharedStateBridge.h>

#include <algorithm>
#include <array>
#include <limits>

namespace Siblings {

namespace {

constexpr std::size_t PublishedSuspects = 64;
constexpr std::size_t PublishedPrefixes = 128;
constexpr std::size_t MostWaitingHomes = 8192;

/// A request hotter than this a minute is shared as this.
constexpr float MostHeat = static_cast<float>(std::numeric_limits<std::uint16_t>::max());

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
    retryImports();
    const auto configuration = m_instance.configuration();
    if (configuration.generation > 0) {
        Membership::ConfigurationMark mark;
        mark.generation = static_cast<std::uint32_t>(configuration.generation);
        m_state.publish(mark);
    }
    for (const auto &record : m_instance.suspects().records(PublishedSuspects)) {
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
        Membership::UpstreamMark mark;
        mark.upstream = Core::hash64(upstream->id().value());
        mark.incarnation = upstream->incarnation();
        mark.condition = Membership::UpstreamCondition::Leaving;
        m_state.publish(mark);
    }
}

void SharedStateBridge::publishPrefixes()
{
    for (const auto &belief : m_instance.placement().exportHot(PublishedPrefixes)) {
        for (const auto &holder : belief.holders) {
            Membership::PrefixHome home;
            home.prefix = belief.piece;
            home.upstream = Core::hash64(holder.upstream.value());
            home.incarnation = static_cast<std::uint32_t>(holder.incarnation);
            home.heat = static_cast<std::uint32_t>(std::min(belief.heat, MostHeat));
            m_state.publish(home);
        }
    }
}

Membership::SnapshotBasis SharedStateBridge::basis() const
{
    Membership::SnapshotBasis basis;
    basis.environment = m_instance.settings().environment;
    const auto configuration = m_instance.configuration();
    basis.generation = configuration.generation;
    if (!configuration.document)
        return basis;
    for (const auto &model : configuration.document->models())
        basis.weights[Core::hash64(model.id.value())] = Core::hash64(model.weightsVersion);
    return basis;
}

void SharedStateBridge::receive(const Membership::SharedItem &item, std::chrono::milliseconds age)
{
    if (const auto *mark = std::get_if<Membership::ConfigurationMark>(&item))
        take(*mark);
    else if (const auto *crash = std::get_if<Membership::PoisonCrash>(&item))
        take(*crash, age);
    else if (const auto *upstream = std::get_if<Membership::UpstreamMark>(&item))
        take(*upstream);
    else if (const auto *home = std::get_if<Membership::PrefixHome>(&item))
        take(*home, age);
}

void SharedStateBridge::take(const Membership::ConfigurationMark &mark)
{
    if (mark.generation > m_instance.configuration().generation && m_newerConfiguration)
        m_newerConfiguration(mark.generation);
}

void SharedStateBridge::take(const Membership::PoisonCrash &crash, std::chrono::milliseconds age)
{
    Admission::SuspectRecord record;
    record.digest = crash.requestDigest;
    record.crashes.push_back({crash.crash, m_instance.clock().wallNow() - age});
    const std::array records {std::move(record)};
    m_instance.suspects().merge(records);
}

void SharedStateBridge::take(const Membership::UpstreamMark &mark)
{
    if (mark.condition != Membership::UpstreamCondition::Leaving)
        return;
    const auto upstream = findUpstream(mark.upstream);
    if (!upstream || upstream->incarnation() != mark.incarnation || !upstream->noteLeaving())
        return;
    Core::logEvent(Core::EventId::UpstreamLeaving,
                   {{"upstream", upstream->id().value()}, {"source", "sibling"}});
}

void SharedStateBridge::take(const Membership::PrefixHome &home, std::chrono::milliseconds age)
{
    // A starting instance gets a sibling's beliefs before it has heard from the upstreams.
    if (!import(home, age) && m_waitingHomes.size() < MostWaitingHomes)
        m_waitingHomes.push_back({home, m_instance.clock().now() - age});
}

bool SharedStateBridge::import(const Membership::PrefixHome &home, std::chrono::milliseconds age)
{
    const auto upstream = findUpstream(home.upstream);
    if (!upstream || static_cast<std::uint32_t>(upstream->incarnation()) != home.incarnation)
        return false;
    Placement::HotBelief belief;
    belief.piece = home.prefix;
    belief.heat = static_cast<float>(home.heat);
    belief.holders.push_back({upstream->id(), upstream->incarnation(), age});
    const std::array beliefs {std::move(belief)};
    m_instance.placement().importHot(beliefs);
    return true;
}

void SharedStateBridge::retryImports()
{
    const auto now = m_instance.clock().now();
    std::erase_if(m_waitingHomes, [this, now](const WaitingHome &waiting) {
        const auto age =
            std::chrono::duration_cast<std::chrono::milliseconds>(now - waiting.observed);
        return age > Membership::lifetime(waiting.home) || import(waiting.home, age);
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
