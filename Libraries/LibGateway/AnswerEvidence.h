#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/AcceptedRequest.h>
#include <LibGateway/UpstreamReport.h>

#include <chrono>
#include <optional>

namespace Gateway {

/// What one attempt at an engine shows about the parts of its prompt: that the engine answers them,
/// or that it crashed before it had shown that.
class AnswerEvidence
{
public:
    /// An engine that crashes later than this after the first event of an answer was not crashed by
    /// the prompt.
    static constexpr std::chrono::milliseconds ProofTime {500};

    AnswerEvidence(Gateway &gateway, const AcceptedRequest &request, const UpstreamReport &engine);

    /// Records that the engine has begun to answer.
    void noteBegin() { m_hasBegun = true; }
    /// Records that events of the answer have arrived.
    void noteEvents();
    /// Records that the whole answer has arrived.
    void noteAnswered();
    /// Records that the engine failed during the attempt.
    void noteCrash();

private:
    Core::Clock::Monotonic now() const;
    /// Returns whether the first events arrived at least ProofTime ago.
    bool isProven() const;

    Gateway &m_gateway;
    const AcceptedRequest &m_request;
    /// The incarnation of the engine that the prompt was sent to.
    Core::UpstreamId m_engine;
    std::chrono::milliseconds m_startTime;
    bool m_hasBegun = false;
    std::optional<Core::Clock::Monotonic> m_firstEvents;
    bool m_isAnswered = false;
};

} // namespace Gateway
