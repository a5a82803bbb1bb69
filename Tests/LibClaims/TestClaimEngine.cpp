#include <LibClaims/ClaimCodec.h>
#include <LibClaims/ClaimEngine.h>
#include <LibCore/EventLog.h>
#include <LibCore/ManualClock.h>

#include <catch2/catch.hpp>

using namespace Claims;
using namespace std::chrono_literals;
using Core::ErrorKind;
using Core::ExecutionStatus;

namespace {

/// One engine with a single-partition log whose pages are supplied by the test.
struct EngineFixture
{
    EngineFixture() { Core::configureEventLog(Core::LogFormat::Text, Core::EventLevel::Error); }

    static ClaimSettings settings()
    {
        ClaimSettings it {KeyWindow::create(60s, 1s, 100s, 10s).value()};
        it.partitions = 1;
        return it;
    }
    ClaimActions read(const std::string &data)
    {
        const Platform::LogOffset offset = next++;
        return engine.onPage(0, {0, next, {{offset, clock.wallNow(), data}}});
    }
    ClaimActions readFromOther(RecordKind kind)
    {
        const ClaimRecord record {kind, call.key, call.digest, {9, 1}, {Core::InstanceId("b"), 1}};
        return read(encodeBatch({&record, 1}));
    }
    template <typename Action>
    static std::optional<Action> find(const ClaimActions &actions)
    {
        for (const auto &it : actions) {
            if (const auto *action = std::get_if<Action>(&it))
                return *action;
        }
        return std::nullopt;
    }
    ExecutionStatus earlyRejectionKeyStatus() const
    {
        return *engine.earlyRejection(ErrorKind::Overloaded, call.key).key();
    }

    Core::ManualClock clock;
    Call call {
        {Core::TeamId("t"), "k", std::chrono::floor<std::chrono::milliseconds>(clock.wallNow())},
        1};
    ClaimEngine engine {settings(), {Core::InstanceId("a"), 1}, 1, clock};
    Platform::LogOffset next = 0;
};

} // namespace

TEST_CASE("an early rejection reports only the key status that the log shows")
{
    EngineFixture fixture;
    CHECK(fixture.engine.earlyRejection(ErrorKind::Draining, fixture.call.key).attempt()
          == ExecutionStatus::NotRun);
    CHECK(fixture.earlyRejectionKeyStatus() == ExecutionStatus::Unknown);
    fixture.readFromOther(RecordKind::Claim);
    CHECK(fixture.earlyRejectionKeyStatus() == ExecutionStatus::Unknown);
    fixture.readFromOther(RecordKind::Finished);
    CHECK(fixture.earlyRejectionKeyStatus() == ExecutionStatus::Run);
    EngineFixture closed;
    closed.readFromOther(RecordKind::Close);
    CHECK(closed.earlyRejectionKeyStatus() == ExecutionStatus::NotRun);
}

TEST_CASE("the refusal of an expired key reports its status as unknown")
{
    EngineFixture fixture;
    fixture.clock.advance(61s);
    const auto answer = EngineFixture::find<AnswerAction>(fixture.engine.begin(1, fixture.call));
    REQUIRE(answer);
    CHECK(answer->outcome.error == ErrorKind::KeyExpired);
    CHECK(answer->outcome.attempt == ExecutionStatus::NotRun);
    CHECK(answer->outcome.key == ExecutionStatus::Unknown);
}

TEST_CASE("a claim that reaches the log after its caller was refused is voided and never sent")
{
    EngineFixture fixture;
    fixture.engine.begin(1, fixture.call);
    fixture.clock.advance(2ms);
    const auto claim = EngineFixture::find<AppendBatch>(fixture.engine.onTimer());
    REQUIRE(claim);
    fixture.clock.advance(3s);
    const auto refused = EngineFixture::find<AnswerAction>(fixture.engine.onTimer());
    REQUIRE(refused);
    CHECK(refused->outcome.error == ErrorKind::LogUnavailable);
    CHECK(refused->outcome.attempt == ExecutionStatus::NotRun);
    CHECK(refused->outcome.key == ExecutionStatus::Unknown);
    CHECK_FALSE(EngineFixture::find<SendAction>(fixture.read(claim->data)));
    fixture.clock.advance(2ms);
    const auto voided = EngineFixture::find<AppendBatch>(fixture.engine.onTimer());
    REQUIRE(voided);
    CHECK(decodeBatch(voided->data).value().front().kind == RecordKind::Void);
    // The void is repeated until it is read back from the log. The key is then free.
    fixture.engine.onAppendResult(voided->id, false);
    CHECK(fixture.engine.pendingRecords() == 1);
    fixture.read(voided->data);
    CHECK(fixture.engine.pendingRecords() == 0);
    CHECK(fixture.engine.partition(0).index().find(fixture.call.key)->state == KeyState::Free);
}

TEST_CASE("a claimant that resumes after its timeout does not send")
{
    EngineFixture fixture;
    fixture.engine.begin(1, fixture.call);
    fixture.clock.advance(2ms);
    const auto claim = EngineFixture::find<AppendBatch>(fixture.engine.onTimer());
    REQUIRE(claim);
    // The page is processed before any timer, as after a long suspension of the process.
    fixture.clock.advance(10s);
    const auto actions = fixture.read(claim->data);
    CHECK_FALSE(EngineFixture::find<SendAction>(actions));
    CHECK(EngineFixture::find<AnswerAction>(actions)->outcome.attempt == ExecutionStatus::NotRun);
}

TEST_CASE("a winning attempt sends once, however often its claim is read")
{
    EngineFixture fixture;
    fixture.engine.begin(1, fixture.call);
    fixture.clock.advance(2ms);
    const auto claim = EngineFixture::find<AppendBatch>(fixture.engine.onTimer());
    REQUIRE(claim);
    CHECK(EngineFixture::find<SendAction>(fixture.read(claim->data)));
    CHECK_FALSE(EngineFixture::find<SendAction>(fixture.read(claim->data)));
    CHECK(fixture.earlyRejectionKeyStatus() == ExecutionStatus::Running);
}
