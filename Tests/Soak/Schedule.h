#pragma once

#include "World.h"

#include <string>
#include <vector>

namespace Soak {

enum class Trouble {
    Terminate,
    Kill,
    Reload,
    Freeze,
    SignalAtStart,
    AddInstance,
    StoreRefuses,
    StoreSilent,
    StoreResets,
    StoreSlow,
    StoreLosesAnswers,
    StoreFailsOnce,
    Drain,
    Remove,
    Crash,
    Release,
    Failures,
    Full,
    OddEntry,
    ChangeRoutes,
    RevokeKey
};

std::string nameOf(Trouble trouble);

/// One trouble of a run. The target is taken modulo the number of things that there are.
struct Step
{
    Time at {0};
    Trouble trouble = Trouble::Kill;
    unsigned target = 0;
    Time time {0};
    /// Distinguishes forms of a trouble.
    unsigned form = 0;
};

/// Returns the troubles of a run in their order. The same arguments give the same troubles.
std::vector<Step> makeSchedule(std::uint64_t seed, Time length, unsigned instances);

} // namespace Soak
