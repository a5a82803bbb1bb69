#include <LibCore/ManualClock.h>
#include <LibGateway/ConfigurationState.h>
#include <LibGateway/WeightsTargets.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace std::chrono_literals;

namespace {

Gateway::Route route(const std::string &host, const std::string &prefix)
{
    Gateway::Route result;
    result.name = host + prefix;
    result.host = host;
    result.pathPrefix = prefix;
    return result;
}

std::shared_ptr<const Gateway::GatewayConfiguration> version(std::uint64_t number)
{
    auto configuration = std::make_shared<Gateway::GatewayConfiguration>();
    configuration->version = number;
    return configuration;
}

} // namespace

TEST_CASE("the route with the longest matching prefix is chosen, whatever the order")
{
    Gateway::GatewayConfiguration configuration;
    configuration.routes = {route("a.example", "/x/"), route("a.example", "/x/y/"),
                            route("b.example", "/")};
    configuration.buildIndexes();
    CHECK(configuration.findRoute("a.example", "/x/z")->pathPrefix == "/x/");
    CHECK(configuration.findRoute("a.example", "/x/y/z")->pathPrefix == "/x/y/");
    CHECK(configuration.findRoute("A.Example:8080", "/x/y/")->pathPrefix == "/x/y/");
    CHECK(configuration.findRoute("a.example", "/x") == nullptr);
    CHECK(configuration.findRoute("b.example", "/anything")->host == "b.example");
    CHECK(configuration.findRoute("c.example", "/x/") == nullptr);
}

TEST_CASE("a key belongs to one team, and an unknown key to none")
{
    Gateway::GatewayConfiguration configuration;
    configuration.tenants = {{"liit", {"k1", "k2"}, std::nullopt, false},
                             {"kool", {"k3"}, 1, true}};
    configuration.buildIndexes();
    CHECK(configuration.findTenant("k2")->name == "liit");
    CHECK(configuration.findTenant("k3")->isIsolated);
    CHECK(configuration.findTenant("") == nullptr);
    CHECK(configuration.findTenant("k4") == nullptr);
}

TEST_CASE("a team that becomes isolated leaves no cached parts to the others")
{
    Gateway::GatewayConfiguration before;
    before.tenants = {{"liit", {"k1"}}, {"kool", {"k2"}}, {"muuseum", {"k3"}, {}, true}};
    before.buildIndexes();
    auto after = before;
    after.tenants[1].isIsolated = true;
    after.buildIndexes();
    const auto scope = [](const auto &configuration, const std::string &key) {
        return configuration.cacheScope(configuration.findTenant(key));
    };
    CHECK(scope(before, "k1") == scope(before, "k2"));
    CHECK(scope(before, "k1") == before.cacheScope(nullptr));
    CHECK(scope(before, "k3") == scope(after, "k3"));
    for (const auto *key : {"k1", "k3", ""}) {
        CHECK(scope(after, key) != scope(before, "k2"));
        CHECK(scope(after, key) != scope(after, "k2"));
    }
    // The order of the tenants does not matter, nor do the others.
    const auto known = scope(after, "k1");
    std::swap(after.tenants[0], after.tenants[2]);
    after.tenants.push_back({"arhiiv", {"k4"}});
    after.buildIndexes();
    CHECK(scope(after, "k4") == known);
}

// Instances may have different versions, and a tenant may become isolated several times.
TEST_CASE("two tenants share a cache scope although one is isolated in a version of either request")
{
    const std::vector<std::string> names {"liit", "kool", "muuseum", "liit.weights-1", "a", "b"};
    for (unsigned seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        std::vector<Gateway::GatewayConfiguration> versions(30);
        for (auto &version : versions) {
            for (const auto &name : names) {
                // Some are left out.
                if (random() % 5 > 0)
                    version.tenants.push_back({name, {name}, {}, random() % 3 == 0});
            }
            std::shuffle(version.tenants.begin(), version.tenants.end(), random);
            version.buildIndexes();
        }
        const auto isIsolated = [](const auto &version, const std::string &name) {
            const auto *tenant = version.findTenant(name);
            return tenant && tenant->isIsolated;
        };
        for (const auto &made : versions) {
            for (const auto &used : versions) {
                for (const auto &maker : made.tenants) {
                    for (const auto &user : used.tenants) {
                        if (maker.name == user.name
                            || made.cacheScope(&maker) != used.cacheScope(&user))
                            continue;
                        CAPTURE(seed, maker.name, user.name);
                        for (const auto &name : {maker.name, user.name}) {
                            REQUIRE_FALSE(isIsolated(made, name));
                            REQUIRE_FALSE(isIsolated(used, name));
                        }
                    }
                }
            }
        }
    }
}

TEST_CASE("only requests of repeatable or resumable routes may run again")
{
    Gateway::Route route;
    route.kind = Gateway::RequestKind::Once;
    route.isResumable = true;
    CHECK_FALSE(route.mayRunAgain());
    route.kind = Gateway::RequestKind::Stream;
    CHECK(route.mayRunAgain());
    route.isResumable = false;
    CHECK_FALSE(route.mayRunAgain());
    route.kind = Gateway::RequestKind::Repeatable;
    CHECK(route.mayRunAgain());
}

TEST_CASE(
    "the configuration version never decreases, and its age counts from the start of the read")
{
    Core::ManualClock clock;
    Gateway::ConfigurationState state;
    CHECK(state.age(clock.now()) == std::chrono::nanoseconds::max());
    CHECK(state.adopt(version(5)));
    CHECK_FALSE(state.adopt(version(4)));
    CHECK_FALSE(state.adopt(version(5)));
    CHECK(state.current()->version == 5);
    const auto asked = clock.now();
    clock.advance(3s);
    state.confirm(asked);
    CHECK(state.age(clock.now()) == 3s);
    // A late confirmation of an older read does not reduce the age.
    state.confirm(asked - 1s);
    CHECK(state.age(clock.now()) == 3s);
}

TEST_CASE("weights are outdated since the first newer target was added, not the newest")
{
    Core::ManualClock clock;
    Gateway::WeightsTargets targets;
    CHECK_FALSE(targets.outdatedSince("m", 1).has_value());
    targets.addTarget("m", {2, clock.now(), clock.now()});
    const auto second = clock.now();
    clock.advance(3s);
    targets.addTarget("m", {3, clock.now(), clock.now()});
    CHECK_FALSE(targets.addTarget("m", {2, clock.now(), clock.now()}));
    CHECK(targets.outdatedSince("m", 1) == second);
    CHECK(targets.outdatedSince("m", 2) == clock.now());
    CHECK_FALSE(targets.outdatedSince("m", 3).has_value());
    CHECK(targets.newest().at("m").version == 3);
}
