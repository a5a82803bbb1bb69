#include <LibClaims/ClaimHistory.h>
#include <LibCore/EventLog.h>

#include <catch2/catch.hpp>

namespace {

constexpr std::uint64_t HistoryCount = 4000;
constexpr std::uint64_t MutatedHistoryCount = 800;

/// Counts the violations whose description contains the given words, over all mutated histories,
/// with one mechanism disabled.
std::size_t violationsWith(Mutation mutation, const std::string &words)
{
    Core::configureEventLog(Core::LogFormat::Text, Core::EventLevel::Error);
    std::size_t n = 0;
    for (std::uint64_t seed = 0; seed < MutatedHistoryCount; ++seed) {
        for (const auto &it : ClaimHistory(seed, mutation).run().violations)
            n += it.find(words) == std::string::npos ? 0 : 1;
    }
    WARN("without the mechanism: " << n << " times \"" << words << '"');
    return n;
}

void add(HistoryReport &total, const HistoryReport &report)
{
    total.answers += report.answers;
    total.unknownKeys += report.unknownKeys;
    total.runs += report.runs;
    total.replays += report.replays;
    total.crashes += report.crashes;
    total.rebuilds += report.rebuilds;
    total.voids += report.voids;
    for (const auto &[kind, n] : report.unknownByKind)
        total.unknownByKind[kind] += n;
}

void print(const std::string &name, const HistoryReport &it)
{
    std::string kinds;
    for (const auto &[kind, n] : it.unknownByKind)
        kinds += " " + kind + "=" + std::to_string(n);
    WARN(name << ": answers " << it.answers << ", runs " << it.runs << ", replays " << it.replays
              << ", crashes " << it.crashes << ", rebuilds " << it.rebuilds << ", voids "
              << it.voids << ", key unknown " << it.unknownKeys << ":" << kinds);
}

} // namespace

TEST_CASE("no key runs twice and no answer turns out false, over all histories")
{
    Core::configureEventLog(Core::LogFormat::Text, Core::EventLevel::Error);
    std::map<HistoryKind, HistoryReport> totals;
    for (std::uint64_t seed = 0; seed < HistoryCount; ++seed) {
        const auto report = ClaimHistory(seed, Mutation::None).run();
        for (const auto &it : report.violations)
            FAIL_CHECK("seed " << seed << ": " << it);
        add(totals[historyKind(seed)], report);
    }
    print("calm", totals[HistoryKind::FaultFree]);
    print("faults without crashes", totals[HistoryKind::FaultsWithoutCrashes]);
    print("faults", totals[HistoryKind::Faults]);
    print("faults and early loss of records", totals[HistoryKind::EarlyLoss]);
    // The histories must have produced the events that they are meant to test.
    CHECK(totals[HistoryKind::Faults].crashes > HistoryCount / 4);
    CHECK(totals[HistoryKind::Faults].rebuilds > HistoryCount / 100);
    CHECK(totals[HistoryKind::EarlyLoss].rebuilds > HistoryCount / 8);
    CHECK(totals[HistoryKind::FaultsWithoutCrashes].voids > HistoryCount / 16);
    CHECK(totals[HistoryKind::FaultFree].replays > HistoryCount / 4);
    // Without faults, only the status of early rejected calls and expired keys is unknown.
    for (const auto &[kind, n] : totals[HistoryKind::FaultFree].unknownByKind)
        CHECK((kind == "overloaded" || kind == "key_expired"));
}

TEST_CASE("without the log's order keys run twice")
{
    CHECK(violationsWith(Mutation::ReadOnlyOwnClaims, " times") > 0);
}

TEST_CASE("with leases instead of claims for good a frozen holder runs a key twice")
{
    CHECK(violationsWith(Mutation::LeaseTakeover, " times") > 0);
}

TEST_CASE("with a second send after a lost outcome keys run twice")
{
    CHECK(violationsWith(Mutation::ResendAfterLoss, " times") > 0);
}

TEST_CASE("with sends that wait for no verdict keys run twice and refusals are false")
{
    CHECK(violationsWith(Mutation::SendWithoutVerdict, " times") > 0);
    CHECK(violationsWith(Mutation::SendWithoutVerdict, "attempt was said not to run") > 0);
}

TEST_CASE("with a late claim carried out a refusal turns out false")
{
    CHECK(violationsWith(Mutation::SendLateClaim, "attempt was said not to run") > 0);
}

TEST_CASE("without voids a key that was never sent stays held")
{
    CHECK(violationsWith(Mutation::IgnoreVoids, "held for good") > 0);
}

TEST_CASE("without notice of lost records keys run twice")
{
    CHECK(violationsWith(Mutation::HideGaps, " times") > 0);
}

TEST_CASE("with promises at the door or for expired keys refusals are false")
{
    CHECK(violationsWith(Mutation::EarlyRejectionPromises, "key was said not to run") > 0);
    CHECK(violationsWith(Mutation::ExpiryPromises, "key was said not to run") > 0);
}

TEST_CASE("without a fresh origin a restarted instance takes old claims for its own")
{
    CHECK(violationsWith(Mutation::ReuseOrigin, " times") > 0);
}

TEST_CASE("without the request's digest a caller gets another request's answer")
{
    CHECK(violationsWith(Mutation::IgnoreDigest, "another request's") > 0);
}
