#include "Measure.h"
#include "Roles.h"

#include <LibCore/Hash.h>
#include <LibCore/ManualClock.h>
#include <LibMembership/SharedStatePublisher.h>

#include <cmath>
#include <memory>
#include <random>

using namespace Membership;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seed = 1;
constexpr std::size_t Prefixes = 4'000;
constexpr std::size_t Upstreams = 1'500;
constexpr double RequestsPerSecondPerNode = 22;
constexpr auto Step = 250ms;
constexpr std::size_t StepsPerSecond = 4;
// Intervals, in seconds after all prefixes have changed, in which known preferred upstreams are
// counted.
constexpr std::size_t EarlySeconds[] = {3, 8};
constexpr std::size_t LateSeconds[] = {20, 25};

/// Draws prefixes by a Zipf distribution with exponent one.
class ZipfDraw
{
public:
    ZipfDraw()
    {
        std::vector<double> weights;
        weights.reserve(Prefixes);
        for (std::size_t n = 0; n < Prefixes; ++n)
            weights.push_back(1.0 / static_cast<double>(n + 1));
        m_draw = std::discrete_distribution<std::uint64_t>(weights.begin(), weights.end());
    }
    std::uint64_t operator()(std::mt19937_64 &rng) { return m_draw(rng); }

private:
    std::discrete_distribution<std::uint64_t> m_draw;
};

struct Sibling
{
    std::unique_ptr<SharedState> state;
    std::unique_ptr<SharedStatePublisher> publisher;
    std::vector<std::uint32_t> seen = std::vector<std::uint32_t>(Prefixes, 0);
    std::uint64_t bytesSent = 0;
    double generationSeenAt = -1;
};

struct Outcome
{
    double early = 0;
    double late = 0;
    double bytesPerSecond = 0;
    double processorPerSecond = 0;
    double heapPerNode = 0;
    double itemsPerNode = 0;
    double generationSeconds = 0;
};

/// Simulates siblings that see the same frequently used prefixes, each from its own requests and
/// from the updates of the others.
class SharingRun
{
public:
    SharingRun(std::size_t count, std::size_t bytesPerSecond)
        : m_heapBefore(heapBytes())
        , m_rng(Seed)
        , m_siblings(count)
    {
        for (std::size_t n = 0; n < count; ++n) {
            Member member;
            member.dataCentre = Core::DataCentreId("harju-" + std::to_string(n % 8));
            member.address = std::to_string(n);
            m_members.push_back(member);
        }
        PublisherSettings settings;
        settings.bytesPerSecond = bytesPerSecond;
        for (std::size_t n = 0; n < count; ++n)
            start(n, settings);
    }

    Outcome run()
    {
        const auto processorBefore = processorTime();
        m_siblings.front().state->publish(ConfigurationGeneration {2, 7});
        for (std::size_t step = 0; step < LateSeconds[1] * StepsPerSecond; ++step)
            advance(step / StepsPerSecond);
        const auto seconds = static_cast<double>(LateSeconds[1]);
        const auto nodes = static_cast<double>(m_siblings.size());
        Outcome outcome;
        outcome.early = m_early.share();
        outcome.late = m_late.share();
        outcome.processorPerSecond = (processorTime() - processorBefore).count() / seconds / nodes;
        outcome.heapPerNode = (heapBytes() - m_heapBefore) / nodes;
        for (const auto &sibling : m_siblings) {
            outcome.bytesPerSecond += static_cast<double>(sibling.bytesSent) / seconds / nodes;
            outcome.itemsPerNode += static_cast<double>(sibling.state->size()) / nodes;
            outcome.generationSeconds =
                std::max(outcome.generationSeconds,
                         sibling.generationSeenAt < 0 ? INFINITY : sibling.generationSeenAt);
        }
        return outcome;
    }

private:
    struct Tally
    {
        std::uint64_t known = 0;
        std::uint64_t all = 0;
        double share() const
        {
            return all == 0 ? 0 : static_cast<double>(known) / static_cast<double>(all);
        }
    };

    void start(std::size_t number, const PublisherSettings &settings)
    {
        auto &sibling = m_siblings[number];
        sibling.generationSeenAt = number == 0 ? 0 : -1;
        sibling.state = std::make_unique<SharedState>(
            m_clock, SharedStateSettings {},
            [this, &sibling](const SharedItem &item, std::chrono::milliseconds) {
                if (std::holds_alternative<ConfigurationGeneration>(item))
                    sibling.generationSeenAt = m_seconds;
            });
        SharedStatePublisher::Hooks hooks;
        hooks.siblings = [this, number] {
            auto others = m_members;
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(number));
            return others;
        };
        hooks.send = [this, &sibling](const std::string &address, Peer::Body body) {
            deliver(sibling, address, body);
        };
        sibling.publisher = std::make_unique<SharedStatePublisher>(
            m_clock, m_rng, *sibling.state, m_members[number].dataCentre, settings, hooks);
    }

    void deliver(Sibling &sender, const std::string &address, const Peer::Body &body)
    {
        // Adds the length field and the tag of the frame to the size of the message.
        constexpr std::size_t FrameBytes = 20;
        const auto payload = Peer::encodeMessage(Peer::Wire::Purpose::OneWay, 0, body);
        sender.bytesSent += payload.size() + FrameBytes;
        const auto message = Peer::decodeMessage(payload).value();
        m_siblings[std::stoul(address)].state->receive(message.body.AsSharedDelta()->records);
    }

    void advance(std::size_t second)
    {
        m_clock.advance(Step);
        m_seconds += std::chrono::duration<double>(Step).count();
        std::poisson_distribution<int> arrivals(RequestsPerSecondPerNode / StepsPerSecond);
        for (auto &sibling : m_siblings) {
            for (int n = arrivals(m_rng); n > 0; --n)
                request(sibling, second);
        }
        for (auto &sibling : m_siblings)
            sibling.publisher->tick();
    }

    void request(Sibling &sibling, std::size_t second)
    {
        const auto prefix = m_draw(m_rng);
        const PrefixLocation location {prefix, Core::hash64("home", prefix) % Upstreams, 1,
                                       ++sibling.seen[prefix]};
        const bool known = sibling.state->knows(keyOf(location));
        if (second >= EarlySeconds[0] && second < EarlySeconds[1])
            m_early = {m_early.known + (known ? 1 : 0), m_early.all + 1};
        if (second >= LateSeconds[0])
            m_late = {m_late.known + (known ? 1 : 0), m_late.all + 1};
        sibling.state->publish(location);
    }

    double m_heapBefore;
    Core::ManualClock m_clock;
    std::mt19937_64 m_rng;
    ZipfDraw m_draw;
    double m_seconds = 0;
    std::vector<Member> m_members;
    std::vector<Sibling> m_siblings;
    Tally m_early;
    Tally m_late;
};

std::vector<std::string> costRow(std::size_t count, const Outcome &outcome)
{
    return {std::to_string(count),
            formatNumber(2 * outcome.bytesPerSecond),
            formatNumber(outcome.processorPerSecond * 1e6),
            formatNumber(outcome.itemsPerNode),
            formatNumber(outcome.heapPerNode / outcome.itemsPerNode),
            formatNumber(outcome.generationSeconds)};
}

} // namespace

std::vector<Table> measureSharing(Extent extent)
{
    std::vector<std::size_t> sizes {8, 40, 120, 340};
    std::vector<std::size_t> budgets {256, 768, 1'536, 3'072, 6'144, 12'288};
    if (extent == Extent::Quick) {
        sizes = {8, 40};
        budgets = {768, 3'072};
    }
    Table costs {"Sharing, at 3,072 bytes/s sent",
                 {"nodes", "bytes/s a node, sent and received", "processor us/s a node",
                  "items a node", "heap bytes an item", "s until all know a generation"},
                 {}};
    Table curve {"Requests whose prefix home was known, 3 to 8 s / 20 to 25 s after all changed",
                 {"bytes/s sent"},
                 {}};
    for (const auto count : sizes)
        curve.header.push_back(std::to_string(count) + " nodes");
    curve.rows.push_back({"own requests only"});
    for (const auto budget : budgets)
        curve.rows.push_back({std::to_string(budget)});
    for (const auto count : sizes) {
        for (std::size_t n = 0; n <= budgets.size(); ++n) {
            const auto budget = n == 0 ? 0 : budgets[n - 1];
            const auto outcome = SharingRun(count, budget).run();
            curve.rows[n].push_back(formatNumber(outcome.early) + " / "
                                    + formatNumber(outcome.late));
            if (budget == PublisherSettings {}.bytesPerSecond)
                costs.rows.push_back(costRow(count, outcome));
        }
    }
    return {costs, curve};
}
