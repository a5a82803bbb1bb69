#include <LibCore/Error.h>
#include <LibCore/EventLog.h>
#include <LibCore/ProcessSignals.h>
#include <LibCore/StartRetry.h>

#include <chrono>
#include <string>

namespace Core {

namespace {
constexpr std::chrono::milliseconds RetryInterval {100};
}

bool retryUntilEnd(ProcessSignals &signals, EventId event, const std::function<void()> &attempt)
{
    std::string lastReason;
    for (;;) {
        std::string reason;
        try {
            attempt();
            return true;
        } catch (const Error &error) {
            reason = error.detail();
        }
        if (reason != lastReason)
            logEvent(event, {{"reason", reason}});
        lastReason = reason;
        const auto signal = signals.nextWithin(RetryInterval);
        if (signal && ProcessSignals::endsProgram(*signal))
            return false;
    }
}

} // namespace Core
