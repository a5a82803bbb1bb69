#pragma once

namespace Jujubectl {

/// What the program returns to the shell; docs/jujubectl.md explains each.
enum class ExitCode : int {
    Success = 0,
    Failure = 1,
    Usage = 2,
    DocumentInvalid = 3,
    LostRace = 4,
    Unavailable = 5,
    NotAccepted = 6,
    TimedOut = 7,
    OutcomeUnknown = 8,
};

} // namespace Jujubectl
