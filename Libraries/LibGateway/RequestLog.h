#pragma once

#include <LibGateway/AcceptedRequest.h>
#include <LibGateway/RequestPlan.h>

#include <string>
#include <string_view>

namespace Gateway {

/// How far a request has come, for its lines in the log.
struct RequestProgress
{
    unsigned sends = 0;
    std::optional<Core::Clock::Monotonic> firstByte;
};

/// The lines of the log that tell a request's way. Each holds the caller's attempt id.
void logRefusal(const Gateway &gateway, const AcceptedRequest &request, const Refusal &refusal);
void logServed(Gateway &gateway, const AcceptedRequest &request, const RequestPlan &plan,
               const RequestProgress &progress);
void logAttempt(Gateway &gateway, const AcceptedRequest &request, const RequestPlan &plan,
                const RequestProgress &progress, std::string_view end, const std::string &reason);

} // namespace Gateway
