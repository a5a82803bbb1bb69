#include <LibConfiguration/ConfigurationHistory.h>
#include <LibConfiguration/SampleDocuments.h>
#include <LibCore/ManualClock.h>
#include <LibPlatform/InMemoryLog.h>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using Configuration::ConfigurationHistory;
using Configuration::ConfigurationRecord;
using Configuration::Generation;
using Configuration::Verdict;

namespace {

constexpr const char *Environment = "trial";
constexpr const char *Stream = "configuration.trial";

struct Fixture
{
    Core::ManualClock clock;
    Platform::InMemoryLog log {clock, 10s};
    ConfigurationHistory history {Environment};

    void append(const ConfigurationRecord &record)
    {
        log.append(Stream, encodeRecord(Environment, record));
    }
    void publish(Generation replaces, const std::string &document, const std::string &id)
    {
        append(samplePublication(replaces, history.current()->bytes, document, id));
    }
    std::vector<Verdict> read(ConfigurationHistory &reader)
    {
        std::vector<Verdict> verdicts;
        while (reader.nextOffset() < log.read(Stream, 0, 0).next) {
            for (const auto &it : reader.processPage(log.read(Stream, reader.nextOffset(), 3)))
                verdicts.push_back(it.verdict);
            if (reader.isHalted())
                break;
        }
        return verdicts;
    }
    std::vector<Verdict> read() { return read(history); }
};

using Verdicts = std::vector<Verdict>;

} // namespace

TEST_CASE("the first valid publication for a generation wins")
{
    Fixture fixture;
    fixture.publish(0, invalidDocument(1), "a");
    fixture.publish(0, sampleDocument(2), "b");
    fixture.publish(0, sampleDocument(3), "c");
    fixture.log.append(Stream, "garbage");
    fixture.append(samplePublication(5, "", sampleDocument(4), "d"));
    CHECK(fixture.read()
          == Verdicts {Verdict::Invalid, Verdict::Accepted, Verdict::LostRace, Verdict::Unreadable,
                       Verdict::LostRace});
    CHECK(fixture.history.current()->generation == 1);
    CHECK(fixture.history.current()->bytes == sampleDocument(2));
    CHECK(fixture.history.current()->publisher == "operator-b");
}

TEST_CASE("a publication that is appended several times takes effect once")
{
    Fixture fixture;
    fixture.publish(0, sampleDocument(1), "a");
    fixture.publish(0, sampleDocument(1), "a");
    CHECK(fixture.read() == Verdicts {Verdict::Accepted, Verdict::LostRace});
    CHECK(fixture.history.current()->generation == 1);
}

TEST_CASE("a changed digest, another environment and a garbled record change nothing")
{
    Fixture fixture;
    auto publication = samplePublication(0, "", sampleDocument(1), "a");
    publication.digest.front() ^= 1;
    fixture.append(publication);
    publication = samplePublication(0, "", sampleDocument(1), "b");
    auto bytes = encodeRecord("production", publication);
    fixture.log.append(Stream, bytes);
    bytes = encodeRecord(Environment, publication);
    fixture.log.append(Stream, bytes.substr(0, bytes.size() / 2));
    CHECK(fixture.read() == Verdicts {Verdict::Invalid, Verdict::Unreadable, Verdict::Unreadable});
    CHECK(fixture.history.current()->generation == 0);
}

TEST_CASE("a small change of a document is a small record")
{
    const auto base = sourceFile("Examples/liit.toml");
    auto next = base;
    next.replace(next.find("max_tokens = 4096"), 17, "max_tokens = 2048");
    const auto publication = samplePublication(1, base, next, "a");
    CHECK(encodeRecord(Environment, publication).size() < 400);
    CHECK(publication.change.apply(base) == next);
    CHECK_FALSE(publication.change.apply("short"));
}

TEST_CASE("a reader that starts after records have expired restores the state of a renewal")
{
    Fixture fixture;
    fixture.publish(0, sampleDocument(1), "a");
    fixture.read();
    fixture.clock.advance(6s);
    fixture.append(fixture.history.renewal("i"));
    fixture.publish(1, sampleDocument(2), "b");
    fixture.read();
    fixture.clock.advance(6s);
    ConfigurationHistory late(Environment);
    fixture.read(late);
    CHECK(late.isAnchored());
    CHECK(late.current()->generation == 2);
    CHECK(late.current()->digest == fixture.history.current()->digest);
}

TEST_CASE("a renewal by a paused instance does not restore an old state")
{
    Fixture fixture;
    fixture.publish(0, sampleDocument(1), "a");
    fixture.read();
    const auto stale = fixture.history.renewal("paused");
    fixture.publish(1, sampleDocument(2), "b");
    fixture.read();
    fixture.clock.advance(9s);
    fixture.append(stale);
    fixture.clock.advance(2s);
    // Retention has dropped the publication of generation 2; only the renewal of generation 1
    // remains.
    ConfigurationHistory late(Environment);
    CHECK(fixture.read(late) == Verdicts {Verdict::Skipped});
    CHECK_FALSE(late.isAnchored());
    CHECK(late.current()->generation == 0);
    fixture.read();
    CHECK(fixture.history.current()->generation == 2);
    fixture.append(fixture.history.renewal("awake"));
    fixture.read(late);
    CHECK(late.isAnchored());
    CHECK(late.current()->generation == 2);
}

TEST_CASE("a reader that lagged behind retention keeps its generation and catches up")
{
    Fixture fixture;
    ConfigurationHistory lagging(Environment);
    fixture.publish(0, sampleDocument(1), "a");
    fixture.read(lagging);
    fixture.read();
    fixture.publish(1, sampleDocument(2), "b");
    fixture.read();
    fixture.clock.advance(11s);
    fixture.publish(2, sampleDocument(3), "c");
    fixture.read();
    CHECK(fixture.read(lagging) == Verdicts {Verdict::Skipped});
    CHECK(lagging.current()->generation == 1);
    fixture.append(fixture.history.renewal("i"));
    fixture.read(lagging);
    CHECK(lagging.current()->generation == 3);
}

TEST_CASE(
    "a copy of an older generation or of a different document does not replace the active one")
{
    Fixture fixture;
    fixture.publish(0, sampleDocument(1), "a");
    fixture.read();
    auto older = fixture.history.renewal("i");
    fixture.publish(1, sampleDocument(2), "b");
    fixture.read();
    auto other = older;
    other.generation = 2;
    // Retention drops an unread record, which causes a gap.
    fixture.log.append(Stream, "garbage");
    fixture.clock.advance(11s);
    older.foldedTo = other.foldedTo = 3;
    fixture.append(older);
    fixture.append(other);
    CHECK(fixture.read() == Verdicts {Verdict::Skipped, Verdict::Skipped});
    CHECK(fixture.history.current()->bytes == sampleDocument(2));
}

TEST_CASE("a document of a newer format stops processing instead of being rejected")
{
    Fixture fixture;
    fixture.publish(0, "format = 2\nwhat = 'comes next'\n", "a");
    fixture.publish(0, sampleDocument(1), "b");
    CHECK(fixture.read() == Verdicts {Verdict::Undecidable});
    CHECK(fixture.history.isHalted());
    CHECK(fixture.history.nextOffset() == 0);
    CHECK(fixture.history.current()->generation == 0);
}

TEST_CASE("instances renew at different times, and only when the newest copy grows old")
{
    Fixture fixture;
    CHECK_FALSE(fixture.history.renewalTime("a", 4s));
    fixture.publish(0, sampleDocument(1), "a");
    fixture.read();
    const auto start = fixture.clock.wallNow();
    const auto due = fixture.history.renewalTime("a", 4s);
    REQUIRE(due);
    CHECK(*due >= start + 4s);
    CHECK(*due < start + 6s);
    CHECK(due != fixture.history.renewalTime("b", 4s));
    fixture.clock.advance(5s);
    fixture.append(fixture.history.renewal("a"));
    fixture.read();
    CHECK(fixture.history.renewalTime("b", 4s) >= start + 9s);
}
