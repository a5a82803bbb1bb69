#include <LibCore/LineWriter.h>
#include <LibCore/LogRateLimiter.h>
#include <LibCore/ManualClock.h>

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

using namespace std::chrono_literals;

namespace {

/// A pipe that is only read by readAll().
struct Pipe
{
    Pipe() { REQUIRE(::pipe(ends.data()) == 0); }
    ~Pipe()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }
    std::string readAll() const
    {
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
        std::string all;
        std::array<char, 4096> piece {};
        for (ssize_t n = 0; (n = ::read(ends[0], piece.data(), piece.size())) > 0;)
            all.append(piece.data(), static_cast<std::size_t>(n));
        return all;
    }
    std::array<int, 2> ends {};
};

} // namespace

TEST_CASE("a stalled reader neither blocks the writer nor makes it grow without bound")
{
    Pipe pipe;
    Core::LineWriter writer(pipe.ends[1], 100'000);
    const std::string line(100, 'x');
    std::uint64_t refused = 0;
    for (int n = 0; n < 10'000; ++n)
        refused += writer.write(line, false) ? 0 : 1;
    CHECK(refused > 0);
    CHECK(writer.pendingBytes() <= 100'000);
    CHECK(writer.takeDroppedCount() == refused);
    // Important lines still fit into the reserved capacity.
    CHECK(writer.write("a failure", true));
    auto text = pipe.readAll();
    while (writer.pendingBytes() > 0) {
        writer.flush();
        text += pipe.readAll();
    }
    CHECK(text.ends_with("a failure\n"));
    CHECK(text.size() == (10'000 - refused) * (line.size() + 1) + 10);
}

TEST_CASE("a flood of lines is rate-limited, and warnings always pass")
{
    Core::ManualClock clock;
    clock.advance(1h);
    Core::LogRateLimiter limiter;
    unsigned passed = 0;
    for (int n = 0; n < 20'000; ++n) {
        clock.advance(1ms);
        passed += limiter.admit(Core::EventLevel::Info, clock.now()) ? 1 : 0;
        REQUIRE(limiter.admit(Core::EventLevel::Warning, clock.now()));
    }
    CHECK(passed <= 400 + 20 * 200);
    CHECK(passed >= 20 * 200);
    CHECK(limiter.takeDroppedCount() == 20'000 - passed);
}
