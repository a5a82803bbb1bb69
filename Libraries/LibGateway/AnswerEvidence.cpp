#include <LibCore/Hash.h>
#include <LibGateway/AnswerEvidence.h>
#include <LibGateway/Gateway.h>
#include <LibGateway/RequestLog.h>

namespace Gateway {

AnswerEvidence::AnswerEvidence(Gateway &gateway, const AcceptedRequest &request,
                               const UpstreamReport &upstream, bool isEngine)
    : m_gateway(gateway)
    , m_request(request)
    , m_upstream(upstream.id)
    , m_startTime(upstream.startTime)
    , m_isEngine(isEngine)
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

std::vector<std::uint64_t> AnswerEvidence::parts() const
{
    return m_isEngine ? m_request.partHashes : std::vector<std::uint64_t>();
}

void AnswerEvidence::noteAnswered(bool isSuccess)
{
    m_isAnswered = true;
    auto suspects = isSuccess ? parts() : std::vector<std::uint64_t>();
    suspects.push_back(m_request.digest);
    m_gateway.poison().noteAnswered(suspects, now());
}

void AnswerEvidence::noteCrash()
{
    if (m_isAnswered || isProven())
        return;
    const auto &attempt = m_request.caller.attemptId;
    const Casualty casualty {crashIdentity(m_upstream, m_startTime), m_request.digest, parts(),
                             m_hasBegun, attempt.empty() ? 0 : Core::hash64(attempt)};
    logCasualty(m_request, m_upstream, m_startTime, casualty);
    m_gateway.poison().noteCasualty(casualty, now());
    if (m_gateway.onCasualty)
        m_gateway.onCasualty(casualty);
}

} // namespace Gateway
