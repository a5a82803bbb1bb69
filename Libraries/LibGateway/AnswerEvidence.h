#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/AcceptedRequest.h>
#include <LibGateway/UpstreamReport.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace Gateway {

/// What one attempt at an upstream shows about the request and the parts of its prompt: that the
/// upstream answers them, or that it crashed before it had shown that.
class AnswerEvidence
{
public:
    /// An upstream that crashes later than this after the first event of an answer was not crashed
    /// by the request.
    static constexpr std::chrono::milliseconds ProofTime {500};

    AnswerEvidence(Gateway &gateway, const AcceptedRequest &request, const UpstreamReport &upstream,
                   bool isEngine);

    /// Records that the upstream has begun to answer.
    void noteBegin() { m_hasBegun = true; }
    /// Records that events of the answer have arrived.
    void noteEvents();
    /// Records that a whole answer has arrived. One without a success shows nothing about the
    /// parts.
    void noteAnswered(bool isSuccess = true);
    /// Records that the upstream failed during the attempt.
    void noteCrash();

private:
    Core::Clock::Monotonic now() const;
    std::vector<std::uint64_t> parts() const;
    /// Returns whether the first events arrived at least ProofTime ago.
    bool isProven() const;

    Gateway &m_gateway;
    const AcceptedRequest &m_request;
    /// The incarnation of the upstream that the request was sent to.
    Core::UpstreamId m_upstream;
    std::chrono::milliseconds m_startTime;
    bool m_isEngine = false;
    bool m_hasBegun = false;
    std::optional<Core::Clock::Monotonic> m_firstEvents;
    bool m_isAnswered = false;
};

} // namespace Gateway
