#include <LibConfiguration/Document.h>
#include <LibConfiguration/Examples.h>
#include <LibCore/Hash.h>

#include <catch2/catch.hpp>

using Configuration::Document;
using namespace std::chrono_literals;

TEST_CASE("the example documents parse")
{
    for (const auto *file : ExampleFiles) {
        const auto report = Document::check(sourceFile(file));
        INFO(file << '\n' << Configuration::describeFaults(report.faults));
        CHECK(report.document);
    }
}

TEST_CASE("a document provides the lookups of the request path")
{
    const auto document = Document::parse(sourceFile("Examples/commission.toml")).value();
    const auto *team = document->teamByKey("example-key-gates");
    REQUIRE(team);
    CHECK(team->id.value() == "gates");
    CHECK(document->teamByKey("example-next-key-gates") == team);
    CHECK_FALSE(document->teamByKey("example-key-none"));
    CHECK_FALSE(document->teamByKeyHash(""));
    const auto *model = document->model("lantern-llm");
    REQUIRE(model);
    CHECK(model->firstTokenTimeout == 5s);
    const auto *contract = document->contract(team->id, model->upstreamGroup);
    REQUIRE(contract);
    CHECK(contract->ownedShare.millionths() == 100'000);
    CHECK_FALSE(document->contract(Core::TeamId("parking"), Core::UpstreamGroupId("tix-app")));
    CHECK(document->priorityClasses().front().id.value() == "gate");
    CHECK(document->limits().idleTimeout == 60s);
    CHECK(document->upstreamGroup("tix-app")->pieceTokens == 0);
}

TEST_CASE("a call cannot bypass its at-most-once route")
{
    const auto document = Document::parse(sourceFile("Examples/commission.toml")).value();
    const auto *service = document->service("tix-app");
    REQUIRE(service);
    const auto *booking = service->route("POST", "/bookings/17");
    REQUIRE(booking);
    CHECK(booking->repeatability == Configuration::Repeatability::AtMostOnce);
    CHECK(service->route("GET", "/seats")->repeatability
          == Configuration::Repeatability::Idempotent);
    for (const auto *path : {"/seats/../bookings", "/seats/%2E%2e/bookings", "/seats//x", "/seatsx",
                             "/seats/%2Fx", "/seats\\x", "seats", "", "/seats/.."})
        CHECK_FALSE(service->route("GET", path));
    CHECK_FALSE(service->route("POST", "/seats"));
}
