#include <LibGateway/CrashOdds.h>

#include <algorithm>
#include <cmath>

namespace Gateway {

namespace {

// Few prompts are lost with each crash, so what was lost shows a popular part as a rare one. The
// share of a less popular part may have changed.
constexpr double MinPopularShare = 0.25;

/// Returns the probability that at least `count` of the events occur.
double atLeast(std::size_t count, const std::vector<double> &probabilities)
{
    // The probabilities of exactly 0, 1, ... events; the last one is of all higher numbers.
    std::vector<double> exactly(count + 1, 0);
    exactly[0] = 1;
    for (const double p : probabilities) {
        if (count)
            exactly[count] += exactly[count - 1] * p;
        for (std::size_t n = count; n-- > 0;)
            exactly[n] = exactly[n] * (1 - p) + (n ? exactly[n - 1] * p : 0);
    }
    return exactly[count];
}

} // namespace

CrashOdds crashOdds(std::uint64_t part, const CrashEvidence::Crashes &crashes, std::size_t maxParts,
                    double answers, double answeredShare)
{
    // One prompt of each crash is the one to explain; the others show the part's share. Before any
    // others were lost, the part is taken for a rare one.
    double prompts = 4;
    double withPart = 0.5;
    std::size_t count = 0;
    // The more parts there are, the more of them are in many crashes by chance.
    std::size_t parts = 0;
    for (const auto *crash : crashes) {
        parts += crash->parts.size();
        prompts += double(crash->requests.size()) - 1;
        const auto it = crash->parts.find(part);
        if (it == crash->parts.end())
            continue;
        ++count;
        withPart += double(it->second.requests.size()) - 1;
    }
    CrashOdds odds;
    if (!count)
        return odds;
    odds.crashShare = double(count) / double(crashes.size());
    odds.promptShare = withPart / prompts;
    if (answeredShare >= MinPopularShare)
        odds.promptShare = std::max(odds.promptShare, answeredShare);
    if (odds.crashShare < CrashOdds::MinCrashShare)
        return odds;
    // The first crash was chosen because it has the part.
    std::vector<double> probabilities;
    for (std::size_t n = 1; n < crashes.size(); ++n)
        probabilities.push_back(
            1 - std::pow(1 - odds.promptShare, double(crashes[n]->requests.size())));
    odds.chance = atLeast(count - 1, probabilities) * std::pow(1 - odds.promptShare, answers)
                  * double(std::min(parts, maxParts));
    return odds;
}

} // namespace Gateway
