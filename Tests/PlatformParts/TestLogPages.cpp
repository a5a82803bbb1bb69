#include <LibCore/Error.h>

#include <PlatformLog.h>
#include <boost/endian/conversion.hpp>
#include <catch2/catch.hpp>

#include <cstring>
#include <string>

namespace {

template <typename Number>
std::string bigEndian(Number number)
{
    const auto big = boost::endian::native_to_big(number);
    std::string bytes(sizeof(big), '\0');
    std::memcpy(bytes.data(), &big, sizeof(big));
    return bytes;
}

std::string framed(const std::string &record)
{
    return bigEndian(static_cast<std::uint32_t>(record.size())) + record;
}

std::string keyed(const std::string &key, const std::string &value)
{
    return framed(std::string(1, static_cast<char>(key.size())) + key + value);
}

std::string head(std::uint64_t end)
{
    return bigEndian(end) + bigEndian(std::uint64_t {0});
}

} // namespace

TEST_CASE("a record that is shorter than its key does not hide the records around it")
{
    const std::string odd = GENERATE(std::string(), std::string("\x05"), std::string("\xff w-2"));
    CAPTURE(odd);
    const auto body = head(8) + keyed("w-1", "first") + framed(odd) + keyed("w-3", "third");
    const auto page = Site::decodeRecords(body, 5, true);
    CHECK(page.next == 8);
    CHECK(page.isComplete);
    // Readers rely on consecutive offsets.
    REQUIRE(page.records.size() == 3);
    CHECK(page.records[0].key == "w-1");
    CHECK(page.records[0].offset == 5);
    CHECK(page.records[1].key.empty());
    CHECK(page.records[1].offset == 6);
    // It deletes nothing either.
    CHECK(page.records[1].value == "");
    CHECK(page.records[2].key == "w-3");
    CHECK(page.records[2].value == "third");
    CHECK(page.records[2].offset == 7);
}

TEST_CASE("a body that was truncated in transit is refused as a whole")
{
    const auto body = head(7) + keyed("w-1", "first") + keyed("w-2", "second");
    for (std::size_t size = 0; size < body.size(); ++size) {
        // What ends between two records is a page of fewer records.
        if (size == head(7).size() || size == (head(7) + keyed("w-1", "first")).size())
            continue;
        CAPTURE(size);
        CHECK_THROWS_AS(Site::decodeRecords(body.substr(0, size), 5, true), Core::Error);
    }
}
