#pragma once

#include <LibGateway/RequestPlan.h>

#include <optional>
#include <string>

namespace Gateway {

/// Functions that apply Capacity::EngineMemory to requests. They admit everything unless
/// GatewaySettings::limitsEngineMemory.

/// Returns whether the prompt is larger than the memory of any engine of the service.
bool exceedsEngines(const Gateway &gateway, const AcceptedRequest &request,
                    const std::string &service);

/// Returns the refusal of a prompt that no engine of its route can ever hold. A retry would not
/// help, so it names no time for one.
Refusal refuseTooLarge(const AcceptedRequest &request);

/// Returns the refusal of a prompt for which no engine of the service has room now.
Refusal refuseForMemory(const std::string &service, EngineModel::Milliseconds expectedWait);

/// Returns a refusal if the planned engine has no room for the prompt, by what is known after the
/// keeper of its queue has answered.
std::optional<Refusal> refuseIfFull(Gateway &gateway, const AcceptedRequest &request,
                                    const RequestPlan &plan);

/// Counts and logs a refusal for lack of memory. Ignores others.
void noteMemoryRefusal(Gateway &gateway, const AcceptedRequest &request, const Refusal &refusal);

/// Counts and logs an answer that was dropped because its caller left it unread.
void noteUnreadDropped(Gateway &gateway, bool isRepeatable, std::chrono::nanoseconds unread);

} // namespace Gateway
