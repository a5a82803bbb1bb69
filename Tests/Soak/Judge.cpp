#include "Judge.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace Soak {

using namespace std::chrono_literals;

namespace {

bool promisesNoRun(unsigned status)
{
    return status == 503 || status == 429 || status == 421 || status == 408;
}

bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

bool isDenial(unsigned status)
{
    return status == 401 || status == 403 || status == 404;
}

std::string text(Time time)
{
    return std::to_string(time.count()) + " ms";
}

/// Counts the times within (from, to].
std::size_t countWithin(const std::vector<Time> &sorted, Time from, Time to)
{
    const auto begin = std::upper_bound(sorted.begin(), sorted.end(), from);
    return static_cast<std::size_t>(std::upper_bound(begin, sorted.end(), to) - begin);
}

} // namespace

Judge::Judge(const History &history, const Bounds &bounds)
    : m_history(history)
    , m_bounds(bounds)
{ }

std::vector<Break> Judge::breaks()
{
    for (const auto &[id, request] : m_history.requests) {
        judgeRuns(request);
        judgeAnswer(request);
        judgeDrain(request);
        judgeConfiguration(request);
        judgeLoss(request);
    }
    judgeUnasked();
    judgeNotices();
    for (const auto &limit : m_history.limits)
        judgeLimit(limit);
    judgeTimeouts();
    judgeStops();
    judgeBudget("app");
    judgeBudget("llm");
    if (m_cuts.size() > m_bounds.cutsAllowed)
        m_breaks.insert(m_breaks.end(), m_cuts.begin(), m_cuts.end());
    if (m_denials.size() > m_bounds.denialsAllowed)
        m_breaks.insert(m_breaks.end(), m_denials.begin(), m_denials.end());
    for (const auto &fault : m_history.faults)
        m_breaks.push_back({"FAULT", fault.at, "", fault.instance, fault.what});
    std::stable_sort(m_breaks.begin(), m_breaks.end(),
                     [](const auto &a, const auto &b) { return a.at < b.at; });
    return m_breaks;
}

const std::deque<Arrival> &Judge::arrivalsOf(const Request &request) const
{
    static const std::deque<Arrival> none;
    const auto it = m_history.arrivals.find(request.id);
    return it == m_history.arrivals.end() ? none : it->second;
}

bool Judge::isDisturbed(const std::string &instance, Time from, Time to, bool countsPlanned) const
{
    return std::any_of(
        m_history.disturbances.begin(), m_history.disturbances.end(), [&](const auto &item) {
            return (item.instance.empty() || item.instance == instance) && item.from <= to
                   && item.to >= from && (countsPlanned || !item.isPlanned);
        });
}

bool Judge::isRestartedOrFrozen(const std::string &instance, Time from, Time to) const
{
    return std::any_of(m_history.disturbances.begin(), m_history.disturbances.end(),
                       [&](const auto &item) {
                           return (item.isOfTest || item.instance == instance) && item.from <= to
                                  && item.to >= from;
                       });
}

bool Judge::isInTouch(const std::string &instance, Time at) const
{
    return !isDisturbed(instance, at - m_bounds.stableWindow, at);
}

void Judge::report(const std::string &rule, Time at, const Request &request, std::string detail)
{
    m_breaks.push_back({rule, at, request.id, request.instance, std::move(detail)});
}

void Judge::judgeUnasked()
{
    for (const auto &[id, arrivals] : m_history.arrivals) {
        const auto request = m_history.requests.find(id);
        for (const auto &arrival : arrivals) {
            if (request == m_history.requests.end())
                m_breaks.push_back({"UNASKED", arrival.at, id, "", "at " + arrival.upstream});
            else if (arrival.target != request->second.target)
                report("UNASKED", arrival.at, request->second, "with target " + arrival.target);
        }
    }
}

void Judge::judgeRuns(const Request &request)
{
    std::vector<const Arrival *> runs;
    for (const auto &arrival : arrivalsOf(request)) {
        if (arrival.hasRun)
            runs.push_back(&arrival);
    }
    if (!request.runsOnce() || runs.empty())
        return;
    if (runs.size() > 1)
        report("TWICE", runs[1]->at, request,
               "ran at " + runs[0]->upstream + " after " + text(runs[0]->at) + " and at "
                   + runs[1]->upstream + " after " + text(runs[1]->at));
    if (promisesNoRun(request.status))
        report("REFUSED", request.endedAt, request,
               "answered " + std::to_string(request.status) + ", ran at " + runs[0]->upstream
                   + " after " + text(runs[0]->at));
}

void Judge::judgeAnswer(const Request &request)
{
    if (!request.malformation.empty()) {
        report("MIXED", request.endedAt, request, request.malformation);
        return;
    }
    if (isSuccess(request.status) && request.seal.empty()) {
        report("MIXED", request.endedAt, request, "a success without a seal: " + request.body);
        return;
    }
    if (request.seal.empty())
        return;
    const auto &arrivals = arrivalsOf(request);
    const auto run = std::find_if(arrivals.begin(), arrivals.end(), [&](const auto &arrival) {
        return arrival.seal == request.seal;
    });
    if (run == arrivals.end() || run->status != request.status) {
        report("MIXED", request.endedAt, request,
               "status " + std::to_string(request.status) + " with the seal " + request.seal
                   + (run == arrivals.end()
                          ? ", which is of no run of this request"
                          : ", whose upstream answered " + std::to_string(run->status)));
        return;
    }
    if (request.isStream() && isSuccess(request.status))
        judgeStream(request);
    else if (request.isComplete && request.body != run->body)
        report("MIXED", request.endedAt, request,
               "the body is not the upstream's: " + request.body);
}

void Judge::judgeStream(const Request &request)
{
    std::string whole;
    for (unsigned n = 1; n <= request.events; ++n)
        whole += eventText(request.id, n);
    if (!whole.starts_with(request.body)) {
        const auto [at, other] =
            std::mismatch(request.body.begin(), request.body.end(), whole.begin(), whole.end());
        constexpr std::ptrdiff_t Shown = 120;
        report("ORDER", request.endedAt, request,
               "unexpected bytes in the stream: "
                   + std::string(at, at + std::min(Shown, request.body.end() - at)));
    } else if (request.isComplete && request.body.size() < whole.size()) {
        report("ORDER", request.endedAt, request,
               "ended as complete after " + std::to_string(request.body.size()) + " of "
                   + std::to_string(whole.size()) + " bytes");
    }
}

void Judge::judgeDrain(const Request &request)
{
    for (const auto &arrival : arrivalsOf(request)) {
        if (arrival.isMisdirected || !isInTouch(request.instance, arrival.at))
            continue;
        for (const auto &departure : m_history.departures) {
            if (departure.upstream != arrival.upstream
                || arrival.at <= departure.from + m_bounds.drain || arrival.at >= departure.to)
                continue;
            if (departure.staleEntryAt <= arrival.at
                && isRestartedOrFrozen(request.instance, departure.from, arrival.at))
                continue;
            // The store's acceptance counts only while it is stable.
            if (isDisturbed("", departure.from - m_bounds.stableWindow, departure.from))
                continue;
            report("DRAIN", arrival.at, request,
                   "reached " + arrival.upstream + " " + text(arrival.at - departure.from)
                       + " after it " + (departure.isRemoval ? "was removed" : "said draining"));
        }
    }
}

void Judge::judgeNotices()
{
    std::map<std::tuple<std::string, std::string, unsigned>, Pair> pairs;
    for (const auto &[id, request] : m_history.requests) {
        for (const auto &arrival : arrivalsOf(request)) {
            auto &pair = pairs[{request.instance, arrival.upstream, arrival.incarnation}];
            pair.arrivals.emplace_back(&request, &arrival);
            const bool isPassedOn =
                request.isComplete && !arrival.seal.empty() && request.seal == arrival.seal;
            if (isPassedOn && arrival.saysLeaving)
                pair.leavingSince = std::min(pair.leavingSince, request.endedAt);
        }
    }
    for (auto &[key, pair] : pairs) {
        std::sort(pair.arrivals.begin(), pair.arrivals.end(),
                  [](const auto &a, const auto &b) { return a.second->at < b.second->at; });
        judgeLeaving(pair);
        judgeRetryAfter(pair);
    }
}

void Judge::judgeLeaving(const Pair &pair)
{
    if (pair.leavingSince == Time::max())
        return;
    for (const auto &[request, arrival] : pair.arrivals) {
        if (arrival->isMisdirected || request->sentAt <= pair.leavingSince + m_bounds.drain
            || isRestartedOrFrozen(request->instance, pair.leavingSince, arrival->at))
            continue;
        report("DRAIN", arrival->at, *request,
               "reached " + arrival->upstream + ", sent "
                   + text(request->sentAt - pair.leavingSince)
                   + " after the instance passed on Server-Leaving");
    }
}

void Judge::judgeRetryAfter(const Pair &pair)
{
    for (const auto &[rejected, rejection] : pair.arrivals) {
        if (rejection->retryAfter == 0ms || !rejection->isAnswered)
            continue;
        const auto from = rejection->answeredAt + m_bounds.retryAfterSlack;
        const auto to = rejection->answeredAt + rejection->retryAfter;
        unsigned count = 0;
        for (const auto &[request, arrival] : pair.arrivals) {
            if (arrival->at <= from || arrival->at > to
                || isRestartedOrFrozen(request->instance, rejection->answeredAt, arrival->at))
                continue;
            if (++count != m_bounds.arrivalsAfterRejection + 1)
                continue;
            report("BUDGET", arrival->at, *request,
                   "reached " + arrival->upstream + " as the third one within "
                       + text(rejection->retryAfter) + " after it answered 503 with Retry-After");
        }
    }
}

std::vector<std::pair<const Request *, Time>> Judge::arrivalsUnder(const Limit &limit) const
{
    std::map<std::string, std::vector<Time>> passedOn;
    std::vector<std::pair<const Request *, Time>> arrivals;
    for (const auto &[id, request] : m_history.requests) {
        for (const auto &arrival : arrivalsOf(request)) {
            if (arrival.upstream != limit.upstream || arrival.incarnation != limit.incarnation)
                continue;
            if (!arrival.isMisdirected && arrival.at <= limit.to)
                arrivals.emplace_back(&request, arrival.at);
            const bool isNamed = arrival.limitNamedAt >= limit.from
                                 && arrival.limitNamedAt <= limit.to
                                 && arrival.limitNamedAt != Time::max();
            // The head of a stream is passed on before its end.
            if (isNamed && !arrival.seal.empty() && request.seal == arrival.seal)
                passedOn[request.instance].push_back(request.isStream() ? arrival.limitNamedAt
                                                                        : request.endedAt);
        }
    }
    for (auto &[instance, times] : passedOn)
        std::sort(times.begin(), times.end());
    std::erase_if(arrivals, [&](const auto &item) {
        const auto &times = passedOn[item.first->instance];
        const auto next =
            std::upper_bound(times.begin(), times.end(), item.second - m_bounds.limitSlackTime);
        return next == times.begin()
               || isRestartedOrFrozen(item.first->instance, *std::prev(next), item.second);
    });
    std::sort(arrivals.begin(), arrivals.end(),
              [](const auto &a, const auto &b) { return a.second < b.second; });
    return arrivals;
}

void Judge::judgeLimit(const Limit &limit)
{
    if (limit.from == Time::max())
        return;
    const std::chrono::duration<double> window = m_bounds.limitWindow;
    const auto allowed =
        m_bounds.limitTolerance * limit.requestsPerSecond * window.count() + m_bounds.limitSlack;
    const auto arrivals = arrivalsUnder(limit);
    std::size_t first = 0;
    for (std::size_t n = 0; n < arrivals.size(); ++n) {
        const auto &[request, at] = arrivals[n];
        while (arrivals[first].second <= at - m_bounds.limitWindow)
            ++first;
        const auto count = n - first + 1;
        if (at < limit.from + m_bounds.stableWindow || static_cast<double>(count) <= allowed)
            continue;
        std::string senders;
        for (auto it = first; it <= n; ++it)
            senders += " " + arrivals[it].first->instance + "@"
                       + std::to_string(arrivals[it].second.count());
        report("LIMIT", at, *request,
               std::to_string(count) + " requests at " + limit.upstream + " in "
                   + text(m_bounds.limitWindow) + ", allowed "
                   + std::to_string(static_cast<int>(allowed)) + ":" + senders);
        return;
    }
}

void Judge::judgeTimeouts()
{
    std::vector<const Request *> late;
    std::size_t unanswered = 0;
    for (const auto &[id, request] : m_history.requests) {
        const auto end = request.sentAt + request.timeout();
        if (request.endedAt <= end
            || isDisturbed(request.instance, request.sentAt - m_bounds.stableWindow,
                           end + m_bounds.timeoutSlack, false))
            continue;
        ++unanswered;
        if (request.endedAt > end + m_bounds.timeoutSlack)
            late.push_back(&request);
    }
    if (2 * late.size() <= unanswered)
        return;
    for (const auto *request : late)
        report("CONFIG", request->endedAt, *request,
               "unanswered " + text(request->endedAt - request->sentAt) + " after it was sent, "
                   + std::to_string(late.size()) + " of " + std::to_string(unanswered));
}

void Judge::judgeStops()
{
    constexpr std::size_t Fewest = 2;
    constexpr std::size_t PartOfAll = 4;
    const auto &stops = m_history.stops;
    const auto later = static_cast<std::size_t>(std::count_if(
        stops.begin(), stops.end(), [](const auto &stop) { return stop.isReadyLater; }));
    if (later < Fewest || PartOfAll * later <= stops.size())
        return;
    for (const auto &stop : stops) {
        if (stop.isReadyLater)
            m_breaks.push_back({"DRAIN", stop.at, "", stop.instance,
                                "still ready 4 s after SIGTERM, one of " + std::to_string(later)
                                    + " of " + std::to_string(stops.size())});
    }
}

void Judge::judgeConfiguration(const Request &request)
{
    const auto &arrivals = arrivalsOf(request);
    const bool hasRun = std::any_of(arrivals.begin(), arrivals.end(),
                                    [](const auto &arrival) { return arrival.hasRun; });
    bool mayLackRoute = false;
    bool mayHaveRoute = false;
    bool mayLackKey = false;
    bool mayHaveKey = request.key.empty();
    for (std::size_t n = 0; n < m_history.configurations.size(); ++n) {
        const auto &configuration = m_history.configurations[n];
        const auto end = n + 1 < m_history.configurations.size()
                             ? m_history.configurations[n + 1].at
                             : Time::max() - m_bounds.revocation;
        if (configuration.at > request.endedAt)
            break;
        const bool hasKey = request.key.empty() || configuration.passingKey == request.key;
        if (request.sentAt <= end + m_bounds.revocation)
            mayHaveKey = mayHaveKey || hasKey;
        if (request.sentAt <= end + m_bounds.configurationApply) {
            (configuration.hasPassingRoute ? mayHaveRoute : mayLackRoute) = true;
            mayLackKey = mayLackKey || !hasKey;
        }
    }
    if (!mayHaveKey && hasRun)
        report("CONFIG", request.sentAt, request, "ran with the revoked key " + request.key);
    const bool isInTouchAllAlong =
        isInTouch(request.instance, request.sentAt)
        && !isDisturbed(request.instance, request.sentAt, request.endedAt);
    if (request.hasPassingRoute && !mayHaveRoute && hasRun && isInTouchAllAlong)
        report("CONFIG", request.sentAt, request, "ran on a dropped route");
    if (!isDenial(request.status) || !request.seal.empty())
        return;
    const bool isAllowed = (!request.hasPassingRoute || !mayLackRoute) && !mayLackKey;
    const auto detail = "denied with " + std::to_string(request.status);
    if (isAllowed && (request.hasPassingRoute || !request.key.empty()) && isInTouchAllAlong)
        report("CONFIG", request.sentAt, request, detail);
    else if (isAllowed && !request.hasPassingRoute && request.key.empty())
        m_denials.push_back({"DENIED", request.sentAt, request.id, request.instance, detail});
}

bool Judge::wasAtWorkToTheEnd(const Request &request, const Arrival &arrival) const
{
    // The rules name the last sixth.
    constexpr int Parts = 6;
    return std::any_of(
        m_history.disturbances.begin(), m_history.disturbances.end(), [&](const auto &item) {
            return item.isPlanned && item.instance == request.instance
                   && request.sentAt <= item.from + m_bounds.stopTail
                   && request.endedAt >= item.from
                   && arrival.answeredAt >= item.from + m_bounds.grace * (Parts - 1) / Parts;
        });
}

void Judge::judgeLoss(const Request &request)
{
    if (request.isComplete || request.hasLeft || !request.malformation.empty())
        return;
    const auto &arrivals = arrivalsOf(request);
    const bool isSound = !arrivals.empty()
                         && std::all_of(arrivals.begin(), arrivals.end(),
                                        [](const auto &item) { return item.isAnswered; });
    if (!isSound || request.endedAt >= request.sentAt + request.deadline
        || wasAtWorkToTheEnd(request, arrivals.back())
        || isDisturbed(request.instance, request.sentAt - m_bounds.stableWindow, request.endedAt,
                       false))
        return;
    const auto detail = "closed after " + text(request.endedAt - request.sentAt) + ", answered by "
                        + arrivals.back().upstream;
    if (isDisturbed(request.instance, request.sentAt - m_bounds.stableWindow, request.endedAt))
        report("LOST", request.endedAt, request, detail + " (around a planned stop or reload)");
    else if (request.isOnKeptConnection)
        m_cuts.push_back({"LOST", request.endedAt, request.id, request.instance, detail});
}

void Judge::judgeBudget(const std::string &service)
{
    std::vector<Time> requests;
    std::vector<Time> repeats;
    for (const auto &[id, request] : m_history.requests) {
        if (request.service() != service)
            continue;
        requests.push_back(request.sentAt);
        std::vector<Time> times;
        for (const auto &arrival : arrivalsOf(request))
            times.push_back(arrival.at);
        std::sort(times.begin(), times.end());
        if (!times.empty())
            repeats.insert(repeats.end(), times.begin() + 1, times.end());
    }
    std::sort(requests.begin(), requests.end());
    std::sort(repeats.begin(), repeats.end());
    const auto window = m_bounds.budgetWindow;
    // Windows that overlap are one case, shown by the worst of them.
    Time caseUntil = Time::min();
    double worst = 0;
    for (const auto end : repeats) {
        const auto count = countWithin(repeats, end - window, end);
        std::size_t base = 0;
        for (const auto shift : {0ms, window / 2, window})
            base = std::max(base, countWithin(requests, end - shift - window, end - shift));
        const auto allowed = m_bounds.retryRatio * static_cast<double>(base) + m_bounds.retrySlack;
        const auto use = static_cast<double>(count) / allowed;
        m_greatestRetryUse = std::max(m_greatestRetryUse, use);
        if (use <= 1 || (end < caseUntil && use <= worst))
            continue;
        if (end < caseUntil)
            m_breaks.pop_back();
        else
            caseUntil = end + window;
        worst = use;
        m_breaks.push_back({"BUDGET", end, "", service,
                            std::to_string(count) + " repeats within " + text(window) + ", "
                                + std::to_string(base) + " requests allow "
                                + std::to_string(static_cast<int>(allowed))});
    }
}

} // namespace Soak
