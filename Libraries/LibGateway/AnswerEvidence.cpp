#include <LibCore/Hash.h>
#include <LibGateway/AnswerEvidence.h>
#include <LibGateway/Gateway.h>
#include <LibGateway/RequestLog.h>

namespace Gateway {

AnswerEvidence::AnswerEvidence(Gateway &gateway, const AcceptedRequest &request,
                               const UpstreamReport &engine)
    : m_gateway(gateway)
    , m_request(request)
    , m_engine(engine.id)
    , m_startTime(engine.startTime)
{ }

Core::Clock::Monotonic AnswerEvidence::now() const
{
    return m_gateway.dependencies().clock.now();
}

bool AnswerEvidence::isProven() const
{
    return m_firstEvents && now() - *m_firstEvents >= ProofTime;
}

void AnswerEvidence::noteEvents()
{
    if (!m_firstEvents)
        m_firstEvents = now();
    else if (!m_isAnswered && isProven())
        noteAnswered();
}

void AnswerEvidence::noteAnswered()
{
    m_isAnswered = true;
    m_gateway.poisonParts().noteAnswered(m_request.partHashes, now());
}

void AnswerEvidence::noteCrash()
{
    if (m_isAnswered || isProven())
        return;
    const Casualty casualty {
        Core::hash64(m_engine.value(), static_cast<std::uint64_t>(m_startTime.count())),
        m_request.digest, m_request.partHashes, m_hasBegun};
    logCasualty(m_request, m_engine, m_startTime, casualty);
    if (casualty.parts.empty())
        return;
    m_gateway.poisonParts().noteCasualty(casualty, now());
    if (m_gateway.onCasualty)
        m_gateway.onCasualty(casualty);
}

} // namespace Gateway
