#include <LibCore/Hash.h>
#include <LibCore/ManualClock.h>
#include <LibSiblings/SharedStateBridge.h>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Prefix = 4711;

/// An instance that knows one upstream only from the instance list, under the list's incarnation.
struct Fixture
{
    Core::ManualClock clock;
    Router::Instance instance {clock, {}};
    Siblings::SharedStateBridge bridge {instance, {}};

    Fixture()
    {
        Platform::ListedInstance listed;
        listed.id = "engine-1";
        listed.group = Core::UpstreamGroupId("engines");
        listed.incarnation = 1;
        Platform::InstanceList list;
        list.instances.push_back(listed);
        instance.directory().apply(list);
    }

    void receiveLocation(std::uint32_t incarnation)
    {
        Membership::PrefixLocation location;
        location.prefix = Prefix;
        location.upstream = Core::hash64("engine-1");
        location.incarnation = incarnation;
        location.requestsPerMinute = 10;
        bridge.state().receive({Membership::toWire(location, 1, 100ms)});
    }

    void noteUpstreamIncarnation(std::uint64_t incarnation)
    {
        const auto upstream = instance.directory().all().front();
        upstream->noteIncarnation(incarnation);
        instance.placement().noteIncarnation(upstream->slot(), incarnation);
    }

    bool hasPrefix() const
    {
        auto &placement = const_cast<Router::Instance &>(instance).placement();
        for (const auto &prefix : placement.exportFrequentPrefixes(10)) {
            if (prefix.block == Prefix && !prefix.holders.empty())
                return true;
        }
        return false;
    }
};

} // namespace

TEST_CASE("a sibling's prefix location is imported once the upstream's incarnation is known")
{
    Fixture fixture;
    fixture.receiveLocation(7);
    CHECK_FALSE(fixture.hasPrefix());
    fixture.noteUpstreamIncarnation(7);
    fixture.bridge.publish();
    CHECK(fixture.hasPrefix());
}

TEST_CASE("a sibling's prefix location for another incarnation is never imported")
{
    Fixture fixture;
    fixture.receiveLocation(7);
    fixture.noteUpstreamIncarnation(8);
    fixture.bridge.publish();
    CHECK_FALSE(fixture.hasPrefix());
    fixture.clock.advance(2min);
    fixture.noteUpstreamIncarnation(9);
    fixture.bridge.publish();
    CHECK_FALSE(fixture.hasPrefix());
}
