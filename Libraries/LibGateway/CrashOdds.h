#pragma once

#include <LibGateway/CrashEvidence.h>

namespace Gateway {

/// Tells how likely a sound part is to be in as many crashes as a given one.
struct CrashOdds
{
    /// Parts in fewer of the crashes are not suspected.
    static constexpr double MinCrashShare = 0.4;

    /// The share of the crashes that the part is in.
    double crashShare = 0;
    /// The share of the prompts that contain the part, as seen in what else was lost.
    double promptShare = 0;
    /// The expected number of sound parts with this share of the prompts that are in so many of the
    /// crashes and in no answer.
    double chance = 1;
};

/// Returns the odds of a part over these crashes, the first of which has the part, and over this
/// many answers to prompts without it. The part was in this share of earlier answers. At most
/// `maxParts` parts are known to be in any crash.
CrashOdds crashOdds(std::uint64_t part, const CrashEvidence::Crashes &crashes, std::size_t maxParts,
                    double answers, double answeredShare);

} // namespace Gateway
