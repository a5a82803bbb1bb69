#include <LibMembership/SharedStatePublisher.h>

namespace Membership {

namespace {

// Overhead of the envelope, vector, frame length and authentication tag around the records.
constexpr std::size_t MessageOverheadBytes = 84;
constexpr std::size_t MinMessageBytes = MessageOverheadBytes + 8 * SharedRecordBytes;

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
    , m_nextRound(clock.now() + settings.roundPeriod * (rng() % 100) / 100)
{ }

const Member *SharedStatePublisher::chooseReceiver(const std::vector<Member> &siblings)
{
    std::vector<const Member *> local;
    for (const auto &member : siblings) {
        if (member.dataCentre == m_dataCentre)
            local.push_back(&member);
    }
    const bool prefersLocal =
        std::uniform_real_distribution<>(0, 1)(m_rng) < m_settings.ownDataCentreShare;
    if (prefersLocal && !local.empty())
        return local[m_rng() % local.size()];
    return siblings.empty() ? nullptr : &siblings[m_rng() % siblings.size()];
}

void SharedStatePublisher::tick()
{
    const auto now = m_clock.now();
    if (now < m_nextRound)
        return;
    m_nextRound = now + m_settings.roundPeriod;
    const auto siblings = m_hooks.siblings();
    const auto *sibling = chooseReceiver(siblings);
    if (sibling == nullptr)
        return;
    // A small budget accumulates over several rounds instead of being spent on the overhead of
    // messages with few records.
    const auto bytesPerRound = static_cast<std::size_t>(
        m_settings.bytesPerSecond * m_settings.roundPeriod / std::chrono::seconds(1));
    const auto bytes =
        std::max(bytesPerRound, std::min(MinMessageBytes, m_settings.bytesPerSecond));
    if (bytes < MessageOverheadBytes + SharedRecordBytes || m_budget.available(now) < bytes)
        return;
    Peer::Wire::SharedDeltaT delta;
    delta.records = m_state.pack(bytes - MessageOverheadBytes);
    if (delta.records.empty())
        return;
    m_budget.spend(MessageOverheadBytes + delta.records.size() * SharedRecordBytes);
    m_hooks.send(sibling->address, Peer::makeBody(std::move(delta)));
}

} // namespace Membership
