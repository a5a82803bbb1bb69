#include <LibGateway/CrashOdds.h>

#include <algorithm>
#include <cmath>

namespace Gateway {

namespace {

// Few prompts are lost with each crash, so what was lost shows a popular suspect as a rare one. The
// share of a less popular one may have changed.
constexpr double MinPopularShare = 0.25;
// In a smaller share of the crashes, a part or a request is not suspected. Several requests may
// crash upstreams at the same time.
constexpr double MinCrashShare = 0.4;
constexpr double MinCrashShareOfRequest = 0.1;

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

CrashOdds crashOdds(const SuspectStanding &standing, const CrashEvidence::Crashes &crashes)
{
    // One request of each crash is the one to explain; the others show the suspect's share. Before
    // any others were lost, the suspect is taken for a rare one.
    double requests = 4;
    double withSuspect = 0.5;
    std::size_t count = 0;
    // The more suspects there are, the more of them are in many crashes by chance.
    std::size_t suspects = 0;
    for (const auto *crash : crashes) {
        suspects += standing.isRequest ? crash->wholeRequests
                                       : crash->suspects.size() - crash->wholeRequests;
        requests += double(crash->requests.size()) - 1;
        const auto it = crash->suspects.find(standing.suspect);
        if (it == crash->suspects.end())
            continue;
        ++count;
        withSuspect += double(it->second.requests.size()) - 1;
    }
    CrashOdds odds;
    if (!count)
        return odds;
    odds.crashShare = double(count) / double(crashes.size());
    odds.requestShare = withSuspect / requests;
    if (standing.answeredShare >= MinPopularShare)
        odds.requestShare = std::max(odds.requestShare, standing.answeredShare);
    if (odds.crashShare < (standing.isRequest ? MinCrashShareOfRequest : MinCrashShare))
        return odds;
    // The first crash was chosen because it has the suspect.
    std::vector<double> probabilities;
    for (std::size_t n = 1; n < crashes.size(); ++n)
        probabilities.push_back(
            1 - std::pow(1 - odds.requestShare, double(crashes[n]->requests.size())));
    double others = double(std::min(suspects, standing.maxSuspects));
    // A request is one whole request, so no more of them can have this share.
    if (standing.isRequest)
        others = std::min(others, 1 / odds.requestShare);
    odds.chance = atLeast(count - 1, probabilities)
                  * std::pow(1 - odds.requestShare, standing.answers) * others;
    return odds;
}

} // namespace Gateway
