#pragma once

#include <LibGateway/CrashEvidence.h>

#include <cstddef>
#include <cstdint>

namespace Gateway {

/// Tells how likely a sound suspect is to be in as many crashes as a given one.
struct CrashOdds
{
    /// The share of the crashes that the suspect is in.
    double crashShare = 0;
    /// The share of the requests that contain the suspect, as seen in what else was lost.
    double requestShare = 0;
    /// The expected number of sound suspects with this share of the requests that are in so many of
    /// the crashes and in no answer.
    double chance = 1;
};

/// What is known of a suspect apart from the crashes.
struct SuspectStanding
{
    std::uint64_t suspect = 0;
    bool isRequest = false;
    /// How many suspects of its kind, parts or whole requests, are known to be in any crash.
    std::size_t maxSuspects = 0;
    /// How many requests without it were answered since its first crash.
    double answers = 0;
    /// The share of earlier answers that it was in.
    double answeredShare = 0;
};

/// Returns the odds of a suspect over these crashes, the first of which has it.
CrashOdds crashOdds(const SuspectStanding &standing, const CrashEvidence::Crashes &crashes);

} // namespace Gateway
