#pragma once

#include "World.h"

#include <array>
#include <string>
#include <vector>

namespace Soak {

enum class Trouble {
    Terminate,
    Kill,
    Reload,
    Freeze,
    SignalAtStart,
    HoldPorts,
    EndLogReader,
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
    NameLimit,
    OddEntry,
    ChangeRoutes,
    RevokeKey
};

std::string nameOf(Trouble trouble);

/// Form of a departure: the sum of what else happens.
constexpr unsigned SaysLeaving = 1;
constexpr unsigned HasStaleEntry = 2;
constexpr unsigned Returns = 4;
constexpr unsigned DepartureForms = 8;

/// Form of a single failed call: whose call, the way in which it fails, and what it reads.
constexpr unsigned AnyCaller = 0;
constexpr unsigned LastReader = 1;
constexpr unsigned KilledReader = 2;
constexpr unsigned CallerForms = 3;
constexpr unsigned CallFailures = 5;
constexpr unsigned CallTopics = 3;

/// Form of a limit: the index of its requests a second, and whether all upstreams of a service or
/// one in two of them name it.
constexpr std::array LimitRates {0.5, 3.6, 10.0, 40.0};
constexpr unsigned ConcernsAll = LimitRates.size();
constexpr unsigned LimitForms = 2 * LimitRates.size();

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

/// What a seed decides besides its troubles.
struct Shape
{
    unsigned instances = 6;
    unsigned clients = 40;
    unsigned zones = 1;
};

Shape shapeOf(std::uint64_t seed, const Shape &most);

/// Returns the troubles of a run in their order. The same arguments give the same troubles.
std::vector<Step> makeSchedule(std::uint64_t seed, Time length, unsigned instances);

/// Adds times in which upstreams name limits to the troubles of a seed.
void addLimits(std::vector<Step> &steps, std::uint64_t seed, Time length);

} // namespace Soak
