#include <LibCore/Error.h>
#include <LibCore/ManualClock.h>
#include <LibMembership/Snapshot.h>

#include <catch2/catch.hpp>

using namespace Membership;
using namespace std::chrono_literals;

namespace {

const SnapshotContext context {"trial", 7, 99, {{1, 10}, {2, 20}}};

std::vector<Member> someMembers(std::size_t count)
{
    std::vector<Member> members(count);
    for (std::size_t n = 0; n < count; ++n) {
        members[n].id = {Core::InstanceId("entry-" + std::to_string(n)), 1'700'000'000'000 + n};
        members[n].dataCentre = Core::DataCentreId("harju-1");
        members[n].address = "10.0.0." + std::to_string(n) + ":7000";
    }
    return members;
}

Peer::Wire::SnapshotT snapshot(std::uint64_t generation, std::uint64_t weights,
                               std::chrono::milliseconds uptime = 1h)
{
    const Core::ManualClock clock;
    SharedState state(clock, {}, {});
    state.publish(PrefixLocation {generation, 1, 1, 5});
    const SnapshotContext other {"trial", generation, 99, {{1, weights}}};
    Peer::Wire::SnapshotRequestT request;
    request.environment = "trial";
    request.max_bytes = 10'000;
    return makeSnapshot(other, someMembers(3), state, uptime, request, 100'000);
}

} // namespace

TEST_CASE("a snapshot is refused for its environment, its version or older weights")
{
    CHECK(validateSnapshot(snapshot(7, 10), context) == SnapshotValidity::Take);
    CHECK(validateSnapshot(snapshot(6, 10), context) == SnapshotValidity::Take);
    CHECK(validateSnapshot(snapshot(8, 11), context) == SnapshotValidity::Take);
    CHECK(validateSnapshot(snapshot(6, 9), context) == SnapshotValidity::OlderWeights);
    auto foreign = snapshot(7, 10);
    foreign.environment = "production";
    CHECK(validateSnapshot(foreign, context) == SnapshotValidity::OtherEnvironment);
    auto later = snapshot(7, 10);
    later.version = SnapshotVersion + 1;
    CHECK(validateSnapshot(later, context) == SnapshotValidity::IncompatibleVersion);
    Peer::Wire::SnapshotRequestT request;
    request.environment = "production";
    const Core::ManualClock clock;
    const SharedState state(clock, {}, {});
    CHECK_THROWS_AS(makeSnapshot(context, {}, state, 1h, request, 1'000), Core::Error);
}

TEST_CASE("a snapshot stays within the smaller of both limits")
{
    const Core::ManualClock clock;
    SharedState state(clock, {}, {});
    for (std::uint64_t n = 0; n < 5'000; ++n)
        state.publish(PrefixLocation {n, 1, 1, 5});
    Peer::Wire::SnapshotRequestT request;
    request.environment = "trial";
    request.max_bytes = 60'000;
    const auto size = [&](std::size_t maxBytes) {
        auto made = makeSnapshot(context, someMembers(340), state, 1h, request, maxBytes);
        const auto body = Peer::makeBody(std::move(made));
        return Peer::encodeMessage(Peer::Wire::Purpose::Response, 1, body).size();
    };
    CHECK(size(1'000'000) <= 60'000);
    CHECK(size(20'000) <= 20'000);
    CHECK(size(1'000'000) > 50'000);
}

TEST_CASE("a warm sibling completes the collection and snapshots of new siblings are merged")
{
    const Core::ManualClock clock;
    SharedState state(clock, {}, {});
    SnapshotCollector collector(context, 60s);
    CHECK(collector.result() == WarmStartResult::None);
    CHECK(collector.add(snapshot(6, 9), "a", state).empty());
    CHECK(collector.result() == WarmStartResult::None);
    CHECK(collector.add(snapshot(7, 10, 2s), "b", state).size() == 3);
    CHECK(collector.add(snapshot(8, 10, 3s), "c", state).size() == 3);
    CHECK(collector.result() == WarmStartResult::Partial);
    CHECK(state.size() == 2);
    CHECK_FALSE(collector.isDone());
    collector.add(snapshot(9, 10, 2min), "d", state);
    CHECK(collector.isDone());
}
