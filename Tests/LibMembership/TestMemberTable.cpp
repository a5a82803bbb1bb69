#include <LibMembership/MemberTable.h>
#include <LibMembership/MembershipMessage.h>

#include <catch2/catch.hpp>

#include <algorithm>

using Membership::Member;
using Membership::MemberState;
using Membership::MemberTable;

namespace {

Member member(const std::string &instance, std::uint64_t incarnation, std::uint32_t refutation,
              MemberState state)
{
    return {{Core::InstanceId(instance), incarnation},
            refutation,
            state,
            Core::DataCentreId("harju-1"),
            instance + ":7000"};
}

} // namespace

TEST_CASE("member updates merge to the same state in any order and any number of times")
{
    const Membership::MembershipSettings settings;
    std::mt19937_64 rng(3);
    for (int round = 0; round < 200; ++round) {
        std::vector<Member> updates {member("a", 1, 0, MemberState::Alive)};
        for (int n = 0; n < 6; ++n)
            updates.push_back(member("a", 1, static_cast<std::uint32_t>(rng() % 3),
                                     static_cast<MemberState>(rng() % 4)));
        std::optional<Member> first;
        for (int order = 0; order < 4; ++order) {
            MemberTable table(settings, [](const Member &, Membership::MemberChange) {});
            table.merge(updates.front(), {});
            std::shuffle(updates.begin() + 1, updates.end(), rng);
            for (int again = 0; again < 2; ++again) {
                for (const auto &update : updates)
                    table.merge(update, {});
            }
            const auto *seen = table.find(updates.front().id);
            REQUIRE(seen != nullptr);
            first = first ? first : *seen;
            CHECK(seen->state == first->state);
            CHECK(seen->refutation == first->refutation);
        }
    }
}

TEST_CASE("a dropped member that was never known is not added")
{
    const Membership::MembershipSettings settings;
    MemberTable table(settings, [](const Member &, Membership::MemberChange) {});
    table.merge(member("a", 1, 4, MemberState::Dead), {});
    CHECK(table.members().empty());
}

TEST_CASE("a former process is dropped at the same address and only suspected at another")
{
    const Membership::MembershipSettings settings;
    MemberTable table(settings, [](const Member &, Membership::MemberChange) {});
    const auto former = member("a", 1, 0, MemberState::Alive);
    auto atOtherAddress = member("a", 2, 0, MemberState::Alive);
    atOtherAddress.address = "other:7000";
    table.merge(former, {});
    table.merge(atOtherAddress, {});
    CHECK(table.find(former.id)->state == MemberState::Suspect);
    table.merge(member("a", 3, 0, MemberState::Alive), {});
    CHECK(table.find(former.id)->state == MemberState::Dead);
    table.merge(member("a", 0, 0, MemberState::Alive), {});
    CHECK(table.find({former.id.instance, 0}) == nullptr);
}

TEST_CASE("new updates are sent first, and an update about the receiver is sent without budget")
{
    const Membership::MembershipSettings settings;
    std::mt19937_64 rng(3);
    MemberTable table(settings, [](const Member &, Membership::MemberChange) {});
    for (int n = 0; n < 50; ++n)
        table.merge(member("old-" + std::to_string(n), 1, 0, MemberState::Alive), {});
    for (int n = 0; n < 2'000; ++n)
        table.takeUpdates({}, 100'000, rng);
    table.merge(member("new", 1, 0, MemberState::Alive), {});
    const auto updates = table.takeUpdates({}, 100'000, rng);
    REQUIRE(updates.size() == settings.updatesPerMessage);
    CHECK(updates.front().id.instance.value() == "new");

    const auto suspected = member("old-7", 1, 0, MemberState::Suspect);
    table.suspect(suspected.id, {});
    const auto updatesForSuspected = table.takeUpdates(suspected.id, 0, rng);
    REQUIRE(updatesForSuspected.size() == 1);
    CHECK(updatesForSuspected.front().id == suspected.id);
}

TEST_CASE("the size estimate of a member is at least its size in a message")
{
    Membership::Probe probe {1, member("entry-1", 1, 0, MemberState::Alive), {}};
    const auto size = [&probe] {
        const auto body = Membership::toBody(probe);
        return Peer::encodeMessage(Peer::Wire::Purpose::OneWay, 0, body).size();
    };
    for (int n = 0; n < 8; ++n) {
        const auto before = size();
        auto next = member(std::string(static_cast<std::size_t>(5 + 7 * n), 'x'), 7, 1,
                           MemberState::Leaving);
        const auto estimate = Membership::encodedBytes(next);
        probe.updates.push_back(next);
        // The first update also adds the vector itself.
        if (n > 0)
            CHECK(size() <= before + estimate + 8);
    }
}
