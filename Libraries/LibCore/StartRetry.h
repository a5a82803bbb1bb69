#pragma once

#include <LibCore/EventCatalogue.h>

#include <functional>

namespace Core {

class ProcessSignals;

/// Calls the attempt, which throws Error when it fails, until it succeeds or a signal asks the
/// program to end. Logs the event with each new reason of a failure. Returns whether it succeeded.
bool retryUntilEnd(ProcessSignals &signals, EventId event, const std::function<void()> &attempt);

} // namespace Core
