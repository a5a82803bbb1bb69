#include <PlatformRecords.h>
#include <catch2/catch.hpp>

TEST_CASE("records without a key are refused, so that they are logged")
{
    const Site::PlatformRecords records;
    CHECK_FALSE(records.decodeOperator({3, "", ""}).has_value());
    CHECK_FALSE(records.decodeUpstream({3, "", ""}).has_value());
}
