#include "AdmissionScenario.h"

#include "AdmissionRun.h"
#include "Deployment.h"

#include <LibAdmission/FairShare.h>
#include <LibCore/Error.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Bench {

namespace {

using Outcomes = std::vector<AdmissionOutcome>;

constexpr EventQueue::Duration Warmup = std::chrono::seconds(5);
constexpr std::size_t MostUrgent = 0;
constexpr std::size_t LeastUrgent = 1;

struct NamedMode
{
    std::string name;
    AdmissionMode mode = AdmissionMode::Ours;
};

const std::vector<NamedMode> &comparedModes()
{
    static const std::vector<NamedMode> modes {{"ours", AdmissionMode::Ours},
                                               {"ours, safe shares", AdmissionMode::SafeShares},
                                               {"ours, no preemption", AdmissionMode::NoPreemption},
                                               {"direct", AdmissionMode::Direct}};
    return modes;
}

EventQueue::Duration secondsOf(const toml::value &table, const std::string &key, double fallback)
{
    const std::chrono::duration<double> value(toml::find_or<double>(table, key, fallback));
    return std::chrono::duration_cast<EventQueue::Duration>(value);
}

ClassLoad readClass(const toml::value &table)
{
    ClassLoad load;
    load.name = toml::find<std::string>(table, "name");
    const auto prompt = toml::find<std::vector<std::int64_t>>(table, "prompt");
    load.minPromptTokens = static_cast<std::uint64_t>(prompt.at(0));
    load.maxPromptTokens = static_cast<std::uint64_t>(prompt.at(1));
    load.meanOutputTokens = static_cast<std::uint64_t>(toml::find<std::int64_t>(table, "output"));
    load.target = std::chrono::milliseconds(toml::find_or<std::int64_t>(table, "target_ms", 0));
    load.floorShare = toml::find_or<double>(table, "floor", 0.0);
    load.queueLimit = static_cast<std::size_t>(toml::find_or<std::int64_t>(table, "queue", 256));
    load.preemptible = toml::find_or<bool>(table, "preemptible", false);
    return load;
}

/// Reads a stream of one team, or of every team with the load divided among them when its table
/// names no team.
std::vector<StreamLoad> readStream(const toml::value &table, const AdmissionSetup &setup)
{
    StreamLoad stream;
    stream.classIndex = static_cast<std::size_t>(toml::find<std::int64_t>(table, "class"));
    stream.load = toml::find<double>(table, "load");
    stream.from = secondsOf(table, "from_s", 0);
    stream.to = secondsOf(table, "to_s", std::chrono::duration<double>(setup.duration).count());
    stream.isFlood = toml::find_or<bool>(table, "flood", false);
    if (table.contains("instance"))
        stream.instance = static_cast<std::size_t>(toml::find<std::int64_t>(table, "instance"));
    if (table.contains("team")) {
        stream.team = static_cast<std::size_t>(toml::find<std::int64_t>(table, "team"));
        return {stream};
    }
    std::vector<StreamLoad> streams;
    stream.load /= static_cast<double>(setup.ownedShares.size());
    for (std::size_t n = 0; n < setup.ownedShares.size(); ++n) {
        stream.team = n;
        streams.push_back(stream);
    }
    return streams;
}

AdmissionSetup readSetup(const toml::value &scenario, const std::string &deploymentName,
                         bool isQuick)
{
    const auto deployment = deploymentByName(deploymentName);
    AdmissionSetup setup;
    setup.instances = deployment.instances;
    setup.engines = deployment.engines;
    setup.duration = secondsOf(scenario, isQuick ? "quick_s" : "duration_s", 30);
    setup.ownedShares = toml::find<std::vector<double>>(scenario, "owned");
    for (const auto &table : toml::find<toml::array>(scenario, "classes"))
        setup.classes.push_back(readClass(table));
    for (const auto &table : toml::find<toml::array>(scenario, "streams")) {
        for (const auto &stream : readStream(table, setup))
            setup.streams.push_back(stream);
    }
    return setup;
}

/// Holds one finished run and computes statistics over it.
class MeasuredRun
{
public:
    MeasuredRun(const AdmissionSetup &setup, AdmissionMode mode, std::uint64_t seed,
                bool withFloods)
        : m_setup(setup)
        , m_run(std::make_unique<AdmissionRun>(setup, mode, seed))
    {
        m_run->run(withFloods);
    }

    AdmissionRun &run() { return *m_run; }

    /// Returns the quantile `share` of the time to first token, in seconds, of the answered
    /// requests.
    double firstToken(double share, std::size_t classIndex,
                      std::optional<std::size_t> team = {}) const
    {
        std::vector<double> times;
        for (const auto &it : counted()) {
            if (it.classIndex != classIndex || (team && it.team != *team) || !it.firstToken)
                continue;
            const std::chrono::duration<double> time = *it.firstToken - it.arrival;
            times.push_back(time.count());
        }
        if (times.empty())
            return std::numeric_limits<double>::infinity();
        std::sort(times.begin(), times.end());
        const auto rank = std::ceil(share * static_cast<double>(times.size()));
        return times[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
    }

    /// Returns the capacity-weighted number of responses that finished after the warm-up. Each
    /// counts as the fraction of a second that all engines need for a request of its class. With
    /// isInTargetOnly, late responses of a class with a target are not counted.
    double served(std::optional<std::size_t> classIndex, bool isInTargetOnly,
                  std::optional<std::size_t> team = {}) const
    {
        double sum = 0;
        for (const auto &it : m_run->outcomes()) {
            const bool isOther =
                (classIndex && it.classIndex != *classIndex) || (team && it.team != *team);
            if (isOther || !it.finished || it.finished->time_since_epoch() < Warmup)
                continue;
            const auto target = m_setup.classes[it.classIndex].target;
            const bool isLate = target.count() > 0 && *it.firstToken - it.arrival > target;
            if (!isInTargetOnly || !isLate)
                sum += 1 / m_setup.capacityRate(it.classIndex);
        }
        return sum;
    }

    double refusedShare(std::size_t classIndex) const
    {
        double refused = 0;
        double all = 0;
        for (const auto &it : counted()) {
            all += it.classIndex == classIndex;
            refused += it.classIndex == classIndex && it.isRefused;
        }
        return all > 0 ? refused / all : 0;
    }

    /// Returns the share of the slot time in the window that the class used.
    double slotShare(std::size_t classIndex) const
    {
        const std::chrono::duration<double> window = m_setup.duration - Warmup;
        const auto sums = m_run->slotSeconds(Warmup, m_setup.duration);
        return sums[classIndex] / (window.count() * m_setup.slots());
    }

    /// Returns Jain's fairness index of each team's usage relative to its entitlement: its demand,
    /// or its weighted max-min share of the used capacity if it demands more.
    double fairness() const
    {
        std::vector<Admission::Claimant> claimants(m_setup.ownedShares.size());
        for (std::size_t n = 0; n < claimants.size(); ++n)
            claimants[n].weight = m_setup.ownedShares[n];
        for (const auto &it : counted())
            claimants[it.team].demand += 1 / m_setup.capacityRate(it.classIndex);
        const auto entitled = Admission::weightedMaxMin(served({}, false), claimants);
        double sum = 0;
        double squares = 0;
        double teams = 0;
        for (std::size_t n = 0; n < entitled.size(); ++n) {
            if (entitled[n] <= 0)
                continue;
            const double ratio = served({}, false, n) / entitled[n];
            sum += ratio;
            squares += ratio * ratio;
            ++teams;
        }
        return squares > 0 ? sum * sum / (teams * squares) : 0;
    }

    /// Returns the sum of two differences: in tokens between the usage report and the finished
    /// requests, and in slot-microseconds between the report's rows and the capacity.
    std::uint64_t accountError()
    {
        const auto report = m_run->account();
        std::uint64_t tokens = 0;
        for (const auto &it : m_run->outcomes())
            tokens += it.finished ? it.promptTokens + it.outputTokens : 0;
        std::uint64_t rows = 0;
        std::uint64_t counted = 0;
        std::uint64_t capacity = 0;
        for (const auto &group : report.groups) {
            capacity += group.capacity;
            for (const auto &use : group.uses)
                counted += use.tokens.computed + use.tokens.generated;
            for (const auto &row : group.settlement.served)
                rows += row.slots;
            for (const auto &row : group.settlement.idle)
                rows += row.slots;
        }
        const auto difference = [](std::uint64_t a, std::uint64_t b) {
            return a > b ? a - b : b - a;
        };
        return difference(tokens, counted) + difference(rows, capacity);
    }

private:
    /// Returns the requests that arrived after the warm-up.
    Outcomes counted() const
    {
        Outcomes outcomes;
        for (const auto &it : m_run->outcomes()) {
            if (it.arrival.time_since_epoch() >= Warmup)
                outcomes.push_back(it);
        }
        return outcomes;
    }

    AdmissionSetup m_setup;
    std::unique_ptr<AdmissionRun> m_run;
};

/// Runs one scenario on one deployment and produces its table and targets.
class AdmissionComparison
{
public:
    AdmissionComparison(AdmissionSetup setup, std::string title, std::uint64_t seed)
        : m_setup(std::move(setup))
        , m_title(std::move(title))
        , m_seed(seed)
        , m_withoutFloods(m_setup, AdmissionMode::Ours, seed, false)
        , m_direct(m_setup, AdmissionMode::Direct, seed, true)
        , m_ours(m_setup, AdmissionMode::Ours, seed, true)
    { }

    Table table()
    {
        Table table {m_title,
                     {"policy", "class", "p50 s", "p95 s", "p99 s", "refused", "slot share",
                      "served s", "in target s"},
                     {}};
        addRows(table, "ours, no flood", m_withoutFloods);
        for (const auto &it : comparedModes()) {
            if (it.mode == AdmissionMode::Ours) {
                addRows(table, it.name, m_ours);
                continue;
            }
            MeasuredRun run(m_setup, it.mode, m_seed, true);
            addRows(table, it.name, run);
        }
        return table;
    }

    void appendTargets(const std::string &kind, std::vector<TargetRow> &rows)
    {
        if (kind == "flood-least-urgent") {
            add(rows, "urgent p99 first token in a flood / without it",
                m_ours.firstToken(0.99, MostUrgent) / m_withoutFloods.firstToken(0.99, MostUrgent),
                1.25, BoundKind::AtMost);
            add(rows, "flooding class served / capacity left to it",
                m_ours.served(LeastUrgent, false) / m_direct.served(LeastUrgent, false), 0.9,
                BoundKind::AtLeast);
        } else if (kind == "flood-most-urgent") {
            add(rows, "lower class's slots / its floor",
                m_ours.slotShare(LeastUrgent) / m_setup.classes[LeastUrgent].floorShare, 0.9,
                BoundKind::AtLeast);
            // Uses the same units for both classes on both sides, because their bottlenecks differ.
            add(rows, "answers within target / all answers",
                m_ours.served({}, true) / m_ours.served({}, false), 0.95, BoundKind::AtLeast);
            add(rows, "slots in use / slots",
                m_ours.slotShare(MostUrgent) + m_ours.slotShare(LeastUrgent), 0.95,
                BoundKind::AtLeast);
        } else if (kind == "small-team") {
            add(rows, "small team's p95 first token beside a large one / alone",
                m_ours.firstToken(0.95, MostUrgent, 0)
                    / m_withoutFloods.firstToken(0.95, MostUrgent, 0),
                1.5, BoundKind::AtMost);
        } else if (kind == "unequal-teams") {
            add(rows, "Jain's index by entitled share", m_ours.fairness(), 0.95,
                BoundKind::AtLeast);
        } else if (kind == "contracts") {
            appendContractTargets(rows);
        } else {
            throw Core::Error(Core::ErrorKind::SettingsInvalid, "unknown kind " + kind);
        }
        add(rows, "account error, tokens and slot-microseconds",
            static_cast<double>(m_ours.accountError()), 0, BoundKind::AtMost);
        add(rows, "sum of shares / slots",
            static_cast<double>(m_ours.run().largestShareSum()) / m_setup.slots(), 1,
            BoundKind::AtMost);
    }

private:
    void addRows(Table &table, const std::string &name, MeasuredRun &run) const
    {
        for (std::size_t n = 0; n < m_setup.classes.size(); ++n) {
            table.rows.push_back({name, m_setup.classes[n].name, fixed(run.firstToken(0.5, n), 3),
                                  fixed(run.firstToken(0.95, n), 3),
                                  fixed(run.firstToken(0.99, n), 3), fixed(run.refusedShare(n), 3),
                                  fixed(run.slotShare(n), 3), fixed(run.served(n, false), 2),
                                  fixed(run.served(n, true), 2)});
        }
    }

    /// Adds the targets of a contract. The first team sends nothing until its own stream starts;
    /// the second team borrows its capacity.
    void appendContractTargets(std::vector<TargetRow> &rows)
    {
        const auto &samples = m_ours.run().teamSlots();
        const auto returningStream = std::find_if(m_setup.streams.begin(), m_setup.streams.end(),
                                                  [](const auto &it) { return it.team == 0; });
        const auto tickOf = [](EventQueue::Duration time) {
            return static_cast<std::size_t>(time / std::chrono::milliseconds(100));
        };
        const double ownedSlots = m_setup.ownedShares[0] * m_setup.slots();
        const auto returnTick = tickOf(returningStream->from);
        double lent = 0;
        for (auto n = tickOf(Warmup); n < returnTick; ++n)
            lent += samples[n][1]
                    - std::min(1.0 * samples[n][1], m_setup.ownedShares[1] * m_setup.slots());
        lent /= static_cast<double>(returnTick - tickOf(Warmup));
        add(rows, "idle capacity lent while its owner is away", lent / ownedSlots, 0.9,
            BoundKind::AtLeast);
        auto n = returnTick;
        while (n < samples.size() && samples[n][0] < 0.9 * ownedSlots)
            ++n;
        add(rows, "seconds until the owner has 90% of its own again",
            static_cast<double>(n - returnTick) / 10, 5, BoundKind::AtMost);
    }

    void add(std::vector<TargetRow> &rows, const std::string &target, double measured, double bound,
             BoundKind kind) const
    {
        rows.push_back({target, m_title, measured, bound, kind});
    }

    AdmissionSetup m_setup;
    std::string m_title;
    std::uint64_t m_seed;
    MeasuredRun m_withoutFloods;
    MeasuredRun m_direct;
    MeasuredRun m_ours;
};

} // namespace

ScenarioReport runAdmissionScenario(const toml::value &scenario, const RunOptions &options)
{
    ScenarioReport report;
    const auto name = toml::find<std::string>(scenario, "name");
    const auto kind = toml::find<std::string>(scenario, "kind");
    for (const auto &deployment : toml::find<std::vector<std::string>>(scenario, "deployments")) {
        AdmissionComparison comparison(readSetup(scenario, deployment, options.isQuick),
                                       name + ", " + deployment, options.seed);
        report.tables.push_back(comparison.table());
        comparison.appendTargets(kind, report.targets);
    }
    return report;
}

} // namespace Bench
