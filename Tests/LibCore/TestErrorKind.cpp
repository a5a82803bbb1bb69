#include <LibCore/Error.h>
#include <LibCore/Result.h>

#include <catch2/catch.hpp>

#include <set>

TEST_CASE("every error kind has a distinct name and a plausible status")
{
    std::set<std::string_view> names;
    for (const auto &row : Core::errorKindTable()) {
        CHECK(names.insert(row.name).second);
        CHECK(row.httpStatus >= 400);
        CHECK(row.httpStatus < 600);
        CHECK(&Core::errorKindRow(row.kind) == &row);
    }
}

TEST_CASE("a result throws the error it carries")
{
    const Core::Result<int> failed(Core::Error(Core::ErrorKind::NotReady, "no document"));
    REQUIRE_FALSE(failed.has_value());
    CHECK_THROWS_AS(failed.value(), Core::Error);
    CHECK(failed.error().kind() == Core::ErrorKind::NotReady);
}

TEST_CASE("an error body contains the status of the attempt and of the key")
{
    const Core::Error error(Core::ErrorKind::Draining, "", Core::ExecutionStatus::NotRun,
                            Core::ExecutionStatus::Unknown);
    CHECK(Core::errorBody(error).find(R"("attempt":"not_run","key":"unknown")")
          != std::string::npos);
}
