#pragma once

namespace Jujubectl {

/// The exit codes of the program; docs/jujubectl.md explains each.
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
