#pragma once

#include "History.h"

#include <deque>
#include <string>
#include <vector>

namespace Soak {

/// The limits that a deployment sets.
struct Bounds
{
    Time drain {2'000};
    Time grace {8'000};
    /// A request that came this soon after SIGTERM need not outlast the grace period.
    Time stopTail {3'000};
    Time stableWindow {3'000};
    Time configurationApply {2'000};
    Time revocation {5'000};
    Time budgetWindow {10'000};
    Time retryAfterSlack {500};
    unsigned arrivalsAfterRejection = 2;
    Time limitWindow {4'000};
    double limitTolerance = 1.5;
    unsigned limitSlack = 5;
    /// An instance is bound by a limit this long after it passed on an answer that names it.
    Time limitSlackTime {500};
    Time timeoutSlack {500};
    double retryRatio = 0.2;
    double retrySlack = 52;
    unsigned cutsAllowed = 3;
    unsigned denialsAllowed = 10;
};

/// A case in which a rule was broken.
struct Break
{
    std::string rule;
    Time at {0};
    std::string request;
    std::string instance;
    std::string detail;
};

/// Checks a history against the rules. Sees nothing but the history.
class Judge
{
public:
    explicit Judge(const History &history, const Bounds &bounds = {});

    std::vector<Break> breaks();
    /// The greatest share of the retry budget that a window used; known after breaks().
    double greatestRetryUse() const { return m_greatestRetryUse; }

private:
    void judgeUnasked();
    void judgeRuns(const Request &request);
    void judgeAnswer(const Request &request);
    void judgeStream(const Request &request);
    void judgeDrain(const Request &request);
    void judgeNotices();
    void judgeTimeouts();
    void judgeStops();
    void judgeConfiguration(const Request &request);
    void judgeLoss(const Request &request);
    /// Whether the upstream was still at work at the end of the grace period of a stop.
    bool wasAtWorkToTheEnd(const Request &request, const Arrival &arrival) const;
    void judgeBudget(const std::string &service);

    /// Requests that one instance sent to one process of an upstream, by their arrival.
    struct Pair
    {
        std::vector<std::pair<const Request *, const Arrival *>> arrivals;
        Time leavingSince = Time::max();
    };
    void judgeLeaving(const Pair &pair);
    void judgeRetryAfter(const Pair &pair);
    void judgeLimit(const Limit &limit);
    /// Returns the requests at the upstream from instances that had passed on an answer with the
    /// limit.
    std::vector<std::pair<const Request *, Time>> arrivalsUnder(const Limit &limit) const;
    const std::deque<Arrival> &arrivalsOf(const Request &request) const;
    /// Whether the instance, or the store, was disturbed in the span.
    bool isDisturbed(const std::string &instance, Time from, Time to,
                     bool countsPlanned = true) const;
    /// Whether the instance itself was disturbed in the span, whatever the store did.
    bool isRestartedOrFrozen(const std::string &instance, Time from, Time to) const;
    /// Whether the instance and the store were calm for the stable window before the time.
    bool isInTouch(const std::string &instance, Time at) const;
    void report(const std::string &rule, Time at, const Request &request, std::string detail);

    const History &m_history;
    Bounds m_bounds;
    std::vector<Break> m_breaks;
    std::vector<Break> m_cuts;
    std::vector<Break> m_denials;
    double m_greatestRetryUse = 0;
};

} // namespace Soak
