#include <LibMembership/SharedStatePublisher.h>

namespace Membership {

namespace {

// Envelope, vector, frame length and authentication tag around the records.
constexpr std::size_t MessageBytes = 84;
constexpr std::size_t LeastMessageBytes = MessageBytes + 8 * SharedRecordBytes;

} // namespace

SharedStatePublisher::SharedStatePublisher(const Core::Clock &clock, std::mt19937_64 &rng,
                                           SharedState &state, Core::DataCentreId dataCentre,
                                           const PublisherSettings &settings, Hooks hooks)
    : m_clock(clock)
    , m_rng(rng)
    , m_state(state)
    , m_dataCentre(std::move(dataCentre))
    , m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_budget(settings.bytesPerSecond, clock.now())
    , m_nextRound(clock.now() + settings.round * (rng() % 100) / 100)
{ }

const Member *SharedStatePublisher::choose(const std::vector<Member> &siblings)
{
    std::vector<const Member *> near;
    for (const auto &member : siblings) {
        if (member.dataCentre == m_dataCentre)
            near.push_back(&member);
    }
    const bool stay = std::uniform_real_distribution<>(0, 1)(m_rng) < m_settings.ownDataCentreShare;
    if (stay && !near.empty())
        return near[m_rng() % near.size()];
    return siblings.empty() ? nullptr : &siblings[m_rng() % siblings.size()];
}

void SharedStatePublisher::tick()
{
    const auto now = m_clock.now();
    if (now < m_nextRound)
        return;
    m_nextRound = now + m_settings.round;
    const auto siblings = m_hooks.siblings();
    const auto *sibling = choose(siblings);
    if (sibling == nullptr)
        return;
    // A small budget is saved up for some rounds rather than spent on frames around few records.
    const auto share = static_cast<std::size_t>(m_settings.bytesPerSecond * m_settings.round
                                                / std::chrono::seconds(1));
    const auto bytes = std::max(share, std::min(LeastMessageBytes, m_settings.bytesPerSecond));
    if (bytes < MessageBytes + SharedRecordBytes || m_budget.available(now) < bytes)
        return;
    Peer::Wire::SharedDeltaT delta;
    delta.records = m_state.pack(bytes - MessageBytes);
    if (delta.records.empty())
        return;
    m_budget.spend(MessageBytes + delta.records.size() * SharedRecordBytes);
    m_hooks.send(sibling->address, Peer::makeBody(std::move(delta)));
}

} // namespace Membership
